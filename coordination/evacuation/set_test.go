package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

var start = time.Unix(1000, 0)

func TestEvacuationBeginsEndsAndBeginsAgain(t *testing.T) {
	s := New()
	require.Zero(t, s.Digest())
	require.True(t, s.Apply(start, "dc", Entry{Revision: 5, Evacuated: true}))
	require.False(t, s.Apply(start.Add(time.Second), "dc", Entry{Revision: 5, Evacuated: true}))
	require.True(t, s.Apply(start.Add(time.Second), "dc", Entry{Revision: 6, Evacuated: true}), "the operator wrote it again")
	require.Equal(t, start, s.Since()["dc"])
	require.True(t, s.Apply(start, "dc", Entry{Revision: 6}), "a removal with the revision of the entry")
	require.Empty(t, s.Since())
	require.Zero(t, s.Digest())
	require.False(t, s.Apply(start, "dc", Entry{Revision: 6, Evacuated: true}), "a peer that missed the end")
	require.True(t, s.Apply(start.Add(time.Minute), "dc", Entry{Revision: 9, Evacuated: true}))
	require.Equal(t, start.Add(time.Minute), s.Since()["dc"])
}

func TestListEndsEvacuationsThatItDoesNotContain(t *testing.T) {
	s := New()
	s.Apply(start, "a", Entry{Revision: 3, Evacuated: true})
	s.Apply(start, "b", Entry{Revision: 4, Evacuated: true})
	s.Apply(start, "later", Entry{Revision: 9, Evacuated: true})
	require.Equal(t, []state.DataCentre{"a"}, s.MissingFrom(map[state.DataCentre]bool{"b": true}, 7))
}

// Routers receive the same changes late, twice and in different orders. All of
// them must end with the same data centres evacuated.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []Entry
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			changes = append(changes, Entry{Revision: uint64(i + 1), Evacuated: rapid.Bool().Draw(t, "evacuated")})
		}
		inOrder, shuffled := New(), New()
		for _, c := range changes {
			inOrder.Apply(start, "dc", c)
		}
		received := append(append([]Entry{}, changes...), changes...)
		for _, c := range rapid.Permutation(received).Draw(t, "received") {
			shuffled.Apply(start, "dc", c)
		}
		if inOrder.Digest() != shuffled.Digest() {
			t.Fatalf("evacuated %v and %v after the changes %v", inOrder.Since(), shuffled.Since(), changes)
		}
	})
}
