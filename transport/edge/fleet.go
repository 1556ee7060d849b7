package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

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
	// fullPace is the number of routers up to which peers are told at the
	// full pace.
	fullPace = 16
	// aliveEvery is how long a router says nothing if nothing has changed.
	aliveEvery = 400 * time.Millisecond
	// loadsEvery is the period at which peers hear of this router's load. Ten
	// times a second leaves two requests per engine unseen at twenty requests
	// a second each.
	loadsEvery = 100 * time.Millisecond
	// urgentGap bounds how often long prompts make this router tell its load,
	// before its turn. In a large fleet it grows with the pace: a router with
	// a quarter of the callers of 85 told 84 peers fifty times a second, until
	// slow peers' queues overflowed and their sessions began anew from full
	// state, again and again.
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

// fleet talks with the peers.
type fleet struct {
	self      state.Router
	desk      *desk
	catalogue *catalogue
	mesh      *peer.Mesh
	log       zerolog.Logger
	now       func() time.Time

	mu     sync.Mutex
	live   []state.Router
	claims map[state.Router]time.Time
	// answered is when the store last answered this router, failed when a
	// call last failed; each kind is followed by itself.
	answered time.Time
	failed   time.Time
	// reading is set while this router reads the store.
	reading bool
	// aloneSince is when a peer last said that it reads the store.
	aloneSince time.Time
	// scanned is when stalled requests were last looked for, resumed when
	// that was last late; used by run alone.
	scanned time.Time
	resumed time.Time
}

func newFleet(self state.Router, desk *desk, catalogue *catalogue, log zerolog.Logger, now func() time.Time) *fleet {
	f := &fleet{
		self: self, desk: desk, catalogue: catalogue, log: log, now: now,
		claims: make(map[state.Router]time.Time),
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

// run tells peers of loads and spending until the context ends.
func (f *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(scanEvery)
	defer ticker.Stop()
	// urgent fires when a long prompt has waited its gap.
	urgent := time.NewTimer(time.Hour)
	urgent.Stop()
	defer urgent.Stop()
	waiting := false
	var told timesTold
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.desk.urgent:
			if !waiting {
				waiting = true
				urgent.Reset(time.Duration(f.pace() * float64(urgentGap)))
			}
		case <-urgent.C:
			waiting = false
			told.loads = f.tellLoads(f.now(), told.loads)
		case <-ticker.C:
			f.catalogue.settleLapsed()
			f.giveUpStalled()
			f.tellInTurn(&told)
		}
	}
}

// timesTold are when peers were last told of loads and of spending.
type timesTold struct{ loads, spending time.Time }

// tellInTurn tells peers what is due by the fleet's pace.
func (f *fleet) tellInTurn(told *timesTold) {
	now, pace := f.now(), f.pace()
	if now.Sub(told.loads) >= time.Duration(pace*float64(loadsEvery)) {
		told.loads = f.tellLoads(now, told.loads)
	}
	if now.Sub(told.spending) >= time.Duration(pace*float64(spendingEvery)) {
		told.spending = now
		f.sendSpending()
	}
}

// pace is how much less often than usual peers are told: a router hears from
// all others, and what it spends on that must not grow with the fleet.
func (f *fleet) pace() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, float64(len(f.live))/fullPace)
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
			Dur("lag", time.Duration(p.lag.Load())).Float64("processor", p.used).Msg("pressure changed")
	}
}

// tellLoads tells what has changed, or after a while that nothing has, and
// returns when peers were last told.
func (f *fleet) tellLoads(now, last time.Time) time.Time {
	message := loadsMessage(f.desk.takeChangedLoads())
	for _, placed := range f.desk.takePlaced() {
		message.Prompts = append(message.Prompts, promptMessage(placed))
	}
	if len(message.Entries) == 0 && len(message.Prompts) == 0 && now.Sub(last) < aliveEvery {
		return last
	}
	message.ReadsStore = f.claim()
	f.mesh.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}})
	return now
}

