package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestBook(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBook(41)
	first := b.Give(now, Given{To: "r", Reserved: 100})
	second := b.Give(now.Add(time.Second), Given{To: "r", Reserved: 100})
	require.Equal(t, uint64(42), first.Sequence)
	require.Nil(t, b.Find("other", 42), "a grant belongs to one router")
	b.Heard(now, b.Find("r", 42))
	require.Equal(t, []*Given{second}, b.Expired(now.Add(time.Second+Lifetime)))
	b.Heard(now.Add(time.Minute), first)
	require.Empty(t, b.Expired(now.Add(Silence)), "started grants outlive their lifetime")
	require.Equal(t, []*Given{first}, b.Lose("r"))
	require.Zero(t, b.Len())
	silent := b.Give(now, Given{To: "r"})
	b.Heard(now, silent)
	require.Equal(t, []*Given{silent}, b.Expired(now.Add(Silence)), "its end was lost")
}

func TestReservationDoublesWhenOutgrown(t *testing.T) {
	g := Given{Reserved: 100}
	for _, c := range []struct{ cost, remaining state.Cost }{{40, 60}, {60, 0}, {1, 99}, {150, 149}} {
		g.Charge(c.cost)
		require.Equal(t, c.remaining, g.Remaining())
	}
}

func TestSeenKnowsIncarnationsApart(t *testing.T) {
	s := NewSeen()
	require.True(t, s.First("r", 1<<60))
	require.False(t, s.First("r", 1<<60))
	require.True(t, s.First("r", 1<<60+1))
	require.False(t, s.First("r", 1<<60-5), "late")
	require.True(t, s.First("r", 7), "another incarnation")
	require.True(t, s.First("q", 7))
}
