package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

func testView(t *testing.T) *config.View {
	t.Helper()
	root, err := config.ParseRoot([]byte(rootJSON))
	require.NoError(t, err)
	return config.NewView(root, []config.Subtree{
		{Team: "reservas", Workspaces: []config.Workspace{
			{Name: "escorts", Weight: 1},
			{Name: "shut", Weight: 1, Services: []state.Service{"drafts"}},
		}},
		{Team: "turismo", Workspaces: []config.Workspace{
			{Name: "guides", Weight: 2, Tokens: []string{digestC, digestB}, Models: []state.Model{"llama/guide:v1"}},
			{Name: "escorts", Weight: 1},
		}},
	})
}

func TestViewDividesShares(t *testing.T) {
	v := testView(t)
	settings := v.Settings()
	require.Equal(t, []config.WorkspaceSettings{
		{Name: "escorts", Team: "turismo", Share: 0.25},
		{Name: "guides", Team: "turismo", Share: 0.5, Models: []state.Model{"llama/guide:v1"}},
		{Name: "shut", Team: "reservas", Share: 0.25, Services: []state.Service{}},
	}, settings.Workspaces)
	require.ErrorContains(t, v.Err(), `workspace "escorts" belongs to team "turismo"`)

	var again config.Settings
	data, err := json.Marshal(settings)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &again))
	require.Equal(t, settings, again)
}

func TestViewAuthenticates(t *testing.T) {
	v := testView(t)
	for token, want := range map[string]config.Principal{
		"operator token": {Kind: config.Operator},
		"team token":     {Kind: config.TeamAdmin, Team: "turismo"},
		"caller token":   {Kind: config.Caller, Team: "turismo", Workspace: "guides"},
	} {
		got, ok := v.Authenticate(token)
		require.True(t, ok, token)
		require.Equal(t, want, got)
	}
	for _, token := range []string{"", "unknown", digestB} {
		_, ok := v.Authenticate(token)
		require.False(t, ok, token)
	}
}

func TestViewAllows(t *testing.T) {
	v := testView(t)
	for _, c := range []struct {
		ws      state.Workspace
		service state.Service
		model   state.Model
		want    result.Code
	}{
		{"nobody", "drafts", "", result.Unauthorized},
		{"guides", "nowhere", "", result.UnknownService},
		{"guides", "drafts", "llama/guide:v1", result.OK},
		{"guides", "drafts", "llama/blurb:v2", result.Forbidden},
		{"guides", "drafts", "llama/none", result.UnknownModel},
		{"guides", "booking", "", result.OK},
		{"guides", "booking", "llama/guide:v1", result.UnknownModel},
		{"shut", "drafts", "llama/guide:v1", result.Forbidden},
		{"shut", "booking", "", result.Forbidden},
	} {
		require.Equal(t, c.want, v.Allows(c.ws, c.service, c.model), "%+v", c)
	}
	s, ok := v.Service("booking")
	require.True(t, ok)
	require.Equal(t, int64(1000), s.Limits.DeadlineMillis)
	require.Equal(t, config.DefaultQueueRequests, s.Limits.QueueRequests)
	require.InDelta(t, config.DefaultBusySecond, s.Cost.BusySecond, 0)
}

// drawTree generates teams and workspaces whose shares and weights cover the
// whole valid range.
func drawTree(t *rapid.T) (config.Root, []config.Subtree) {
	weight := rapid.Float64Range(config.MinWeight, config.MaxWeight)
	var root config.Root
	var subtrees []config.Subtree
	for i := range rapid.IntRange(1, 6).Draw(t, "teams") {
		team := state.Team(fmt.Sprintf("team-%d", i))
		root.Teams = append(root.Teams, config.TeamShare{Name: team, Share: weight.Draw(t, "share")})
		subtree := config.Subtree{Team: team}
		for j := range rapid.IntRange(0, 6).Draw(t, "workspaces") {
			name := state.Workspace(fmt.Sprintf("ws-%d-%d", i, j))
			subtree.Workspaces = append(subtree.Workspaces, config.Workspace{Name: name, Weight: weight.Draw(t, "weight")})
		}
		subtrees = append(subtrees, subtree)
	}
	return root, subtrees
}

func teamShares(v *config.View) (byTeam map[state.Team]float64, sum float64) {
	byTeam = make(map[state.Team]float64)
	for _, w := range v.Settings().Workspaces {
		byTeam[w.Team] += w.Share
		sum += w.Share
	}
	return byTeam, sum
}

func TestSharesAddUpAndWeightsOnlyAffectTheirTeam(t *testing.T) {
	const rounding = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		root, subtrees := drawTree(t)
		before, sum := teamShares(config.NewView(root, subtrees))
		if len(before) > 0 {
			require.InDelta(t, 1, sum, rounding)
		}
		raised := rapid.SampledFrom(subtrees).Draw(t, "raiser")
		for i := range raised.Workspaces {
			raised.Workspaces[i].Weight *= rapid.Float64Range(1, 1000).Draw(t, "factor")
		}
		after, _ := teamShares(config.NewView(root, subtrees))
		for team, share := range before {
			require.InDelta(t, share, after[team], rounding)
		}
	})
}