func (f *fleet) sendSpending() {
	message := &peerpb.Spending{}
	for ws, usage := range f.desk.ownSpending() {
		message.Entries = append(message.Entries, &peerpb.WorkspaceSpending{
			Workspace: string(ws), Asked: uint64(usage.Asked), Admitted: uint64(usage.Admitted),
		})
	}
	if len(message.Entries) > 0 {
		f.mesh.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Spending{Spending: message}})
	}
}

func (f *fleet) sendLost(fingerprint state.Fingerprint, run quarantine.Run) {
	f.mesh.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: &peerpb.Crash{
		Fingerprint: uint64(fingerprint), Upstream: string(run.Upstream), Boot: run.Boot,
	}}})
}

// sendNews tells all peers of objects that the store told this router.
func (f *fleet) sendNews(kind Kind, objects []Object) {
	for _, o := range objects {
		f.mesh.Broadcast(objectEnvelope(kind, o))
	}
}

// onEnvelope takes a message of a peer.
func (f *fleet) onEnvelope(from peer.Peer, env *peerpb.Envelope) {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_ConfigObject:
		f.onObject(from.Router, body.ConfigObject)
	case *peerpb.Envelope_Loads:
		f.onLoads(from.Router, body.Loads)
	case *peerpb.Envelope_Spending:
		f.onSpending(from.Router, body.Spending)
	case *peerpb.Envelope_Crash:
		f.desk.heardLost(state.Fingerprint(body.Crash.GetFingerprint()),
			quarantine.Run{Upstream: state.Upstream(body.Crash.GetUpstream()), Boot: body.Crash.GetBoot()})
	}
}

func (f *fleet) onObject(from state.Router, m *peerpb.ConfigObject) {
	kindName, name, ok := strings.Cut(m.GetKey(), keySeparator)
	if !ok || len(m.GetKey()) > wire.MaxName {
		f.log.Warn().Str("peer", string(from)).Str("key", m.GetKey()).Msg("object refused")
		return
	}
	kind := KindUpstream
	if kindName == KindConfig.String() {
		kind = KindConfig
	}
	o := Object{Name: name, Revision: m.GetVersion(), Removed: m.GetRemoved(), Spec: m.GetValue()}
	f.catalogue.take(kind, o, string(from))
}

func (f *fleet) onLoads(from state.Router, m *peerpb.Loads) {
	if len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	loads := make(map[state.Upstream]placement.Load, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		loads[state.Upstream(e.GetUpstream())] = placement.Load{Running: int(e.GetRunning()), Unread: int(e.GetUnread())}
	}
	f.desk.heardLoads(from, loads, m.GetFull())
	f.desk.heardPlaced(placedPrompts(m.GetPrompts()))
	f.mu.Lock()
	if m.GetReadsStore() {
		f.claims[from] = f.now()
	} else {
		delete(f.claims, from)
	}
	f.mu.Unlock()
	if m.GetReadsStore() {
		f.desk.confirm()
	}
}

func (f *fleet) onSpending(from state.Router, m *peerpb.Spending) {
	if len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	usage := make(map[state.Workspace]shares.Usage, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		usage[state.Workspace(e.GetWorkspace())] = shares.Usage{Asked: float64(e.GetAsked()), Admitted: float64(e.GetAdmitted())}
	}
	f.desk.heardSpending(from, usage)
}

// onPeers takes the live routers.
func (f *fleet) onPeers(peers []scheduler.Peer) {
	live := make([]state.Router, 0, len(peers))
	for _, p := range peers {
		live = append(live, p.Router)
	}
	f.mu.Lock()
	gone := slices.DeleteFunc(f.live, func(r state.Router) bool { return slices.Contains(live, r) })
	f.live = live
	f.mu.Unlock()
	f.desk.setRouters(len(live), gone)
}

// onSession tells a peer all that is held: messages may have been lost.
func (f *fleet) onSession(p peer.Peer) {
	loads := loadsMessage(f.desk.ownLoads())
	loads.Full, loads.ReadsStore = true, f.claim()
	f.mesh.Send(p.Router, &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: loads}})
	for kind, objects := range f.catalogue.all() {
		for _, o := range objects {
			f.mesh.Send(p.Router, objectEnvelope(kind, o))
		}
	}
}
