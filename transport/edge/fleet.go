package edge

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/overlay"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

const (
	// tickInterval is the interval of the fleet's periodic task.
	tickInterval = 100 * time.Millisecond
	// newLinkPeriod is how long a link counts as new. Both sides send a summary
	// when their session opens, and another when the link does.
	newLinkPeriod = time.Second
	// heartbeatInterval is the interval at which a router sends a message to
	// its peers if nothing has changed.
	heartbeatInterval = 400 * time.Millisecond
	// loadsInterval is the interval at which this router sends its load to
	// peers. At ten reports a second, and with twenty requests a second to each
	// engine, peers do not know of two requests per engine.
	loadsInterval = 100 * time.Millisecond
	// fullSumsInterval is the interval at which all sums are sent again over a
	// link, including those of upstreams that one side did not know before.
	fullSumsInterval = 2 * time.Second
	// minUrgentGap is the shortest time between two load reports that long
	// prompts trigger before the next interval. In a tree, loads received over
	// other links trigger reports as well, and the gap is at least
	// urgentGapPerLink for each link of this router, so that a router with many
	// links does not spend more on reports than a router with few.
	minUrgentGap     = 20 * time.Millisecond
	urgentGapPerLink = 2500 * time.Microsecond
	// longPromptTokens is the number of uncached prompt tokens of a request
	// from which peers are informed of the request before the next interval.
	// Such a prompt occupies an engine for about 50 ms, so other routers must
	// not send it further prompts meanwhile.
	longPromptTokens = 3000
	// spendingInterval is the interval at which the usage of workspaces is
	// sent. It is longer, because shares are computed over a window of seconds.
	spendingInterval = 250 * time.Millisecond
	// maxTickDelay is the time between two ticks above which the process is
	// assumed to have been paused or to lack CPU time. resumeGrace is the time
	// after such a pause in which the data that arrived meanwhile is read.
	maxTickDelay = 3 * tickInterval
	resumeGrace  = time.Second
)

// sender sends messages to peers without blocking. A message to a peer without
// a session is lost. The peer mesh implements it.
type sender interface {
	Send(to state.Router, env *peerpb.Envelope) bool
	SendEach(to []state.Router, env *peerpb.Envelope)
	// SendTimed sends a message so that the receiver can bound its age.
	SendTimed(to state.Router, env *peerpb.Envelope) bool
	// SelectPeers sets the routers that sessions are wanted with. DropSession
	// closes the session with a router.
	SelectPeers(selected membership.SelectionChanged)
	DropSession(router state.Router)
}

var _ sender = (*peer.Mesh)(nil)

// readerClaim records the last message in which a peer claimed to read the
// store.
type readerClaim struct {
	// madeAt is a time before which the peer did not make the claim.
	madeAt time.Time
	// upstreamDigest is the digest of the upstreams that the peer holds.
	upstreamDigest uint64
}

// storeCalls holds the times of the last answer and of the last failed call for
// one kind of object.
type storeCalls struct {
	answeredAt, failedAt time.Time
	// overdueAt is when the running call is overdue; zero if none is running.
	overdueAt time.Time
}

// fleet exchanges objects, loads and usage with the peers.
type fleet struct {
	self       scheduler.Peer
	dispatcher *dispatcher
	catalogue  *catalogue
	mesh       sender
	// progressed is called in every round of run.
	progressed func()
	log        zerolog.Logger
	now        func() time.Time

	// storeReadDelay is the time after the start in which the router does not
	// read the store.
	storeReadDelay time.Duration
	startedAt      time.Time

	mu sync.Mutex
	// overlay decides on sessions and links. livePeers are the routers that it
	// regards as live, including this one.
	overlay   *overlay.Overlay
	livePeers []scheduler.Peer
	// readerRanks is the order in which the live routers read the store.
	readerRanks map[state.Router]int
	// linkOutboxes hold the messages that wait to be sent over each link.
	linkOutboxes map[state.Router]*outbox
	// peerNames are the upstream names that each peer has numbered in its
	// messages.
	peerNames    map[state.Router]upstreamNames
	readerClaims map[state.Router]readerClaim
	// storeCalls are the latest results of the calls for each kind of object,
	// and watchPeriods the periods of the watch calls for it.
	storeCalls   map[Kind]storeCalls
	watchPeriods map[Kind]time.Duration
	// confirmedAt is the time at which the store last confirmed the configuration
	// to this router itself.
	confirmedAt time.Time
	// newLinks holds the peers of new links, with the time until which their
	// summaries are compared with what this router holds.
	newLinks map[state.Router]time.Time
	// readingStore is set while this router reads the store.
	readingStore bool
	// noReaderSince is the time since which no peer has claimed to read the
	// store.
	noReaderSince time.Time
	catchUp       exchange.CatchUp
	fetch         exchange.Fetch
	// caughtUp is set once a peer has sent all its objects. From then on, new
	// objects in further answers are forwarded over the other links.
	caughtUp bool
	// packsMu protects cataloguePacks, the messages with all upstreams and
	// evacuations as of cataloguePacksVersion.
	packsMu               sync.Mutex
	cataloguePacks        []*peerpb.Envelope
	cataloguePacksVersion uint64
	// lastTick is the time of the last search for stalled requests. resumedAt
	// is the time of the last tick that was late. Only run uses them.
	lastTick  time.Time
	resumedAt time.Time
}

