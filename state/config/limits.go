package config

// Defaults of a service's limits. A router of a small VM holds all queues in
// memory, so the product of the workspaces' limits must stay near its size.
const (
	// DefaultQueueRequests is some minutes of work for a workspace with a
	// sixteenth of a service of 160 slots; what waits longer is better
	// refused while its caller still listens.
	DefaultQueueRequests = 256
	// DefaultQueueBytes lets sixteen workspaces fill their queues within a
	// gigabyte.
	DefaultQueueBytes = 64 << 20
	// DefaultBodyBytes admits a long prompt with a few scanned pages.
	DefaultBodyBytes = 8 << 20
	// DefaultAnswerBytes is far above any text; it stops an upstream that
	// never ends its answer.
	DefaultAnswerBytes = 64 << 20
	// DefaultDeadlineMillis is the time to draft a long guide, with the wait
	// before it.
	DefaultDeadlineMillis = 5 * 60 * 1000
)

// Default prices. They only weigh the parts of one service's usage.
const (
	// DefaultInputToken reflects that prompts are read in parallel while
	// answers are written token by token.
	DefaultInputToken  = 0.25
	DefaultOutputToken = 1
	DefaultBusySecond  = 1
)

// WithDefaults returns the limits with every zero replaced.
func (l Limits) WithDefaults() Limits {
	l.QueueRequests = orDefault(l.QueueRequests, DefaultQueueRequests)
	l.QueueBytes = orDefault(l.QueueBytes, DefaultQueueBytes)
	l.BodyBytes = orDefault(l.BodyBytes, DefaultBodyBytes)
	l.AnswerBytes = orDefault(l.AnswerBytes, DefaultAnswerBytes)
	l.DeadlineMillis = orDefault(l.DeadlineMillis, DefaultDeadlineMillis)
	return l
}

func orDefault[T int | int64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// WithDefaults returns the prices for a service of the kind. A service that
// charges nothing would give every workspace the same counter for ever, and
// fair choice would choose blindly.
func (c CostWeights) WithDefaults(kind ServiceKind) CostWeights {
	if c != (CostWeights{}) {
		return c
	}
	if kind == KindWorker {
		return CostWeights{BusySecond: DefaultBusySecond}
	}
	return CostWeights{InputToken: DefaultInputToken, OutputToken: DefaultOutputToken}
}

// withDefaults returns a copy of the service that a router can use as it is.
func (s Service) withDefaults() Service {
	s.Limits = s.Limits.WithDefaults()
	s.Cost = s.Cost.WithDefaults(s.Kind)
	return s
}
