package scheduler

import (
	"time"

	"github.com/figstile/figstile/coordination/queue"
)

// Defaults of the fields of Options.
const (
	// DefaultExchangeInterval is the interval between exchanges of usage
	// counters. Up to two seconds, extrapolation keeps the fairness gap from
	// growing with the interval; a shorter interval costs more messages, since
	// each goes to every router. See docs/design/fairness.md.
	DefaultExchangeInterval = 2 * time.Second
	// DefaultDemandInterval is the interval at which changes of demand are sent
	// in batches. Only the first request of an empty queue is announced at
	// once. During a burst the counts change with every request, and four
	// messages a second per owner are enough to keep the owners informed.
	DefaultDemandInterval = 250 * time.Millisecond
	// DefaultDeadline is the time limit of a request for which neither the
	// caller nor the service sets a deadline. A long generation takes about as
	// long.
	DefaultDeadline = 2 * time.Minute
	// DefaultNoUpstreamGrace is the time for which a service may have no usable
	// upstream before arriving requests are refused. The restart of a worker or
	// the loss of a load report is over within it, and then waiting is better
	// than a refusal.
	DefaultNoUpstreamGrace = 5 * time.Second
	// DefaultFreezeAfter is the gap between ticks above which the process
	// counts as paused. It equals the lifetime of a grant, so that every grant
	// sent before the pause has expired at its owner when the process resumes.
	DefaultFreezeAfter = 2 * time.Second
)

const (
	// resumeGrace is the time after a pause within which received messages may
	// have been sent before the pause. The socket buffers are read within it.
	resumeGrace = 200 * time.Millisecond
	// demandRefresh and usageRefresh are the intervals at which all demand and
	// all usage counters are sent again, which replaces messages that were lost
	// with a connection.
	demandRefresh = 5 * time.Second
	usageRefresh  = 30 * time.Second
	// maxUsageEntries bounds the number of counters in one message. An entry
	// with the longest names of service and workspace and five numbers takes
	// 580 bytes. A control frame of the protocol between routers holds at most
	// 256 KiB, and a longer message is not sent at all.
	maxUsageEntries = 400
	// leavingRepeat is the interval at which the departure of a draining
	// upstream is announced again, so that other routers do not forget it.
	leavingRepeat = 10 * time.Second
	// forgetIdleInterval is the interval at which idle workspaces are removed
	// from the queues.
	forgetIdleInterval = 10 * time.Second
	// adoptionPeriod is the time after the start in which this router takes
	// over virtual times from its peers. Each peer sends them once, when it
	// first learns of this router.
	adoptionPeriod = 5 * time.Second
	// minLookAheadAge is the minimum time that a request must have waited
	// before it is sent to the internal queue of a full upstream. It is two
	// round trips between data centres, within which an owner with a free slot
	// would have granted it. With four times as much, workers that run requests
	// of 20 ms were idle twice as long while requests waited.
	minLookAheadAge = 5 * time.Millisecond
	// firstReportTimeout is the time within which a new owner of an upstream has
	// its load report. It is the timeout of a poll.
	firstReportTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay that is sent to
	// callers. Callers should not return within a second, and an estimate of
	// more than a minute is too rough to delay a caller for that long.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxServices bounds the number of services that this router keeps state
	// for, because peers may name services that are not in the settings, for
	// example before the first settings arrive.
	maxServices = 256
	// urgentDemandOwners is the number of owners that urgent demand is
	// announced to at once. With two, a single full or slow owner causes no
	// delay.
	urgentDemandOwners = 2
	// demandTolerance is the divisor of the allowed difference: no message is
	// sent while the announced and the actual length of a queue differ by at
	// most an eighth of the smaller one. Such a difference causes no delay,
	// since owners use up the known demand only long after the next batch.
	demandTolerance = 8
)

// Options configures a scheduler. Fields that are zero take their defaults.
type Options struct {
	// Self describes this router.
	Self Peer
	// Seed determines the order of equal virtual times and the first sequence
	// number of grants.
	Seed uint64
	// Queues bounds the waiting requests of the whole router, in number and
	// bytes.
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
