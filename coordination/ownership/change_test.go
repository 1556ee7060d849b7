package ownership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

// Two routers would both grant the slots of an upstream, if one of them had
// followed changes of the fleet step by step to another owner than the table
// of the whole fleet gives.
func TestChangeAgreesWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.SliceOfNDistinct(rapid.Custom(drawCandidate), 0, 40, func(c Candidate) state.Router { return c.Router })
		before := New(fleet.Draw(t, "before"))
		for range 3 {
			list := fleet.Draw(t, "after")
			after := New(list)
			change := NewChange(before, after)
			none := change.IsEmpty()
			for i := range 60 {
				u := state.Upstream(fmt.Sprint("u", i))
				dc := state.DataCentre(fmt.Sprint(i % 5))
				present := before.Owner(u, dc)
				owner := after.Owner(u, dc)
				if got := change.Owner(u, dc, present); got != owner {
					t.Fatalf("%s moves from %q to %q and not to %q", u, present, got, owner)
				}
				if none && present != owner {
					t.Fatalf("%s moves although nothing changes", u)
				}
			}
			before = after
		}
	})
}

func drawCandidate(t *rapid.T) Candidate {
	i := rapid.IntRange(0, 60).Draw(t, "router")
	return Candidate{
		Router:     state.Router(fmt.Sprint("r", i)),
		DataCentre: state.DataCentre(fmt.Sprint(i % 4)),
		Draining:   rapid.IntRange(0, 5).Draw(t, "draining") == 0,
	}
}
