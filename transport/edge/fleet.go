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
	// tickInterval is the period of the fleet's own work.
	tickInterval = 100 * time.Millisecond
	// heartbeatInterval is how long a router says nothing if nothing has changed.
	heartbeatInterval = 400 * time.Millisecond
	// loadsInterval is the period at which peers hear of this router's load. Ten
	// times a second leaves two requests per engine unseen at twenty requests
	// a second each.
	loadsInterval = 100 * time.Millisecond
	// fullSumsInterval is the period at which the peer of a link hears all sums anew,
	// those of upstreams included that one side did not know before.
	fullSumsInterval = 2 * time.Second
	// minUrgentGap bounds how often long prompts make this router tell its load,
	// before its turn. In a tree the same goes for what others' links bring, and
	// linkGap for each link of this router if that is more, so that a router
	// with many does not spend more on them than one with few.
	minUrgentGap     = 20 * time.Millisecond
	urgentGapPerLink = 2500 * time.Microsecond
	// longPromptTokens is the number of tokens that keeps an engine from other
	// prompts for so long that peers must not wait to hear of it: some fifty
	// milliseconds.
	longPromptTokens = 3000
	// spendingInterval is the same for workspaces, whose shares are measured
	// over seconds.
	spendingInterval = 250 * time.Millisecond
	// maxTickDelay is a delay of the ticker that tells of a pause of the process
	// or a busy processor; catchUp is how long what waited then may take to
	// be read.
	maxTickDelay = 3 * tickInterval
	resumeGrace  = time.Second
)

// sender takes messages for peers and returns at once; a message to a peer
// without a session is lost. The mesh is one.
type sender interface {
	Send(to state.Router, env *peerpb.Envelope) bool
	SendEach(to []state.Router, env *peerpb.Envelope)
	// Select says which routers sessions are wanted with, Drop which not.
	Select(selected membership.SelectionChanged)
	Drop(router state.Router)
}

var _ sender = (*peer.Mesh)(nil)

// readerClaim is a peer's last word that it reads the store.
type readerClaim struct {
	receivedAt time.Time
	// upstreamDigest is the digest of those that it holds.
	upstreamDigest uint64
}

// fleet talks with the peers.
type fleet struct {
	self       scheduler.Peer
	dispatcher *dispatcher
	catalogue  *catalogue
	mesh       sender
	log        zerolog.Logger
	now        func() time.Time

	// storeReadDelay is how long after its start the router does not read the store.
	storeReadDelay time.Duration
	startedAt      time.Time

	mu sync.Mutex
	// overlay decides on sessions and links, live are the routers that it
	// knows to live.
	overlay   *overlay.Overlay
	livePeers []scheduler.Peer
	// linkOutboxes are what waits to be told over links.
	linkOutboxes map[state.Router]*outbox
	// peerNames are the upstreams that peers have numbered in their messages.
	peerNames    map[state.Router]upstreamNames
	readerClaims map[state.Router]readerClaim
	// lastAnswer is when the store last answered this router, failed when a
	// call last failed; each kind is followed by itself.
	lastAnswer  time.Time
	lastFailure time.Time
	// readingStore is set while this router reads the store.
	readingStore bool
	// noReaderSince is when a peer last said that it reads the store.
	noReaderSince time.Time
	catchUp       exchange.CatchUp
	fetch         exchange.Fetch
	// caughtUp is set once a peer has told all that it holds: what other answers
	// bring that is new is told to the other links.
	caughtUp bool
	// lastTick is when stalled requests were last looked for, resumed when
	// that was last late; used by run alone.
	lastTick  time.Time
	resumedAt time.Time
}

func newFleet(self scheduler.Peer, dispatcher *dispatcher, catalogue *catalogue, log zerolog.Logger, now func() time.Time) *fleet {
	f := &fleet{
		self: self, dispatcher: dispatcher, catalogue: catalogue, log: log, now: now, startedAt: now(),
		readerClaims: make(map[state.Router]readerClaim), linkOutboxes: make(map[state.Router]*outbox), peerNames: make(map[state.Router]upstreamNames),
	}
	f.join(membership.Member{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation})
	dispatcher.onLostRequest = f.sendLostRequest
	return f
}

// join makes this router known to the overlay under an address and incarnation.
// It is called before any session opens.
func (f *fleet) join(self membership.Member) {
	f.self.Incarnation = self.Incarnation
	f.overlay = overlay.New(self)
	f.livePeers = f.overlay.LiveRouters()
}

func (f *fleet) onStoreAnswer() {
	f.mu.Lock()
	f.lastAnswer = f.now()
	f.mu.Unlock()
	f.dispatcher.confirmConfig()
}

func (f *fleet) onStoreFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = f.now()
}

// mayClaimReading says whether this router may tell peers that it follows the store.
func (f *fleet) mayClaimReading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readingStore && !f.lastAnswer.IsZero() && f.lastAnswer.After(f.lastFailure) && f.now().Sub(f.lastAnswer) <= readingClaimedFor
}

// checkStalled skips a round after a pause of this process, in which every
// upstream looks silent: what they sent meanwhile has yet to be read.
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

// updatePressure logs when the router becomes busy or calm.
func (f *fleet) updatePressure(sinceLastTick time.Duration) {
	p := f.dispatcher.pressure
	overloaded, changed := p.observe(min(max(sinceLastTick-tickInterval, 0), time.Second), sinceLastTick)
	if changed {
		f.log.Warn().Bool("busy", overloaded).Int64("callers", p.callerConns.Load()).Int64("upstreams", p.upstreamConns.Load()).
			Dur("lag", time.Duration(p.tickLag.Load())).Float64("processor", p.cpuEstimate.ExpectedLoad()).
			Int64("shed", p.cpuEstimate.Totals().Shed).Msg("pressure changed")
	}
}
