package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
)

func grant(sequence uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{Sequence: sequence, Service: "drafts", Workspace: "guias", Upstream: "u1"}}}
}

func TestTwoRoutersTalk(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	require.True(t, a.Send("laredo-1", grant(1)))
	object := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{Key: "k", Value: make([]byte, 1<<20)}}}
	require.True(t, a.Send("laredo-1", object))
	b.Broadcast(grant(2))
	f.wait(func() bool { return b.receivedFrom("castro-1") == 2 && a.receivedFrom("laredo-1") == 1 })
	object.GetConfigObject().Value = make([]byte, wire.MaxBulkFrame)
	require.False(t, a.Send("laredo-1", object), "the peer would refuse it")
	require.False(t, a.Send("nobody", grant(1)))
	require.False(t, a.Send("castro-1", grant(1)))
	sent := a.Stats().Peers[0]
	require.Greater(t, sent.BytesOut, uint64(1<<20))
	require.True(t, sent.Connected)
}
