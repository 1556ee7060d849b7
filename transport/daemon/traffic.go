package daemon

import (
	"sync"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
	"google.golang.org/protobuf/proto"
)

// KindTraffic counts the messages of one kind that a router sent, without the
// framing of the session below.
type KindTraffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// countingLink is the mesh with a count of what is sent, by kind of message.
// The mesh's own figures cannot tell whether demand, grants or counters fill
// the links.
type countingLink struct {
	mesh *peer.Mesh
	// peers counts the live peers, which a broadcast goes to.
	peers func() int

	mu    sync.Mutex
	kinds map[string]KindTraffic
}

// Send counts a message and sends it to one peer.
func (l *countingLink) Send(to state.Router, env *peerpb.Envelope) bool {
	l.count(env, 1)
	return l.mesh.Send(to, env)
}

// Broadcast counts a message for each live peer and sends it to all.
func (l *countingLink) Broadcast(env *peerpb.Envelope) {
	l.count(env, l.peers())
	l.mesh.Broadcast(env)
}

func (l *countingLink) count(env *peerpb.Envelope, copies int) {
	kind := string(env.ProtoReflect().WhichOneof(bodyField).Name())
	size := uint64(proto.Size(env))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = make(map[string]KindTraffic)
	}
	k := l.kinds[kind]
	k.Messages += uint64(copies)
	k.Bytes += size * uint64(copies)
	l.kinds[kind] = k
}

// bodyField is the oneof that holds an envelope's message.
var bodyField = (&peerpb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

func (l *countingLink) byKind() map[string]KindTraffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	kinds := make(map[string]KindTraffic, len(l.kinds))
	for kind, traffic := range l.kinds {
		kinds[kind] = traffic
	}
	return kinds
}
