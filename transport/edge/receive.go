package edge

import (
	"time"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// onMessage handles a message from a peer that was not sent before sentAfter, if
// that is known.
func (f *fleet) onMessage(from peer.Peer, env *peerpb.Envelope, sentAfter time.Time) {
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
		f.onReading(from.Router, body.Reading, sentAfter)
	case *peerpb.Envelope_CatalogueRequest:
		f.sendCatalogue(from.Router, body.CatalogueRequest)
	case *peerpb.Envelope_CatalogueEnd:
		f.onCatalogueEnd(from.Router, body.CatalogueEnd, sentAfter)
	case *peerpb.Envelope_Crash:
		f.onCrash(from.Router, body.Crash, env)
	case *peerpb.Envelope_Suspicion:
		f.onSuspicion(from.Router, body.Suspicion, env)
	}
}

// markAlive records that a message was received from a peer, which keeps a link
// to it alive.
func (f *fleet) markAlive(from state.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overlay.MarkAlive(f.now(), from)
}

// acceptsLoadFrom reports whether a peer's loads and usage are applied. In a
// tree, only those received over a link are.
func (f *fleet) acceptsLoadFrom(from state.Router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.overlay.TreeMode() || f.linkOutboxes[from] != nil
}

// onLoads handles the loads of a peer, or of all routers on its side of a link.
func (f *fleet) onLoads(from state.Router, m *peerpb.Loads) {
	f.onRevisionOffered(from, m.GetConfigRevision())
	upstreams := f.extendNames(from, m)
	loads, loadsOK := upstreams.loads(m)
	prompts, promptsOK := upstreams.prompts(m)
	if !f.acceptsLoadFrom(from) || len(m.GetRefused()) > wire.MaxEntries {
		return
	}
	if !loadsOK || !promptsOK {
		f.log.Warn().Str("peer", string(from)).Msg("malformed loads")
		return
	}
	f.dispatcher.receiveLoads(from, loads, m.GetFull())
	f.dispatcher.receivePlacedPrompts(prompts)
	f.dispatcher.receiveRefusedRequests(m.GetRefused())
	if peers, tree := f.receivers(); tree && len(peers) > 1 && len(loads)+len(prompts)+len(m.GetRefused()) > 0 {
		f.enqueue(prompts, m.GetRefused(), from)
		f.dispatcher.requestPublish()
	}
}

// extendNames adds the names in a message to the upstreams that a peer has
// numbered, and returns all of them.
func (f *fleet) extendNames(from state.Router, m *peerpb.Loads) upstreamNames {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerNames[from] = f.peerNames[from].extend(m)
	return f.peerNames[from]
}

// onSpending handles the workspace usage of a peer, or of all routers on its
// side of a link.
func (f *fleet) onSpending(from state.Router, m *peerpb.Spending) {
	if !f.acceptsLoadFrom(from) || len(m.GetEntries()) > wire.MaxEntries {
		return
	}
	usage := make(map[state.Workspace]shares.Usage, len(m.GetEntries()))
	for _, e := range m.GetEntries() {
		usage[state.Workspace(e.GetWorkspace())] = shares.Usage{Requested: float64(e.GetAsked()), Admitted: float64(e.GetAdmitted())}
	}
	f.dispatcher.receiveSpending(from, usage)
}

// onReading handles a router's message on whether it reads the store.
func (f *fleet) onReading(from state.Router, m *peerpb.Reading, sentAfter time.Time) {
	now, reader := f.now(), from
	times := newClaimTimes(now, m, sentAfter)
	if m.GetRouter() != "" {
		reader = state.Router(m.GetRouter())
		f.forwardReading(from, m, times)
	}
	if reader == from {
		f.onRevisionOffered(from, m.GetConfigRevision())
	}
	f.dispatcher.configSeen(m.GetConfigRevision(), string(reader))
	if times.confirmed {
		f.dispatcher.confirmConfig(m.GetConfigRevision(), string(reader), times.confirmedAt)
	}
	f.compareWith(reader, m, times.madeAt)
	f.fetchCatalogue()
}

// compareWith compares what a router holds with what is held here, and records
// its claim to read the store.
func (f *fleet) compareWith(router state.Router, m *peerpb.Reading, madeAt time.Time) {
	own, remote := f.catalogue.contentSummary(), exchange.StateSummary{ConfigRevision: m.GetConfigRevision(), UpstreamsDigest: m.GetUpstreams()}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.catchUp.SummaryReceived(now, router, remote, own)
	if m.GetRouter() == "" && now.Before(f.newLinks[router]) {
		f.catchUp.LinkOpened(now, router, remote, own)
	}
	if now.Sub(madeAt) > claimExpiry || madeAt.Before(f.readerClaims[router].madeAt) {
		return
	}
	if !m.GetStore() {
		delete(f.readerClaims, router)
		return
	}
	f.readerClaims[router] = readerClaim{madeAt: madeAt, upstreamDigest: remote.UpstreamsDigest}
	f.catchUp.CompareWithReader(now, router, remote, own)
}

// fetchCatalogue requests all objects from a peer if some may be missing here,
// or if upstreams may have been removed that are still in use.
func (f *fleet) fetchCatalogue() {
	pendingRemovals, ownSummary := f.catalogue.hasPendingRemovals(), f.catalogue.contentSummary()
	f.mu.Lock()
	if pendingRemovals {
		f.catchUp.SuspectUpstreams(f.now(), f.self, f.readersWithOtherUpstreams(f.now(), ownSummary.UpstreamsDigest))
	} else {
		f.catchUp.ClearSuspicion()
	}
	router, ask := f.catchUp.NextPeer(f.now(), f.self, f.catalogueSources())
	request := &peerpb.CatalogueRequest{ConfigRevision: max(ownSummary.ConfigRevision, f.fetch.ExpectedRevision())}
	f.mu.Unlock()
	if ask {
		f.send(router, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueRequest{CatalogueRequest: request}})
	}
}

// catalogueSources returns the peers that can be asked for their catalogue
// without a relay. The caller holds the lock.
func (f *fleet) catalogueSources() []scheduler.Peer {
	if f.overlay.TreeMode() {
		return f.overlay.Sessions()
	}
	return f.livePeers
}

// onCatalogueEnd handles the end of a peer's answer. A router that has just
// started may answer callers at once that something does not exist if the peer
// states how recently the store confirmed its configuration.
func (f *fleet) onCatalogueEnd(from state.Router, m *peerpb.CatalogueEnd, sentAfter time.Time) {
	f.mu.Lock()
	f.catchUp.Answered(f.now(), from, m.GetHolds())
	f.caughtUp = f.caughtUp || m.GetHolds()
	f.mu.Unlock()
	if m.GetHolds() {
		f.catalogue.markComplete()
	}
	if m.ConfirmedMs != nil && !sentAfter.IsZero() {
		f.dispatcher.confirmConfig(m.GetConfigRevision(), string(from), sentAfter.Add(-millis(m.GetConfirmedMs())))
	}
}
