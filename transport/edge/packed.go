package edge

import (
	"google.golang.org/protobuf/proto"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

const (
	// packedKey is the key of a message whose value is a pack of objects.
	packedKey = "packed" + keySeparator
	// maxSeparateObjects is the number of objects up to which each is sent in a
	// message of its own.
	maxSeparateObjects = 16
)

// packs returns the messages with upstreams and evacuations for a peer, many
// objects in each. Entries may have any content, and one that is too large for a
// pack gets a message of its own. answer is set if the peer asked for them.
func (f *fleet) packs(objects []*peerpb.ConfigObject, answer bool) []*peerpb.Envelope {
	var messages []*peerpb.Envelope
	var packable []*peerpb.ConfigObject
	for _, o := range objects {
		if proto.Size(o) <= wire.MaxPackedObjectBytes {
			packable = append(packable, o)
			continue
		}
		o.Answer = answer
		messages = append(messages, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: o}})
	}
	packs, err := wire.PackObjects(packable)
	if err != nil {
		f.log.Error().Err(err).Msg("objects not sent")
		return messages
	}
	for _, pack := range packs {
		messages = append(messages, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{
			Key: packedKey, Value: pack, Answer: answer,
		}}})
	}
	return messages
}

// changeEnvelopes builds the messages for changed objects of one kind.
func (f *fleet) changeEnvelopes(kind Kind, objects []Object) []*peerpb.Envelope {
	var messages []*peerpb.Envelope
	if kind == KindConfig || len(objects) <= maxSeparateObjects {
		for _, o := range objects {
			messages = append(messages, f.changeEnvelope(kind, o))
		}
		return messages
	}
	return f.packs(configObjects(kind, objects), false)
}

// catalogueEnvelopes builds the messages with all upstreams and evacuations for
// a peer that may lack some. They are kept until any of the objects changes,
// since all peers of a starting fleet ask at the same time.
func (f *fleet) catalogueEnvelopes() []*peerpb.Envelope {
	version := f.catalogue.objectsVersion()
	f.packsMu.Lock()
	defer f.packsMu.Unlock()
	if f.cataloguePacks == nil || f.cataloguePacksVersion != version {
		// Evacuations come before the upstreams that they affect.
		objects := append(configObjects(KindEvacuation, f.catalogue.evacuationObjects()),
			configObjects(KindUpstream, f.catalogue.upstreamObjects())...)
		f.cataloguePacks, f.cataloguePacksVersion = f.packs(objects, true), version
	}
	return f.cataloguePacks
}

func configObjects(kind Kind, objects []Object) []*peerpb.ConfigObject {
	converted := make([]*peerpb.ConfigObject, 0, len(objects))
	for _, o := range objects {
		converted = append(converted, objectEnvelope(kind, o).GetConfigObject())
	}
	return converted
}

// onPack handles a pack of objects received from a peer, and forwards those that
// are news.
func (f *fleet) onPack(from state.Router, m *peerpb.ConfigObject) {
	objects, err := wire.UnpackObjects(m.GetValue())
	if err != nil {
		f.log.Warn().Err(err).Str("peer", string(from)).Str("key", m.GetKey()).Msg("object refused")
		return
	}
	news := make(map[Kind][]Object)
	for _, o := range objects {
		kind, name, ok := parseKey(o.GetKey())
		if !ok || kind == KindConfig {
			f.log.Warn().Str("peer", string(from)).Str("key", o.GetKey()).Msg("object refused")
			continue
		}
		object := Object{Name: name, Revision: o.GetVersion(), Removed: o.GetRemoved(), Spec: o.GetValue()}
		if f.catalogue.applyObject(kind, object, string(from)) {
			news[kind] = append(news[kind], object)
		}
	}
	if _, tree := f.receivers(); !tree || m.GetAnswer() && !f.isCaughtUp() {
		return
	}
	for _, kind := range []Kind{KindEvacuation, KindUpstream} {
		for _, message := range f.changeEnvelopes(kind, news[kind]) {
			f.forward(from, message)
		}
	}
}
