package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/routing"
)

func TestRegionsOfRouteAndWorkspaceBothApply(t *testing.T) {
	table := routing.NewTable(routing.Config{Workspaces: []routing.Workspace{
		{Name: "bound", Regions: []state.Region{"north"}}, {Name: "free"},
	}})
	x := &exchange{route: &routing.Route{}, table: table, workspace: "free"}
	require.Empty(t, x.allowedRegions())
	x.workspace = "bound"
	require.Equal(t, [][]state.Region{{"north"}}, x.allowedRegions())
	x.route = &routing.Route{Regions: []state.Region{"north", "south"}}
	require.Equal(t, [][]state.Region{{"north", "south"}, {"north"}}, x.allowedRegions())
}
