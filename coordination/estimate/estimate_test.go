package estimate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestEstimate(t *testing.T) {
	e := New(2)
	k := Key{Service: "s", Workspace: "w"}
	require.Equal(t, state.CostUnit, e.Estimate(k, 0))
	require.Equal(t, state.Cost(7), e.Estimate(k, 7))
	e.Learn(Key{Service: "s", Workspace: "v"}, 500)
	require.Equal(t, state.Cost(500), e.Estimate(k, 0), "the mean of the service is used")
	e.Learn(k, 100)
	e.Learn(k, 300)
	e.Learn(k, 0)
	require.Equal(t, state.Cost(200), e.Estimate(k, 7))
	for range 1000 {
		e.Learn(k, 1000)
	}
	require.InDelta(t, 1000, float64(e.Estimate(k, 0)), 5)
	e.Learn(Key{Service: "s", Workspace: "x"}, 1)
	require.Len(t, e.entries, 2)
}
