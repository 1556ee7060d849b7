package ownership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

// TestChangeAgreesWithTable guards against two routers granting the slots of
// the same upstream. That would happen if a router that followed several
// changes of the fleet arrived at another owner than the table of the whole
// fleet.
func TestChangeAgreesWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.SliceOfNDistinct(rapid.Custom(drawCandidate), 0, 40, func(c Candidate) state.Router { return c.Router })
		before := New(fleet.Draw(t, "before"))
		for range 3 {
			list := fleet.Draw(t, "after")
			after := New(list)
			change := NewChange(before, after)
			unchanged := change.IsEmpty()
			for i := range 60 {
				u := state.Upstream(fmt.Sprint("u", i))
				dc := state.DataCentre(fmt.Sprint(i % 5))
				currentOwner := before.Owner(u, dc)
				owner := after.Owner(u, dc)
				if got := change.Owner(u, dc, currentOwner); got != owner {
					t.Fatalf("%s moves from %q to %q, but its owner in the table is %q", u, currentOwner, got, owner)
				}
				if unchanged && currentOwner != owner {
					t.Fatalf("%s moves although the change is empty", u)
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
