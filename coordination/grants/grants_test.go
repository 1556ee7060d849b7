package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestTable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(41)
	first := table.Issue(now, Grant{To: "r", Reserved: 100})
	second := table.Issue(now.Add(time.Second), Grant{To: "r", Reserved: 100})
	require.Equal(t, uint64(42), first.Sequence)
	require.Nil(t, table.Find("other", 42), "a grant is found only under the router that it was issued to")
	table.MarkStarted(now, table.Find("r", 42))
	require.Equal(t, []*Grant{second}, table.TakeExpired(now.Add(time.Second+Lifetime)))
	table.MarkStarted(now.Add(time.Minute), first)
	require.Empty(t, table.TakeExpired(now.Add(ReportTimeout)), "started grants do not expire after Lifetime")
	require.Equal(t, []*Grant{first}, table.RemoveRouter("r"))
	require.Zero(t, table.Len())
	unreported := table.Issue(now, Grant{To: "r"})
	table.MarkStarted(now, unreported)
	require.Equal(t, []*Grant{unreported}, table.TakeExpired(now.Add(ReportTimeout)), "the report of the end was lost")
}

func TestReservationDoublesWhenExceeded(t *testing.T) {
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
	require.False(t, s.Accept("r", 1<<60-5), "an earlier sequence number of the same incarnation")
	require.True(t, s.Accept("r", 7), "another incarnation")
	require.True(t, s.Accept("q", 7))
}
