package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestTable(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewTable(41)
	first := b.Issue(now, Grant{To: "r", Reserved: 100})
	second := b.Issue(now.Add(time.Second), Grant{To: "r", Reserved: 100})
	require.Equal(t, uint64(42), first.Sequence)
	require.Nil(t, b.Find("other", 42), "a grant belongs to one router")
	b.MarkStarted(now, b.Find("r", 42))
	require.Equal(t, []*Grant{second}, b.TakeExpired(now.Add(time.Second+Lifetime)))
	b.MarkStarted(now.Add(time.Minute), first)
	require.Empty(t, b.TakeExpired(now.Add(ReportTimeout)), "started grants outlive their lifetime")
	require.Equal(t, []*Grant{first}, b.RemoveRouter("r"))
	require.Zero(t, b.Len())
	silent := b.Issue(now, Grant{To: "r"})
	b.MarkStarted(now, silent)
	require.Equal(t, []*Grant{silent}, b.TakeExpired(now.Add(ReportTimeout)), "its end was lost")
}

func TestReservationDoublesWhenOutgrown(t *testing.T) {
	g := Grant{Reserved: 100}
	for _, c := range []struct{ cost, remaining state.Cost }{{40, 60}, {60, 0}, {1, 99}, {150, 149}} {
		g.Charge(c.cost)
		require.Equal(t, c.remaining, g.Remaining())
	}
}

func TestAcceptAcrossIncarnations(t *testing.T) {
	s := NewSeenSequences()
	require.True(t, s.Accept("r", 1<<60))
	require.False(t, s.Accept("r", 1<<60))
	require.True(t, s.Accept("r", 1<<60+1))
	require.False(t, s.Accept("r", 1<<60-5), "late")
	require.True(t, s.Accept("r", 7), "another incarnation")
	require.True(t, s.Accept("q", 7))
}
