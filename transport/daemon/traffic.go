package daemon

import (
	"sync"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
	"google.golang.org/protobuf/proto"
)

// KindTraffic counts the messages of one kind that a router has sent, without
// the framing of the session.
type KindTraffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// countingLink is the mesh with counters of the sent messages by kind. The
// counters of the mesh itself do not show whether demand, grants or usage
// counters fill the links.
type countingLink struct {
	mesh *peer.Mesh
	// peers returns the number of live peers, which receive a broadcast.
	peers func() int

	mu    sync.Mutex
	kinds map[string]KindTraffic
}

// Send counts a message and sends it to one peer.
func (l *countingLink) Send(to state.Router, env *peerpb.Envelope) bool {
	l.count(env, 1)
	return l.mesh.Send(to, env)
}

// Broadcast counts a message once for each live peer and sends it to all of
// them.
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

// bodyField is the oneof field that contains an envelope's message.
var bodyField = (&peerpb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

func (l *countingLink) trafficByKind() map[string]KindTraffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	kinds := make(map[string]KindTraffic, len(l.kinds))
	for kind, traffic := range l.kinds {
		kinds[kind] = traffic
	}
	return kinds
}
