package edge

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

const (
	// scanEvery is the period of the fleet's own work.
	scanEvery = 100 * time.Millisecond
	// fullPace is the number of peers up to which they are told at the full
	// pace.
	fullPace = exchange.DirectUpTo
	// aliveEvery is how long a router says nothing if nothing has changed.
	aliveEvery = 400 * time.Millisecond
	// farEvery is the period at which other data centres hear of this one's
	// load, and farSpendingEvery of its workspaces'.
	farEvery         = 200 * time.Millisecond
	farSpendingEvery = 500 * time.Millisecond
	// loadsEvery is the period at which peers hear of this router's load. Ten
	// times a second leaves two requests per engine unseen at twenty requests
	// a second each.
	loadsEvery = 100 * time.Millisecond
	// urgentGap bounds how often long prompts make this router tell its load,
	// before its turn. It grows with the pace: a router with a quarter of the
	// callers of 85 told 84 peers fifty times a second, until slow peers'
	// queues overflowed and their sessions began anew from full state, again
	// and again.
	urgentGap = 20 * time.Millisecond
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
	Broadcast(env *peerpb.Envelope)
}

var _ sender = (*peer.Mesh)(nil)

// fleet talks with the peers.
type fleet struct {
	self      scheduler.Peer
	desk      *desk
	catalogue *catalogue
	mesh      sender
	log       zerolog.Logger
	now       func() time.Time

	// patience is how long after its start the router does not read the store.
	patience time.Duration
	started  time.Time

	mu     sync.Mutex
	live   []scheduler.Peer
	plan   exchange.Plan
	claims map[state.Router]time.Time
	// answered is when the store last answered this router, failed when a
	// call last failed; each kind is followed by itself.
	answered time.Time
	failed   time.Time
	// reading is set while this router reads the store.
	reading bool
	// aloneSince is when a peer last said that it reads the store.
	aloneSince time.Time
	// informed are the speakers of other data centres that hold this one's
	// sum as last told; they need changes only. farPrompts waits to be told to
	// them.
	informed   map[state.Router]bool
	catchUp    exchange.CatchUp
	farPrompts []*peerpb.PlacedPrompt
	// scanned is when stalled requests were last looked for, resumed when
	// that was last late; used by run alone.
	scanned time.Time
	resumed time.Time
}

func newFleet(self scheduler.Peer, desk *desk, catalogue *catalogue, log zerolog.Logger, now func() time.Time) *fleet {
	f := &fleet{
		self: self, desk: desk, catalogue: catalogue, log: log, now: now, started: now(),
		claims: make(map[state.Router]time.Time), informed: make(map[state.Router]bool),
	}
	desk.onLost = f.sendLost
	return f
}

func (f *fleet) onAnswer() {
	f.mu.Lock()
	f.answered = f.now()
	f.mu.Unlock()
	f.desk.confirm()
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
	if n := f.desk.giveUpStalled(); n > 0 {
		f.log.Warn().Int("requests", n).Msg("stalled requests given up")
	}
}

// watchPressure logs when the router becomes busy or calm.
func (f *fleet) watchPressure(sinceScan time.Duration) {
	p := f.desk.pressure
	busy, changed := p.observe(min(max(sinceScan-scanEvery, 0), time.Second), sinceScan)
	if changed {
		f.log.Warn().Bool("busy", busy).Int64("callers", p.callers.Load()).Int64("upstreams", p.upstreams.Load()).
			Dur("lag", time.Duration(p.lag.Load())).Float64("processor", p.work.Expected()).Msg("pressure changed")
	}
}

func (f *fleet) sendLost(fingerprint state.Fingerprint, run quarantine.Run) {
	f.mesh.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: &peerpb.Crash{
		Fingerprint: uint64(fingerprint), Upstream: string(run.Upstream), Boot: run.Boot,
	}}})
}

// sendNews tells peers of objects that the store told this router.
func (f *fleet) sendNews(kind Kind, objects []Object) {
	plan := f.planned()
	for _, o := range objects {
		env := objectEnvelope(kind, o)
		f.mesh.SendEach(plan.Near, env)
		f.mesh.SendEach(plan.Relays, env)
	}
}

