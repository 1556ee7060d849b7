package exchange

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// fleet returns routers in turn over data centres.
func fleet(routers, dataCentres int) []scheduler.Peer {
	var peers []scheduler.Peer
	for i := range routers {
		peers = append(peers, scheduler.Peer{
			Router:     state.Router(fmt.Sprintf("r%03d", i)),
			DataCentre: state.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
		})
	}
	return peers
}

func TestSmallFleetTellsAll(t *testing.T) {
	live := fleet(DirectUpTo, 4)
	plan := New(live[0], live)
	require.Len(t, plan.Near, DirectUpTo-1)
	require.Len(t, plan.Neighbours, 3)
	require.False(t, plan.Speaks)
	require.Empty(t, plan.Far)
}

func TestLargeFleetTellsItsDataCentre(t *testing.T) {
	live := fleet(85, 5)
	speakers := make(map[state.DataCentre]int)
	for _, self := range live {
		plan := New(self, live)
		require.Len(t, plan.Near, 16)
		require.Equal(t, plan.Near, plan.Neighbours)
		require.Len(t, plan.Relays, 4*relaysEach)
		if plan.Speaks {
			speakers[self.DataCentre]++
			require.Len(t, plan.Far, 4)
		} else {
			require.Empty(t, plan.Far)
		}
	}
	require.Len(t, speakers, 5)
	for dc, n := range speakers {
		require.Equal(t, 1, n, dc)
	}
}

// The speaker of a data centre loses power. Another one takes its place as soon
// as it is missed, and nobody else changes.
func TestSpeakerIsReplaced(t *testing.T) {
	live := fleet(85, 5)
	speaker := slices.IndexFunc(live, func(p scheduler.Peer) bool { return New(p, live).Speaks })
	lost := live[speaker]
	left := slices.Delete(slices.Clone(live), speaker, speaker+1)
	for _, self := range left {
		before, after := New(self, live), New(self, left)
		if before.Speaks != after.Speaks {
			require.Equal(t, lost.DataCentre, self.DataCentre)
			require.True(t, after.Speaks)
		}
	}
}

// Whatever routers are live, the work of each reaches every other one along
// the plan: directly, or through its speaker and whoever that one tells.
func TestEveryRouterHearsOfAllWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := fleet(rapid.IntRange(1, 60).Draw(t, "routers"), rapid.IntRange(1, 7).Draw(t, "data centres"))
		live = rapid.SliceOfNDistinct(rapid.SampledFrom(live), 1, len(live), func(p scheduler.Peer) state.Router { return p.Router }).Draw(t, "live")
		plans := make(map[state.Router]Plan)
		for _, self := range live {
			plans[self.Router] = New(self, live)
		}
		for _, from := range live {
			heard := reach(plans, from.Router)
			for _, to := range live {
				if to.Router != from.Router {
					require.True(t, heard[to.Router], "%s does not hear of %s", to.Router, from.Router)
				}
			}
		}
	})
}

// The same holds for changed objects, and a data centre hears of them while one
// of its relays is stopped.
func TestEveryRouterHearsOfChangedObjects(t *testing.T) {
	live := fleet(85, 5)
	plans := make(map[state.Router]Plan)
	for _, self := range live {
		plans[self.Router] = New(self, live)
	}
	for _, stopped := range plans[live[0].Router].Relays {
		heard := make(map[state.Router]bool)
		for _, near := range plans[live[0].Router].Near {
			heard[near] = true
		}
		for _, relay := range plans[live[0].Router].Relays {
			if relay == stopped {
				continue
			}
			heard[relay] = true
			for _, neighbour := range plans[relay].Neighbours {
				heard[neighbour] = true
			}
		}
		for _, p := range live[1:] {
			require.True(t, heard[p.Router], p.Router)
		}
	}
}

// reach follows the work of a router.
func reach(plans map[state.Router]Plan, from state.Router) map[state.Router]bool {
	heard := make(map[state.Router]bool)
	for _, near := range append(plans[from].Near, from) {
		heard[near] = true
		for _, far := range plans[near].Far {
			heard[far] = true
			for _, neighbour := range plans[far].Neighbours {
				heard[neighbour] = true
			}
		}
	}
	return heard
}
