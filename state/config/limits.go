package config

// Defaults of a service's limits. A router on a small VM holds all queues in
// memory, so each limit times the number of workspaces must stay near the
// memory of such a VM.
const (
	// DefaultQueueRequests is some minutes of work for a workspace whose share
	// is one sixteenth of a service with 160 slots. A request that would wait
	// longer should be refused while its caller is still connected.
	DefaultQueueRequests = 256
	// DefaultQueueBytes lets sixteen workspaces fill their queues within one
	// gigabyte.
	DefaultQueueBytes = 64 << 20
	// DefaultBodyBytes is large enough for a long prompt with a few scanned
	// images.
	DefaultBodyBytes = 8 << 20
	// DefaultAnswerBytes is far larger than any text answer. It stops an
	// upstream that never ends its answer.
	DefaultAnswerBytes = 64 << 20
	// DefaultDeadlineMillis is long enough for the wait and the generation of a
	// long text.
	DefaultDeadlineMillis = 5 * 60 * 1000
)

// Default prices. They are only compared with other prices of the same service.
const (
	// DefaultInputToken is lower than DefaultOutputToken because an engine
	// processes the tokens of a prompt in parallel and generates the answer
	// token by token.
	DefaultInputToken  = 0.25
	DefaultOutputToken = 1
	DefaultBusySecond  = 1
)

// WithDefaults returns the limits with every zero replaced by its default.
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

// WithDefaults returns the prices, or the defaults for the kind of service if
// all are zero. If a service charged nothing, the counters of all its
// workspaces would stay equal for ever and fair scheduling could not
// distinguish them.
func (c CostWeights) WithDefaults(kind ServiceKind) CostWeights {
	if c != (CostWeights{}) {
		return c
	}
	if kind == KindWorker {
		return CostWeights{BusySecond: DefaultBusySecond}
	}
	return CostWeights{InputToken: DefaultInputToken, OutputToken: DefaultOutputToken}
}

// withDefaults returns a copy of the service with default limits and prices
// filled in.
func (s Service) withDefaults() Service {
	s.Limits = s.Limits.WithDefaults()
	s.Cost = s.Cost.WithDefaults(s.Kind)
	return s
}