// onEnvelope takes a message of a peer.
func (f *fleet) onEnvelope(from peer.Peer, env *peerpb.Envelope) {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_ConfigObject:
		f.onObject(from, body.ConfigObject)
	case *peerpb.Envelope_Loads:
		f.onLoads(from, body.Loads)
	case *peerpb.Envelope_Spending:
		f.onSpending(from, body.Spending)
	case *peerpb.Envelope_Reading:
		f.onReading(from.Router, body.Reading)
	case *peerpb.Envelope_CatalogueRequest:
		f.tellCatalogue(from.Router)
	case *peerpb.Envelope_CatalogueEnd:
		f.onCatalogueEnd(from.Router, body.CatalogueEnd)
	case *peerpb.Envelope_Crash:
		f.desk.heardLost(state.Fingerprint(body.Crash.GetFingerprint()),
			quarantine.Run{Upstream: state.Upstream(body.Crash.GetUpstream()), Boot: body.Crash.GetBoot()})
	}
}

func (f *fleet) onObject(from peer.Peer, m *peerpb.ConfigObject) {
	kindName, name, ok := strings.Cut(m.GetKey(), keySeparator)
	if !ok || len(m.GetKey()) > wire.MaxName {
		f.log.Warn().Str("peer", string(from.Router)).Str("key", m.GetKey()).Msg("object refused")
		return
	}
	kind := KindUpstream
	if kindName == KindConfig.String() {
		kind = KindConfig
	}
	o := Object{Name: name, Revision: m.GetVersion(), Removed: m.GetRemoved(), Spec: m.GetValue()}
	empty := f.catalogue.empty()
	news := f.catalogue.take(kind, o, string(from.Router))
	plan := f.planned()
	if news && empty && kind == KindConfig {
		// Neighbours that have just started as well can ask this router now.
		f.mesh.SendEach(plan.Near, f.readingEnvelope(f.claim()))
	}
	if news && !m.GetAnswer() && kind == KindConfig {
		f.desk.confirm()
	}
	if news && !m.GetAnswer() && !plan.Direct && from.DataCentre != f.self.DataCentre {
		f.mesh.SendEach(plan.Neighbours, objectEnvelope(kind, o))
	}
}

// source says whose work a message counts, and whether it is to be taken: sums
// come from a speaker of their data centre, or from a neighbour that passes
// them on.
func (f *fleet) source(from peer.Peer, sumOf string) (state.Source, bool) {
	dc := state.DataCentre(sumOf)
	if dc == "" {
		return state.Source{DataCentre: from.DataCentre, Router: from.Router}, true
	}
	near := from.DataCentre == f.self.DataCentre
	return state.Source{DataCentre: dc}, dc != f.self.DataCentre && (near || dc == from.DataCentre)
}

// passOn tells the neighbours what came from another data centre.
func (f *fleet) passOn(from peer.Peer, sumOf string, env *peerpb.Envelope) {
	if sumOf != "" && from.DataCentre != f.self.DataCentre {
		f.mesh.SendEach(f.planned().Neighbours, env)
	}
}

func (f *fleet) onLoads(from peer.Peer, m *peerpb.Loads) {
	source, ok := f.source(from, m.GetDataCentre())
	if !ok || len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	loads := make(map[state.Upstream]placement.Load, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		loads[state.Upstream(e.GetUpstream())] = placement.Load{Running: int(e.GetRunning()), Unread: int(e.GetUnread())}
	}
	f.desk.heardLoads(source, loads, m.GetFull())
	f.desk.heardPlaced(placedPrompts(m.GetPrompts()))
	if source.Router != "" && source.DataCentre == f.self.DataCentre {
		f.keepForFar(m.GetPrompts())
	}
	f.passOn(from, m.GetDataCentre(), &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: m}})
}

func (f *fleet) onSpending(from peer.Peer, m *peerpb.Spending) {
	source, ok := f.source(from, m.GetDataCentre())
	if !ok || len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	usage := make(map[state.Workspace]shares.Usage, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		usage[state.Workspace(e.GetWorkspace())] = shares.Usage{Asked: float64(e.GetAsked()), Admitted: float64(e.GetAdmitted())}
	}
	f.desk.heardSpending(source, usage)
	f.passOn(from, m.GetDataCentre(), &peerpb.Envelope{Body: &peerpb.Envelope_Spending{Spending: m}})
}

