package exchange

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// Three peers announce a large object. It must be requested from one of them;
// if each sent it, it would cross the router's network link three times.
func TestObjectIsFetchedFromOnePeer(t *testing.T) {
	var f Fetch
	for _, peer := range []state.Router{"a", "b", "c"} {
		f.Announced(peer, 5, 4)
	}
	_, ok := f.NextPeer(start, 4)
	require.True(t, ok)
	_, ok = f.NextPeer(after(fetchTimeout-1), 4)
	require.False(t, ok)
	f.RevisionReceived(5)
	_, ok = f.NextPeer(after(fetchTimeout), 5)
	require.False(t, ok)
}

// The asked peer does not answer. Another peer that announced the object must
// be asked.
func TestSilentPeerIsReplaced(t *testing.T) {
	var f Fetch
	f.Announced("a", 5, 4)
	f.Announced("b", 5, 4)
	first, _ := f.NextPeer(start, 4)
	second, ok := f.NextPeer(after(fetchTimeout), 4)
	require.True(t, ok)
	require.NotEqual(t, first, second)
	_, ok = f.NextPeer(after(2*fetchTimeout), 4)
	require.False(t, ok, "both peers were asked without an answer")
}

// Several revisions are announced in quick succession. Only the newest one must
// be fetched next; the revisions between are skipped.
func TestNewestVersionIsFetched(t *testing.T) {
	var f Fetch
	f.Announced("a", 5, 4)
	_, _ = f.NextPeer(start, 4)
	f.Announced("b", 6, 4)
	f.Announced("a", 7, 4)
	_, ok := f.NextPeer(after(1), 4)
	require.False(t, ok)
	f.RevisionReceived(5)
	peer, ok := f.NextPeer(after(2), 5)
	require.True(t, ok)
	require.EqualValues(t, "a", peer)
	f.Announced("b", 7, 7)
	f.RevisionReceived(7)
	_, ok = f.NextPeer(after(3), 7)
	require.False(t, ok)
}