func newFleet(self scheduler.Peer, dispatcher *dispatcher, catalogue *catalogue, log zerolog.Logger, now func() time.Time) *fleet {
	f := &fleet{
		self: self, dispatcher: dispatcher, catalogue: catalogue, log: log, now: now, startedAt: now(), progressed: func() {},
		readerClaims: make(map[state.Router]readerClaim), linkOutboxes: make(map[state.Router]*outbox), peerNames: make(map[state.Router]upstreamNames),
		storeCalls: make(map[Kind]storeCalls), newLinks: make(map[state.Router]time.Time),
	}
	f.join(membership.Member{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation})
	dispatcher.onLostRequest, dispatcher.onServed, dispatcher.onTrial = f.sendLostRequest, f.sendServed, f.sendTrial
	return f
}

// join adds this router to the overlay with its address and incarnation. It
// must be called before any session opens.
func (f *fleet) join(self membership.Member) {
	f.self.Incarnation = self.Incarnation
	f.overlay = overlay.New(self)
	f.setLivePeers(f.overlay.LiveRouters())
}

// onStoreCall records that a call for one kind of object begins.
func (f *fleet) onStoreCall(kind Kind, overdueAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.storeCalls[kind]
	calls.overdueAt = overdueAt
	f.storeCalls[kind] = calls
}

// onStoreAnswer records an answer of the store to a call for one kind of object.
// The objects of the answer were applied.
func (f *fleet) onStoreAnswer(kind Kind, answeredAt time.Time) {
	f.mu.Lock()
	calls := f.storeCalls[kind]
	calls.answeredAt, calls.overdueAt = f.now(), time.Time{}
	f.storeCalls[kind] = calls
	if kind == KindConfig {
		f.confirmedAt = answeredAt
	}
	f.mu.Unlock()
	if kind == KindConfig {
		f.dispatcher.confirmConfig(f.catalogue.contentSummary().ConfigRevision, sourceStore, answeredAt)
	}
}

func (f *fleet) ownConfirmation() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

func (f *fleet) onStoreFailure(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.storeCalls[kind]
	calls.failedAt, calls.overdueAt = f.now(), time.Time{}
	f.storeCalls[kind] = calls
}

// mayClaimReading reports whether this router may announce to peers that it
// follows the store: the store answers the calls for every kind of object, and
// none is overdue. It must not wait until a call fails, since its peers rely on
// the claim.
func (f *fleet) mayClaimReading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for kind, period := range f.watchPeriods {
		calls := f.storeCalls[kind]
		overdue := !calls.overdueAt.IsZero() && now.After(calls.overdueAt)
		if overdue || !calls.answeredAt.After(calls.failedAt) || now.Sub(calls.answeredAt) > period+callTimeout {
			return false
		}
	}
	return f.readingStore
}

// checkStalled cancels stalled requests. It does nothing for a while after a
// pause of this process: every upstream looks silent then, because the data
// that arrived during the pause was not read yet.
func (f *fleet) checkStalled() {
	now := f.now()
	if f.lastTick.IsZero() {
		f.lastTick = now
	}
	sinceLastTick := now.Sub(f.lastTick)
	f.lastTick = now
	f.updatePressure(sinceLastTick)
	if sinceLastTick > maxTickDelay {
		f.resumedAt = now
	}
	if now.Sub(f.resumedAt) < resumeGrace {
		return
	}
	if n := f.dispatcher.cancelStalled(); n > 0 {
		f.log.Warn().Int("requests", n).Msg("stalled requests given up")
	}
}

// updatePressure updates the pressure on each tick and logs when the router
// becomes overloaded or recovers.
func (f *fleet) updatePressure(sinceLastTick time.Duration) {
	p := f.dispatcher.pressure
	overloaded, changed := p.observe(min(max(sinceLastTick-tickInterval, 0), time.Second), sinceLastTick)
	if changed {
		f.log.Warn().Bool("busy", overloaded).Int64("callers", p.callerConns.Load()).Int64("upstreams", p.upstreamConns.Load()).
			Dur("lag", time.Duration(p.tickLag.Load())).Float64("processor", p.cpuEstimate.ExpectedLoad()).
			Int64("shed", p.cpuEstimate.Totals().Shed).Msg("pressure changed")
	}
}
