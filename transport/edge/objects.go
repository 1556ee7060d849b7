package edge

import (
	"errors"
	"strings"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// announceFrom is the size of an object from which peers are told its revision
// only, and fetch it from one that holds it, once.
const announceFrom = 2 << 10

// publishObjects tells peers of objects that are new here.
func (f *fleet) publishObjects(kind Kind, objects []Object) {
	peers, _ := f.receivers()
	for _, o := range objects {
		f.mesh.SendEach(peers, f.newsEnvelope(kind, o))
	}
}

// newsEnvelope tells of a changed object: a large configuration by what changed
// since the one before, or if that is much as well, by its revision.
func (f *fleet) newsEnvelope(kind Kind, o Object) *peerpb.Envelope {
	if kind != KindConfig || len(o.Spec) < announceFrom {
		return objectEnvelope(kind, o)
	}
	if change, ok := f.catalogue.lastChange(); ok && len(change.GetValue()) < announceFrom {
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
			f.offered(from, v.GetVersion())
		}
	}
}

// offered notes that a peer holds a revision of the configuration.
func (f *fleet) offered(from state.Router, revision uint64) {
	held := f.catalogue.holding().ConfigRevision
	f.mu.Lock()
	f.fetch.Announced(from, revision, held)
	f.mu.Unlock()
	f.fetchDue()
}

// fetchDue asks a peer for a newer configuration, if one was announced.
func (f *fleet) fetchDue() {
	held := f.catalogue.configName()
	f.mu.Lock()
	var from state.Router
	ask := false
	if !f.catchUp.AwaitingAnswer(f.now()) {
		from, ask = f.fetch.NextPeer(f.now(), held.Revision)
	}
	f.mu.Unlock()
	if ask {
		f.mesh.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{
			Keys: []string{objectKey(KindConfig, held.Name)}, Held: []uint64{held.Revision},
		}}})
	}
}

// onConfigRequest sends a peer the configuration, as a change of the one that it
// holds if that is known here.
func (f *fleet) onConfigRequest(from state.Router, m *peerpb.ConfigRequest) {
	held := uint64(0)
	if len(m.GetHeld()) > 0 {
		held = m.GetHeld()[0]
	}
	o, ok := f.catalogue.encodedConfig(held)
	if !ok || o.GetVersion() <= held {
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
	spec, err := f.catalogue.decompress(m)
	if errors.Is(err, errBaseUnknown) {
		f.offered(from, m.GetVersion())
		return
	}
	if err != nil {
		f.log.Warn().Err(err).Str("peer", string(from)).Str("key", m.GetKey()).Uint64("base", m.GetBase()).Msg("object refused")
		return
	}
	o := Object{Name: name, Revision: m.GetVersion(), Removed: m.GetRemoved(), Spec: spec}
	first := kind == KindConfig && f.catalogue.empty()
	news := f.catalogue.take(kind, o, string(from))
	if kind == KindConfig {
		f.onConfigTaken(o.Revision)
	}
	if !news {
		return
	}
	if first {
		// Peers that have just started as well can ask this router now.
		peers, _ := f.receivers()
		f.mesh.SendEach(peers, f.readingEnvelope(f.claim()))
	}
	if kind == KindConfig && !m.GetAnswer() {
		f.dispatcher.confirm()
	}
	if _, tree := f.receivers(); tree && (!m.GetAnswer() || f.isCaughtUp()) {
		f.passOn(from, f.newsEnvelope(kind, o))
	}
}

func (f *fleet) isCaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

func (f *fleet) onConfigTaken(revision uint64) {
	f.mu.Lock()
	f.fetch.RevisionReceived(revision)
	f.mu.Unlock()
	f.fetchDue()
}

// sendCatalogue tells a peer all objects that are held and that it may lack.
func (f *fleet) sendCatalogue(to state.Router, m *peerpb.CatalogueRequest) {
	if o, ok := f.catalogue.encodedConfig(m.GetConfigRevision()); ok && o.GetVersion() > m.GetConfigRevision() {
		o.Answer = true
		f.send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: o}})
	}
	for _, o := range f.catalogue.upstreams() {
		env := objectEnvelope(KindUpstream, o)
		env.GetConfigObject().Answer = true
		f.send(to, env)
	}
	end := &peerpb.CatalogueEnd{Holds: !f.catalogue.empty(), ReadsStore: f.claim()}
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
