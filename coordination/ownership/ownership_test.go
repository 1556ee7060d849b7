package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestOwner(t *testing.T) {
	all := []Candidate{{Router: "a", DataCentre: "x"}, {Router: "b", DataCentre: "x"}, {Router: "c", DataCentre: "y"}, {Router: "d", DataCentre: "y", Draining: true}}
	reversed := []Candidate{all[3], all[2], all[1], all[0]}
	owned := map[state.Router]int{}
	for i := range 100 {
		u := state.Upstream(fmt.Sprintf("u%d", i))
		owner := New(all).Owner(u, "x")
		owned[owner]++
		require.Equal(t, owner, New(reversed).Owner(u, "x"), "the owner does not depend on the order of routers")
		require.Equal(t, state.Router("c"), New(all).Owner(u, "y"))
		if owner != "b" {
			require.Equal(t, owner, New(append(all[:1:1], all[2:]...)).Owner(u, "x"), "only the upstreams of the removed router move")
		}
	}
	require.Greater(t, min(owned["a"], owned["b"]), 30)
	require.NotEmpty(t, New(all).Owner("u", "z"), "an upstream in a data centre without routers has an owner")
	require.Equal(t, state.Router("d"), New(all[3:]).Owner("u", "y"), "the last router keeps its upstreams although it drains")
	require.Empty(t, New(nil).Owner("u", "x"))
}
