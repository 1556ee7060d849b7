package edge

import (
	"errors"
	"strings"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// announceMinBytes is the size in bytes from which a configuration is compressed
// and sent as a delta. If the delta has that size as well, peers only receive
// the revision, and each of them fetches the configuration once, from a router
// that holds it.
const announceMinBytes = 2 << 10

// publishObjects sends objects that changed at this router to its peers.
func (f *fleet) publishObjects(kind Kind, objects []Object) {
	peers, _ := f.receivers()
	for _, message := range f.changeEnvelopes(kind, objects) {
		f.mesh.SendEach(peers, message)
	}
}

// changeEnvelope builds the message for a changed object. A large configuration
// is sent as a delta of the previous one, or as an announcement of its revision
// if the delta is large as well.
func (f *fleet) changeEnvelope(kind Kind, o Object) *peerpb.Envelope {
	if kind != KindConfig || len(o.Spec) < announceMinBytes {
		return objectEnvelope(kind, o)
	}
	if change, ok := f.catalogue.encodedLastChange(); ok && len(change.GetValue()) < announceMinBytes {
		return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: change}}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigVersions{ConfigVersions: &peerpb.ConfigVersions{
		Versions: []*peerpb.ConfigVersion{{Key: objectKey(kind, o.Name), Version: o.Revision}},
	}}}
}

// onVersions handles a peer's announcement that it holds a revision of the
// configuration.
func (f *fleet) onVersions(from state.Router, m *peerpb.ConfigVersions) {
	for _, v := range m.GetVersions() {
		if kind, _, ok := parseKey(v.GetKey()); ok && kind == KindConfig {
			f.onConfigOffered(from, v.GetVersion())
		}
	}
}

// onConfigOffered fetches a revision of the configuration that a peer announced,
// if it is newer than the one held.
func (f *fleet) onConfigOffered(from state.Router, revision uint64) {
	f.onRevisionOffered(from, revision)
	f.fetchAnnouncedConfig()
}

// onRevisionOffered records that a peer holds a revision of the configuration.
// If it is newer than the one held, it is fetched at the next tick, unless it
// arrives before: changes are sent without a request.
func (f *fleet) onRevisionOffered(from state.Router, revision uint64) {
	known := f.catalogue.receivedRevision()
	if revision <= known {
		return
	}
	f.dispatcher.configSeen(revision, string(from))
	f.mu.Lock()
	f.fetch.Announced(from, revision, known)
	f.mu.Unlock()
}

// fetchAnnouncedConfig requests a newer configuration from a peer, if one was
// announced.
func (f *fleet) fetchAnnouncedConfig() {
	current, received := f.catalogue.configRef(), f.catalogue.receivedRevision()
	f.mu.Lock()
	var from state.Router
	ask := false
	// A router without a configuration gets one with the answer it waits for.
	if current.Revision > 0 || !f.catchUp.AwaitingAnswer(f.now()) {
		from, ask = f.fetch.NextPeer(f.now(), received)
	}
	f.mu.Unlock()
	if ask {
		f.mesh.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{
			Keys: []string{objectKey(KindConfig, current.Name)}, Held: []uint64{current.Revision},
		}}})
	}
}

// onConfigRequest sends the configuration to a peer, as a delta of the revision
// that the peer holds if that revision is known here.
func (f *fleet) onConfigRequest(from state.Router, m *peerpb.ConfigRequest) {
	peerRevision := uint64(0)
	if len(m.GetHeld()) > 0 {
		peerRevision = m.GetHeld()[0]
	}
	o, ok := f.catalogue.encodedConfig(peerRevision)
	if !ok || o.GetVersion() <= peerRevision {
		return
	}
	f.mesh.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: o}})
}

// onObject handles an object received from a peer.
func (f *fleet) onObject(from state.Router, m *peerpb.ConfigObject) {
	if m.GetKey() == packedKey {
		f.onPack(from, m)
		return
	}
	kind, name, ok := parseKey(m.GetKey())
	if !ok {
		f.log.Warn().Str("peer", string(from)).Str("key", m.GetKey()).Msg("object refused")
		return
	}
	spec, err := f.catalogue.decodeSpec(m)
	if errors.Is(err, errUnknownBase) {
		f.onConfigOffered(from, m.GetVersion())
		return
	}
	if err != nil {
		f.log.Warn().Err(err).Str("peer", string(from)).Str("key", m.GetKey()).Uint64("base", m.GetBase()).Msg("object refused")
		return
	}
	o := Object{Name: name, Revision: m.GetVersion(), Removed: m.GetRemoved(), Spec: spec}
	first := kind == KindConfig && f.catalogue.hasNoConfig()
	changed := f.catalogue.applyObject(kind, o, string(from))
	if kind == KindConfig {
		f.onConfigApplied(o.Revision)
	}
	if !changed {
		return
	}
	if first {
		// Peers that have also just started can now fetch the configuration
		// from this router.
		peers, _ := f.receivers()
		f.sendSummary(peers)
	}
	if _, tree := f.receivers(); tree && (!m.GetAnswer() || f.isCaughtUp()) {
		f.forward(from, f.changeEnvelope(kind, o))
	}
}

func (f *fleet) isCaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

func (f *fleet) onConfigApplied(revision uint64) {
	f.mu.Lock()
	f.fetch.RevisionReceived(revision)
	f.mu.Unlock()
	f.fetchAnnouncedConfig()
}

// sendCatalogue sends a peer all objects that it may lack.
func (f *fleet) sendCatalogue(to state.Router, m *peerpb.CatalogueRequest) {
	if o, ok := f.catalogue.encodedConfig(m.GetConfigRevision()); ok && o.GetVersion() > m.GetConfigRevision() {
		o.Answer = true
		f.send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: o}})
	}
	for _, message := range f.catalogueEnvelopes() {
		f.send(to, message)
	}
	end := &peerpb.CatalogueEnd{Holds: !f.catalogue.isIncomplete()}
	if revision, age, ok := f.dispatcher.configConfirmation(); ok {
		ms := ageMillis(age)
		end.ConfigRevision, end.ConfirmedMs = revision, &ms
	}
	f.sendTimed(to, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueEnd{CatalogueEnd: end}})
}

// keySeparator separates the kind and the name in the key of an object.
const keySeparator = "/"

func objectKey(kind Kind, name string) string { return kind.String() + keySeparator + name }

// parseKey splits the key of an object into kind and name. ok is false if the
// key is malformed.
func parseKey(key string) (kind Kind, name string, ok bool) {
	kindName, name, ok := strings.Cut(key, keySeparator)
	if !ok || len(key) > wire.MaxNameBytes {
		return KindUpstream, "", false
	}
	for k, known := range kindNames {
		if kindName == known {
			return Kind(k), name, true
		}
	}
	return KindUpstream, "", false
}

func objectEnvelope(kind Kind, o Object) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{
		Key: objectKey(kind, o.Name), Version: o.Revision, Value: o.Spec, Removed: o.Removed,
	}}}
}
