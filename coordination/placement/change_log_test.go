package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

// A link's peer that adds up the changes it was sent must know the same sums as
// one that is sent all of them, however rarely they are taken.
func TestTakenSumsAddUpToAllSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		v := New("here")
		for i := range 5 {
			v.SetUpstream(directory.Upstream{ID: state.Upstream(fmt.Sprint(i)), Service: "s", Slots: 8})
		}
		v.ReceiveLoads(start, "left", nil, true)
		known := make(map[state.Upstream]Load)
		steps := rapid.SampledFrom([]int{3, 40, 3 * maxLoggedChanges}).Draw(t, "changes between two takes")
		for range 3 {
			for range rapid.IntRange(0, steps).Draw(t, "changes") {
				id := state.Upstream(fmt.Sprint(rng.IntN(5)))
				from := []state.Router{"left", "right"}[rng.IntN(2)]
				v.ReceiveLoads(start, from, map[state.Upstream]Load{id: {Running: rng.IntN(9)}}, false)
			}
			if rapid.Bool().Draw(t, "an upstream restarts") {
				v.SetUpstream(directory.Upstream{ID: "0", Service: "s", Slots: 8, Born: int64(rng.IntN(1 << 30))})
				delete(known, "0")
			}
			maps.Copy(known, v.TakeLinkSums("right", false))
		}
		for id, h := range v.hosts {
			if known[id] != h.loadExcluding("right") {
				t.Fatalf("sum %v sent for %s, which is %v", known[id], id, h.loadExcluding("right"))
			}
		}
	})
}

func TestChangeLogIsBounded(t *testing.T) {
	var l changeLog
	for range 10 * maxLoggedChanges {
		l.add(&host{})
	}
	require.LessOrEqual(t, len(l.hosts), maxLoggedChanges)
	require.EqualValues(t, 10*maxLoggedChanges, l.count())
	_, known := l.since(1)
	require.False(t, known)
	recent, known := l.since(l.count() - 3)
	require.True(t, known)
	require.Len(t, recent, 3)
}
