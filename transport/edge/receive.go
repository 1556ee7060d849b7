package edge

import (
	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// onEnvelope takes a message of a peer.
func (f *fleet) onEnvelope(from peer.Peer, env *peerpb.Envelope) {
	f.markAlive(from.Router)
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Members:
		f.onMembers(from.Router, body.Members)
	case *peerpb.Envelope_Relay:
		f.onRelay(from, body.Relay)
	case *peerpb.Envelope_ConfigObject:
		f.onObject(from.Router, body.ConfigObject)
	case *peerpb.Envelope_ConfigVersions:
		f.onVersions(from.Router, body.ConfigVersions)
	case *peerpb.Envelope_ConfigRequest:
		f.onConfigRequest(from.Router, body.ConfigRequest)
	case *peerpb.Envelope_Loads:
		f.onLoads(from.Router, body.Loads)
	case *peerpb.Envelope_Spending:
		f.onSpending(from.Router, body.Spending)
	case *peerpb.Envelope_Reading:
		f.onReading(from.Router, body.Reading)
	case *peerpb.Envelope_CatalogueRequest:
		f.sendCatalogue(from.Router, body.CatalogueRequest)
	case *peerpb.Envelope_CatalogueEnd:
		f.onCatalogueEnd(from.Router, body.CatalogueEnd)
	case *peerpb.Envelope_Crash:
		f.onCrash(from.Router, body.Crash, env)
	}
}

// markAlive notes that a link's peer lives.
func (f *fleet) markAlive(from state.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overlay.MarkAlive(f.now(), from)
}

// counts says whether what a peer tells of work counts: with links, only what
// comes over one of them.
func (f *fleet) counts(from state.Router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.overlay.TreeMode() || f.links[from] != nil
}

// onLoads takes what a peer, or all on its side of a link, have at upstreams.
func (f *fleet) onLoads(from state.Router, m *peerpb.Loads) {
	named := f.named(from, m)
	loads, loadsOK := named.loads(m)
	prompts, promptsOK := named.prompts(m)
	if !f.counts(from) || len(m.GetRefused()) > wire.MaxEntries {
		return
	}
	if !loadsOK || !promptsOK {
		f.log.Warn().Str("peer", string(from)).Msg("malformed loads")
		return
	}
	f.dispatcher.heardLoads(from, loads, m.GetFull())
	f.dispatcher.heardPlaced(prompts)
	f.dispatcher.heardRefused(m.GetRefused())
	if peers, tree := f.receivers(); tree && len(peers) > 1 && len(loads)+len(prompts)+len(m.GetRefused()) > 0 {
		f.enqueue(prompts, m.GetRefused(), from)
		f.dispatcher.wakeUp()
	}
}

// named returns the upstreams that a peer has numbered, those of a message
// included.
func (f *fleet) named(from state.Router, m *peerpb.Loads) names {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[from] = f.names[from].extend(m)
	return f.names[from]
}

// onSpending takes the counts of a peer, or of all on its side of a link.
func (f *fleet) onSpending(from state.Router, m *peerpb.Spending) {
	if !f.counts(from) || len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	usage := make(map[state.Workspace]shares.Usage, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		usage[state.Workspace(e.GetWorkspace())] = shares.Usage{Requested: float64(e.GetAsked()), Admitted: float64(e.GetAdmitted())}
	}
	f.dispatcher.heardSpending(from, usage)
}

// onCrash takes a peer's word that an upstream broke off under a request.
func (f *fleet) onCrash(from state.Router, m *peerpb.Crash, env *peerpb.Envelope) {
	f.dispatcher.heardLost(state.Fingerprint(m.GetFingerprint()),
		quarantine.Run{Upstream: state.Upstream(m.GetUpstream()), Boot: m.GetBoot()})
	f.passOn(from, env)
}

// onReading takes a router's word on whether it follows the store.
func (f *fleet) onReading(from state.Router, m *peerpb.Reading) {
	reader := from
	if m.GetRouter() != "" {
		reader = state.Router(m.GetRouter())
		f.passOn(from, &peerpb.Envelope{Body: &peerpb.Envelope_Reading{Reading: m}})
	}
	own, theirs := f.catalogue.holding(), exchange.StateSummary{ConfigRevision: m.GetConfigRevision(), UpstreamsDigest: m.GetUpstreams()}
	f.mu.Lock()
	f.catchUp.SummaryReceived(f.now(), reader, theirs, own)
	if m.GetStore() {
		f.claims[reader] = readerWord{heard: f.now(), upstreams: theirs.UpstreamsDigest}
		f.catchUp.CompareWithReader(f.now(), reader, theirs, own)
	} else {
		delete(f.claims, reader)
	}
	f.mu.Unlock()
	f.fetchCatalogue()
	if m.GetStore() {
		f.dispatcher.confirm()
	}
}

// fetchCatalogue asks a peer for all objects if some may be missing here, or
// upstreams may be gone that are still used.
func (f *fleet) fetchCatalogue() {
	doubtful, own := f.catalogue.doubtful(), f.catalogue.holding()
	f.mu.Lock()
	if doubtful {
		f.catchUp.SuspectUpstreams(f.now(), f.self, f.otherwiseInformed(f.now(), own.UpstreamsDigest))
	} else {
		f.catchUp.ClearSuspicion()
	}
	router, ask := f.catchUp.NextPeer(f.now(), f.self, f.reachable())
	request := &peerpb.CatalogueRequest{ConfigRevision: max(own.ConfigRevision, f.fetch.ExpectedRevision())}
	f.mu.Unlock()
	if ask {
		f.send(router, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueRequest{CatalogueRequest: request}})
	}
}

// reachable returns the peers that a catalogue can be asked of without others
// between. The caller holds the lock.
func (f *fleet) reachable() []scheduler.Peer {
	if f.overlay.TreeMode() {
		return f.overlay.Sessions()
	}
	return f.live
}

// onCatalogueEnd takes the end of a peer's answer. A router that has just
// started may say at once that a thing does not exist, if its configuration
// comes from one that follows the store.
func (f *fleet) onCatalogueEnd(from state.Router, m *peerpb.CatalogueEnd) {
	f.mu.Lock()
	f.catchUp.Answered(f.now(), from, m.GetHolds())
	f.caughtUp = f.caughtUp || m.GetHolds()
	f.mu.Unlock()
	if m.GetHolds() && m.GetReadsStore() {
		f.dispatcher.confirm()
	}
}
