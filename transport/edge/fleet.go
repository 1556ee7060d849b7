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
	// scanEvery is the period of the fleet's own work.
	scanEvery = 100 * time.Millisecond
	// aliveEvery is how long a router says nothing if nothing has changed.
	aliveEvery = 400 * time.Millisecond
	// loadsEvery is the period at which peers hear of this router's load. Ten
	// times a second leaves two requests per engine unseen at twenty requests
	// a second each.
	loadsEvery = 100 * time.Millisecond
	// sumsEvery is the period at which the peer of a link hears all sums anew,
	// those of upstreams included that one side did not know before.
	sumsEvery = 2 * time.Second
	// urgentGap bounds how often long prompts make this router tell its load,
	// before its turn. In a tree the same goes for what others' links bring, and
	// linkGap for each link of this router if that is more, so that a router
	// with many does not spend more on them than one with few.
	urgentGap = 20 * time.Millisecond
	linkGap   = 2500 * time.Microsecond
	// longPrompt is the number of tokens that keeps an engine from other
	// prompts for so long that peers must not wait to hear of it: some fifty
	// milliseconds.
	longPrompt = 3000
	// spendingEvery is the same for workspaces, whose shares are measured
	// over seconds.
	spendingEvery = 250 * time.Millisecond
	// lateScan is a delay of the ticker that tells of a pause of the process
	// or a busy processor; catchUp is how long what waited then may take to
	// be read.
	lateScan = 3 * scanEvery
	catchUp  = time.Second
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

// readerWord is a peer's last word that it reads the store.
type readerWord struct {
	heard time.Time
	// upstreams is the digest of those that it holds.
	upstreams uint64
}

// fleet talks with the peers.
type fleet struct {
	self       scheduler.Peer
	dispatcher *dispatcher
	catalogue  *catalogue
	mesh       sender
	log        zerolog.Logger
	now        func() time.Time

	// readDelay is how long after its start the router does not read the store.
	readDelay time.Duration
	started   time.Time

	mu sync.Mutex
	// overlay decides on sessions and links, live are the routers that it
	// knows to live.
	overlay *overlay.Overlay
	live    []scheduler.Peer
	// links are what waits to be told over links.
	links map[state.Router]*outbox
	// names are the upstreams that peers have numbered in their messages.
	names  map[state.Router]names
	claims map[state.Router]readerWord
	// answered is when the store last answered this router, failed when a
	// call last failed; each kind is followed by itself.
	answered time.Time
	failed   time.Time
	// reading is set while this router reads the store.
	reading bool
	// aloneSince is when a peer last said that it reads the store.
	aloneSince time.Time
	catchUp    exchange.CatchUp
	fetch      exchange.Fetch
	// caughtUp is set once a peer has told all that it holds: what other answers
	// bring that is new is told to the other links.
	caughtUp bool
	// scanned is when stalled requests were last looked for, resumed when
	// that was last late; used by run alone.
	scanned time.Time
	resumed time.Time
}

func newFleet(self scheduler.Peer, dispatcher *dispatcher, catalogue *catalogue, log zerolog.Logger, now func() time.Time) *fleet {
	f := &fleet{
		self: self, dispatcher: dispatcher, catalogue: catalogue, log: log, now: now, started: now(),
		claims: make(map[state.Router]readerWord), links: make(map[state.Router]*outbox), names: make(map[state.Router]names),
	}
	f.join(membership.Member{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation})
	dispatcher.onLost = f.sendLost
	return f
}

// join makes this router known to the overlay under an address and incarnation.
// It is called before any session opens.
func (f *fleet) join(self membership.Member) {
	f.self.Incarnation = self.Incarnation
	f.overlay = overlay.New(self)
	f.live = f.overlay.LiveRouters()
}

func (f *fleet) onAnswer() {
	f.mu.Lock()
	f.answered = f.now()
	f.mu.Unlock()
	f.dispatcher.confirm()
}

func (f *fleet) onFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = f.now()
}

// claim says whether this router may tell peers that it follows the store.
func (f *fleet) claim() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading && !f.answered.IsZero() && f.answered.After(f.failed) && f.now().Sub(f.answered) <= readHealthy
}

// giveUpStalled skips a round after a pause of this process, in which every
// upstream looks silent: what they sent meanwhile has yet to be read.
func (f *fleet) giveUpStalled() {
	now := f.now()
	if f.scanned.IsZero() {
		f.scanned = now
	}
	late := now.Sub(f.scanned)
	f.scanned = now
	f.watchPressure(late)
	if late > lateScan {
		f.resumed = now
	}
	if now.Sub(f.resumed) < catchUp {
		return
	}
	if n := f.dispatcher.giveUpStalled(); n > 0 {
		f.log.Warn().Int("requests", n).Msg("stalled requests given up")
	}
}

// watchPressure logs when the router becomes busy or calm.
func (f *fleet) watchPressure(sinceScan time.Duration) {
	p := f.dispatcher.pressure
	busy, changed := p.observe(min(max(sinceScan-scanEvery, 0), time.Second), sinceScan)
	if changed {
		f.log.Warn().Bool("busy", busy).Int64("callers", p.callers.Load()).Int64("upstreams", p.upstreams.Load()).
			Dur("lag", time.Duration(p.lag.Load())).Float64("processor", p.work.ExpectedLoad()).
			Int64("shed", p.work.Totals().Shed).Msg("pressure changed")
	}
}
