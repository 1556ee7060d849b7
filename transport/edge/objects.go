package edge

import (
	"errors"
	"strings"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// announceMinBytes is the size of an object from which peers are told its revision
// only, and fetch it from one that holds it, once.
const announceMinBytes = 2 << 10

// publishObjects tells peers of objects that are new here.
func (f *fleet) publishObjects(kind Kind, objects []Object) {
	peers, _ := f.receivers()
	for _, o := range objects {
		f.mesh.SendEach(peers, f.changeEnvelope(kind, o))
	}
}

// changeEnvelope tells of a changed object: a large configuration by what changed
// since the one before, or if that is much as well, by its revision.
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

// onVersions takes a peer's word that it holds a revision of the configuration.
func (f *fleet) onVersions(from state.Router, m *peerpb.ConfigVersions) {
	for _, v := range m.GetVersions() {
		if kind, _, ok := parseKey(v.GetKey()); ok && kind == KindConfig {
			f.onConfigOffered(from, v.GetVersion())
		}
	}
}

// onConfigOffered notes that a peer holds a revision of the configuration.
func (f *fleet) onConfigOffered(from state.Router, revision uint64) {
	currentRevision := f.catalogue.contentSummary().ConfigRevision
	f.mu.Lock()
	f.fetch.Announced(from, revision, currentRevision)
	f.mu.Unlock()
	f.fetchAnnouncedConfig()
}

// fetchAnnouncedConfig asks a peer for a newer configuration, if one was announced.
func (f *fleet) fetchAnnouncedConfig() {
	current := f.catalogue.configRef()
	f.mu.Lock()
	var from state.Router
	ask := false
	if !f.catchUp.AwaitingAnswer(f.now()) {
		from, ask = f.fetch.NextPeer(f.now(), current.Revision)
	}
	f.mu.Unlock()
	if ask {
		f.mesh.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{
			Keys: []string{objectKey(KindConfig, current.Name)}, Held: []uint64{current.Revision},
		}}})
	}
}

// onConfigRequest sends a peer the configuration, as a change of the one that it
// holds if that is known here.
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

// onObject takes an object that a peer holds.
func (f *fleet) onObject(from state.Router, m *peerpb.ConfigObject) {
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
		// Peers that have just started as well can ask this router now.
		peers, _ := f.receivers()
		f.mesh.SendEach(peers, f.readingEnvelope(f.mayClaimReading()))
	}
	if kind == KindConfig && !m.GetAnswer() {
		f.dispatcher.confirmConfig()
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

// sendCatalogue tells a peer all objects that are held and that it may lack.
func (f *fleet) sendCatalogue(to state.Router, m *peerpb.CatalogueRequest) {
	if o, ok := f.catalogue.encodedConfig(m.GetConfigRevision()); ok && o.GetVersion() > m.GetConfigRevision() {
		o.Answer = true
		f.send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: o}})
	}
	for _, o := range f.catalogue.upstreamObjects() {
		env := objectEnvelope(KindUpstream, o)
		env.GetConfigObject().Answer = true
		f.send(to, env)
	}
	end := &peerpb.CatalogueEnd{Holds: !f.catalogue.hasNoConfig(), ReadsStore: f.mayClaimReading()}
	f.send(to, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueEnd{CatalogueEnd: end}})
}

// keySeparator stands between the kind and the name of an object.
const keySeparator = "/"

func objectKey(kind Kind, name string) string { return kind.String() + keySeparator + name }

// parseKey splits the key of an object; it is not ok for one that is malformed.
func parseKey(key string) (kind Kind, name string, ok bool) {
	kindName, name, ok := strings.Cut(key, keySeparator)
	if !ok || len(key) > wire.MaxNameBytes {
		return KindUpstream, "", false
	}
	if kindName == KindConfig.String() {
		return KindConfig, name, true
	}
	return KindUpstream, name, true
}

func objectEnvelope(kind Kind, o Object) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{
		Key: objectKey(kind, o.Name), Version: o.Revision, Value: o.Spec, Removed: o.Removed,
	}}}
}
