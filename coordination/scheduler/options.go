package scheduler

import (
	"time"

	"github.com/figstile/figstile/coordination/queue"
)

// Defaults of Options.
const (
	// DefaultExchangeInterval is the period of usage counters. Extrapolation
	// keeps the fairness gap from growing with it up to two seconds, and the
	// messages go to every router; see docs/design/fairness.md.
	DefaultExchangeInterval = 2 * time.Second
	// DefaultDemandInterval batches demand. Only the first request of an empty
	// line is urgent; in a rush the counts change with every request, and
	// four messages a second per owner are enough to keep owners supplied.
	DefaultDemandInterval = 250 * time.Millisecond
	// DefaultDeadline applies where neither caller nor service names one: the
	// time of a long guide.
	DefaultDeadline = 2 * time.Minute
	// DefaultNoUpstreamGrace is how long a service may lack usable upstreams
	// before arrivals are refused. A worker's restart or a lost report passes
	// within it, and waiting is better than a refusal then.
	DefaultNoUpstreamGrace = 5 * time.Second
	// DefaultFreezeAfter is the gap between ticks that shows that the process
	// was paused. It is a grant's lifetime: what happened before has expired
	// elsewhere by then.
	DefaultFreezeAfter = 2 * time.Second
)

const (
	// resumeGrace is how long after a pause what arrives may still have been
	// sent before it: socket buffers are read within it.
	resumeGrace = 200 * time.Millisecond
	// demandRefresh and usageRefresh repeat everything, so that a message
	// lost with a connection is made up for.
	demandRefresh = 5 * time.Second
	usageRefresh  = 30 * time.Second
	// maxUsageEntries bounds the counters of one message. The longest names of
	// service and workspace and five numbers take 580 bytes, a control frame
	// of the routers' protocol 256 KiB, and a longer one is not sent at all.
	maxUsageEntries = 400
	// leavingRepeat keeps other routers' memory of a draining upstream alive.
	leavingRepeat = 10 * time.Second
	// trimInterval is the period of housekeeping.
	trimInterval = 10 * time.Second
	// adoptionPeriod is how long after the start virtual times are taken over
	// from peers: each peer tells them once, when it first sees this router.
	adoptionPeriod = 5 * time.Second
	// minLookAheadAge is how old work must be to wait inside a full upstream:
	// two round trips between data centres, in which an owner with a free
	// slot would have granted it. With four times as much, workers of 20 ms
	// requests idled twice as long while work waited.
	minLookAheadAge = 5 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told: nobody
	// should come back within a second, and an estimate of more than a
	// minute is too rough to send a caller away for.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxServices bounds services that only peers speak of, such as before
	// the first settings arrive.
	maxServices = 256
	// urgentDemandOwners is how many owners hear of urgent demand at once: two, so
	// that one full or slow owner delays nothing.
	urgentDemandOwners = 2
	// demandTolerance is the part by which a long queue may differ from what its
	// owners believe without a new message: an eighth delays nothing, since
	// owners run short of known demand long after the next batch.
	demandTolerance = 8
)

// Options configure a scheduler. Zero fields take their defaults.
type Options struct {
	// Self is this router.
	Self Peer
	// Seed settles ties and numbers grants.
	Seed uint64
	// Queues bounds all waiting requests of the router together.
	Queues           queue.Limits
	ExchangeInterval time.Duration
	DemandInterval   time.Duration
	Deadline         time.Duration
	NoUpstreamGrace  time.Duration
	FreezeAfter      time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.ExchangeInterval, DefaultExchangeInterval)
	setDefault(&o.DemandInterval, DefaultDemandInterval)
	setDefault(&o.Deadline, DefaultDeadline)
	setDefault(&o.NoUpstreamGrace, DefaultNoUpstreamGrace)
	setDefault(&o.FreezeAfter, DefaultFreezeAfter)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
