package claims

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// FuzzDecode decodes objects that may have been written by other programs.
// Whatever is accepted must be encoded the same again, because otherwise claims
// would be lost.
func FuzzDecode(f *testing.F) {
	shard := &Segment{Number: 3, Sealed: true, Entries: []Entry{
		{Digest: Digest{1}, Claim: state.AttemptID{Router: "a", Incarnation: 1, Sequence: 2}, Status: StatusRunning, ClaimedAt: time.Unix(5, 0).UTC()},
		{Digest: Digest{2}, Claim: state.AttemptID{Router: "b", Incarnation: 3, Sequence: 4}, Status: StatusUnknown, ClaimedAt: time.Unix(6, 0).UTC()},
	}}
	value, err := shard.Encode()
	require.NoError(f, err)
	f.Add(value[:len(value)-checksumBytes])
	f.Add([]byte("fsc2\xff\xff\xff\xff"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := Decode(binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)))
		if err != nil {
			return
		}
		again, err := got.Encode()
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, got, back)
	})
}
