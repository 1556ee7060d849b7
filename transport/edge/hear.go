package edge

import (
	"strings"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// onEnvelope takes a message of a peer.
func (f *fleet) onEnvelope(from peer.Peer, env *peerpb.Envelope) {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_ConfigObject:
		f.onObject(from, body.ConfigObject)
	case *peerpb.Envelope_Loads:
		f.onLoads(from, body.Loads, env)
	case *peerpb.Envelope_Spending:
		f.onSpending(from, body.Spending, env)
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
	first := kind == KindConfig && f.catalogue.empty()
	if !f.catalogue.take(kind, o, string(from.Router)) {
		return
	}
	plan := f.planned()
	if first {
		// Neighbours that have just started as well can ask this router now.
		f.mesh.SendEach(plan.Near, f.readingEnvelope(f.claim()))
	}
	if m.GetAnswer() {
		return
	}
	if kind == KindConfig {
		f.desk.confirm()
	}
	if !plan.Direct && from.DataCentre != f.self.DataCentre {
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

// onLoads takes what a peer, or a data centre, has at upstreams; env is the
// message it came in.
func (f *fleet) onLoads(from peer.Peer, m *peerpb.Loads, env *peerpb.Envelope) {
	source, ok := f.source(from, m.GetDataCentre())
	if !ok || max(len(m.GetEntries()), len(m.GetRefused())) > wire.MaxEntries {
		return
	}
	loads := make(map[state.Upstream]placement.Load, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		loads[state.Upstream(e.GetUpstream())] = placement.Load{Running: int(e.GetRunning()), Unread: int(e.GetUnread())}
	}
	f.desk.heardLoads(source, loads, m.GetFull())
	f.desk.heardPlaced(placedPrompts(m.GetPrompts()))
	f.desk.heardRefused(m.GetRefused())
	if source.Router != "" && source.DataCentre == f.self.DataCentre {
		f.keepForFar(m.GetPrompts())
	}
	f.passOn(from, m.GetDataCentre(), env)
}

// onSpending takes the counts of a peer, or a data centre; env is the message
// they came in.
func (f *fleet) onSpending(from peer.Peer, m *peerpb.Spending, env *peerpb.Envelope) {
	source, ok := f.source(from, m.GetDataCentre())
	if !ok || len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	usage := make(map[state.Workspace]shares.Usage, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		usage[state.Workspace(e.GetWorkspace())] = shares.Usage{Asked: float64(e.GetAsked()), Admitted: float64(e.GetAdmitted())}
	}
	f.desk.heardSpending(source, usage)
	f.passOn(from, m.GetDataCentre(), env)
}

// onReading takes a peer's word on whether it follows the store.
func (f *fleet) onReading(from state.Router, m *peerpb.Reading) {
	own, theirs := f.catalogue.holding(), exchange.Holding{Config: m.GetConfigRevision(), Upstreams: m.GetUpstreams()}
	f.mu.Lock()
	f.catchUp.Heard(f.now(), from, theirs, own)
	if m.GetStore() {
		f.claims[from] = readerWord{heard: f.now(), upstreams: theirs.Upstreams}
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
