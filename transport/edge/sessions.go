package edge

import (
	"slices"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

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

// askForCatalogue asks a peer for all objects if some may be missing here, or
// upstreams may be gone that are still used.
func (f *fleet) askForCatalogue() {
	doubtful, own := f.catalogue.doubtful(), f.catalogue.holding()
	f.mu.Lock()
	if doubtful {
		f.catchUp.Doubt(f.now(), f.self, f.otherwiseInformed(f.now(), own.Upstreams))
	} else {
		f.catchUp.Settled()
	}
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