// onReading takes a peer's word on whether it follows the store.
func (f *fleet) onReading(from state.Router, m *peerpb.Reading) {
	own, theirs := f.catalogue.holding(), exchange.Holding{Config: m.GetConfigRevision(), Upstreams: m.GetUpstreams()}
	f.mu.Lock()
	f.catchUp.Heard(f.now(), from, theirs, own)
	if m.GetStore() {
		f.claims[from] = f.now()
		f.catchUp.Compare(f.now(), from, theirs, own)
	} else {
		delete(f.claims, from)
	}
	f.mu.Unlock()
	f.askForCatalogue()
	if m.GetStore() {
		f.desk.confirm()
	}
}

// onPeers takes the live routers, this one included.
func (f *fleet) onPeers(peers []scheduler.Peer) {
	f.mu.Lock()
	gone := sourcesGone(f.live, peers)
	told := f.plan.Near
	f.plan = exchange.New(f.self, peers)
	// Peers that appear get all with their session; these lived and were not
	// told before.
	added := slices.DeleteFunc(slices.Clone(f.plan.Near), func(r state.Router) bool {
		return slices.Contains(told, r) || !f.isLive(r)
	})
	f.live = peers
	for router := range f.informed {
		if !slices.Contains(f.plan.Far, router) {
			delete(f.informed, router)
		}
	}
	f.mu.Unlock()
	f.desk.setRouters(len(peers), gone)
	if len(added) > 0 {
		f.mesh.SendEach(added, loadsEnvelope("", f.desk.ownLoads(), true))
	}
}

// sourcesGone returns the routers, and the data centres as a whole, that are no
// longer among the live.
func sourcesGone(before, live []scheduler.Peer) []state.Source {
	left := make(map[state.Source]bool)
	for _, p := range live {
		left[state.Source{DataCentre: p.DataCentre, Router: p.Router}] = true
		left[state.Source{DataCentre: p.DataCentre}] = true
	}
	var gone []state.Source
	for _, p := range before {
		for _, source := range []state.Source{{DataCentre: p.DataCentre, Router: p.Router}, {DataCentre: p.DataCentre}} {
			if !left[source] && !slices.Contains(gone, source) {
				gone = append(gone, source)
			}
		}
	}
	return gone
}

func (f *fleet) planned() exchange.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan
}

// onSession tells a peer of this router's work: messages may have been lost.
func (f *fleet) onSession(p peer.Peer) {
	f.mu.Lock()
	delete(f.informed, p.Router)
	speaks, near := f.plan.Speaks, f.plan.Direct || p.DataCentre == f.self.DataCentre
	f.catchUp.Session(f.now(), scheduler.Peer{Router: p.Router, DataCentre: p.DataCentre, Incarnation: p.Incarnation})
	f.mu.Unlock()
	f.mesh.Send(p.Router, f.readingEnvelope(f.claim()))
	if near {
		f.mesh.Send(p.Router, loadsEnvelope("", f.desk.ownLoads(), true))
	}
	if speaks && p.DataCentre == f.self.DataCentre {
		for dc, loads := range f.desk.dataCentres() {
			f.mesh.Send(p.Router, loadsEnvelope(dc, loads, true))
		}
	}
}

// askForCatalogue asks a peer for all objects if some may be missing here.
func (f *fleet) askForCatalogue() {
	f.mu.Lock()
	router, ask := f.catchUp.Ask(f.now(), f.self, f.live)
	f.mu.Unlock()
	if ask {
		f.mesh.Send(router, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueRequest{CatalogueRequest: &peerpb.CatalogueRequest{}}})
	}
}

// onCatalogueEnd takes the end of a peer's answer. A router that has just
// started may say at once that a thing does not exist, if its configuration
// comes from one that follows the store.
func (f *fleet) onCatalogueEnd(from state.Router, m *peerpb.CatalogueEnd) {
	f.mu.Lock()
	f.catchUp.Answered(f.now(), from, m.GetHolds())
	f.mu.Unlock()
	if m.GetHolds() && m.GetReadsStore() {
		f.desk.confirm()
	}
}

// tellCatalogue tells a peer all objects that are held.
func (f *fleet) tellCatalogue(to state.Router) {
	for kind, objects := range f.catalogue.all() {
		for _, o := range objects {
			env := objectEnvelope(kind, o)
			env.GetConfigObject().Answer = true
			f.mesh.Send(to, env)
		}
	}
	end := &peerpb.CatalogueEnd{Holds: !f.catalogue.empty(), ReadsStore: f.claim()}
	f.mesh.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueEnd{CatalogueEnd: end}})
}
