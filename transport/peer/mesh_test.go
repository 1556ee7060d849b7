package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
)

func grantEnvelope(sequence uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{Sequence: sequence, Service: "drafts", Workspace: "guias", Upstream: "u1"}}}
}

func TestTwoRoutersExchangeMessages(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	require.True(t, a.Send("laredo-1", grantEnvelope(1)))
	object := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{Key: "k", Value: make([]byte, 1<<20)}}}
	require.True(t, a.Send("laredo-1", object))
	b.Broadcast(grantEnvelope(2))
	f.waitFor(func() bool { return b.receivedFrom("castro-1") == 2 && a.receivedFrom("laredo-1") == 1 })
	object.GetConfigObject().Value = make([]byte, wire.MaxBulkFrameBytes)
	require.False(t, a.Send("laredo-1", object), "the peer would reject a frame of this size")
	require.False(t, a.Send("nobody", grantEnvelope(1)))
	require.False(t, a.Send("castro-1", grantEnvelope(1)))
	stats := a.Stats().Peers[0]
	require.Greater(t, stats.BytesOut, uint64(1<<20))
	require.True(t, stats.Connected)
}
