package wire

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/figstile/figstile/protocol/peerpb"
)

func TestPacksContainAllObjectsInOrder(t *testing.T) {
	for _, count := range []int{0, 1, 5000} {
		var objects []*peerpb.ConfigObject
		for i := range count {
			objects = append(objects, &peerpb.ConfigObject{Key: fmt.Sprintf("upstream/%d", i), Version: uint64(i), Value: make([]byte, 200), Removed: i%2 == 0})
		}
		packs, err := PackObjects(objects)
		require.NoError(t, err)
		var unpacked []*peerpb.ConfigObject
		for _, pack := range packs {
			part, err := UnpackObjects(pack)
			require.NoError(t, err)
			unpacked = append(unpacked, part...)
		}
		require.Len(t, unpacked, count)
		for i := range unpacked {
			require.True(t, proto.Equal(objects[i], unpacked[i]))
		}
		require.LessOrEqual(t, len(packs), count/500+1)
	}
}

// A pack that is cut off or is not one must yield an error.
func TestMalformedPacks(t *testing.T) {
	packs, err := PackObjects([]*peerpb.ConfigObject{{Key: "upstream/a", Value: []byte("value")}})
	require.NoError(t, err)
	_, err = UnpackObjects(packs[0][:len(packs[0])-1])
	require.Error(t, err)
	_, err = UnpackObjects([]byte("no pack"))
	require.Error(t, err)
	_, err = UnpackObjects(Compress([]byte{9, 1}, nil))
	require.Error(t, err)
}
