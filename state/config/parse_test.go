package config_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

var rootJSON = `{
	"teams": [
		{"name": "turismo", "share": 3, "tokens": ["` + digestA + `"]},
		{"name": "reservas", "share": 1, "tokens": [], "services": ["booking"]}
	],
	"services": [
		{"name": "drafts", "kind": "engine", "models": ["llama/guide:v1", "llama/blurb:v2"], "repeatable": true, "cost": {}, "limits": {},
		 "upstreams": [{"name": "engine-1", "url": "http://127.0.0.1:8001", "data_centre": "sala-laredo"}]},
		{"name": "booking", "kind": "worker", "repeatable": false, "cost": {}, "limits": {"deadline_ms": 1000}, "upstreams": []}
	],
	"operator_tokens": ["` + digestB + `"]
}`

var (
	digestA = config.DigestOf("team token").String()
	digestB = config.DigestOf("operator token").String()
	digestC = config.DigestOf("caller token").String()
)

// faultPaths returns the paths of all faults in err.
func faultPaths(t *testing.T, err error) []string {
	t.Helper()
	var faults *config.Error
	require.True(t, errors.As(err, &faults), "%v", err)
	var found []string
	for _, f := range faults.Faults {
		require.NotEmpty(t, f.Reason)
		found = append(found, f.Path)
	}
	return found
}

func TestParseRootListsEveryFault(t *testing.T) {
	_, err := config.ParseRoot([]byte(`{
		"teams": [
			{"name": "", "share": 0, "tokens": ["abc"]},
			{"name": "a", "share": 1e999, "tokens": null},
			{"name": "b", "share": "x", "tokens": [], "services": ["nowhere"]},
			{"name": "b", "share": 1, "tokens": [], "Share": 2}
		],
		"services": [
			{"name": "s", "kind": "robot", "limits": {"queue_bytes": 1, "deadline_ms": -1}, "cost": {"input_token": -1},
			 "upstreams": [
				{"name": "u", "url": "ftp://h", "data_centre": "d"},
				{"name": "u", "url": "http://a:b@h", "data_centre": "", "slots": -1},
				{"name": "v/w", "url": "", "data_centre": "d"}]}
		],
		"operator_tokens": [], "operator_tokens": [], "surprise": 1
	}`))
	require.ElementsMatch(t, []string{
		"teams[0].name", "teams[0].share", "teams[0].tokens[0]",
		"teams[1].share",
		"teams[2].share", "teams[2].services[0]",
		"teams[3].name", "teams[3].Share",
		"services[0].kind", "services[0].limits.queue_bytes", "services[0].limits.deadline_ms", "services[0].cost.input_token",
		"services[0].upstreams[0].url",
		"services[0].upstreams[1].name", "services[0].upstreams[1].url", "services[0].upstreams[1].data_centre", "services[0].upstreams[1].slots",
		"services[0].upstreams[2].name", "services[0].upstreams[2].url",
		"operator_tokens", "surprise",
	}, faultPaths(t, err))
}

// An operator mistypes a model version, lists it twice, or wants a worker to
// load one. If this were accepted, the engine would unload the model in use.
func TestWantedModelsAreChecked(t *testing.T) {
	const service = `{"name": "s", "kind": "%s", "cost": {}, "limits": {}, "repeatable": false, "models": %s,
		"upstreams": [{"name": "u", "url": "http://h", "data_centre": "d", "wanted_models": %s}]}`
	for _, c := range []struct {
		kind, offered, wanted string
		faults                []string
	}{
		{"engine", `["a", "b"]`, `["b", "a"]`, nil},
		{"engine", `[]`, `["any"]`, nil},
		{"engine", `["a"]`, `[]`, nil},
		{"engine", `["a"]`, `["a", "a"]`, []string{"wanted_models[1]"}},
		{"engine", `["a"]`, `["b", "a"]`, []string{"wanted_models[0]"}},
		{"engine", `["a"]`, `[""]`, []string{"wanted_models[0]"}},
		{"worker", `[]`, `["a"]`, []string{"wanted_models"}},
	} {
		text := fmt.Sprintf(service, c.kind, c.offered, c.wanted)
		_, err := config.ParseRoot([]byte(`{"teams": [], "operator_tokens": [], "services": [` + text + `]}`))
		if c.faults == nil {
			require.NoError(t, err, text)
			continue
		}
		var want []string
		for _, fault := range c.faults {
			want = append(want, "services[0].upstreams[0]."+fault)
		}
		require.Equal(t, want, faultPaths(t, err), text)
	}
}

func TestParseRejectsAnythingButOneObject(t *testing.T) {
	for _, data := range []string{"", "{", "null", "[]", "7", "{} {}", rootJSON + "x", strings.Repeat(" ", config.MaxObjectBytes+1)} {
		_, err := config.ParseRoot([]byte(data))
		require.Error(t, err, "%.20q", data)
	}
}

// An invalid object with many long values must not fill the logs of every
// router.
func TestFaultsStayShort(t *testing.T) {
	long := strings.Repeat("x", 1000)
	data := strings.Repeat(`{"`+long+`": 1, "url": "`+long+`"},`, 100)
	_, err := config.ParseRoot([]byte(`{"services": [{"upstreams": [` + strings.TrimSuffix(data, ",") + `]}]}`))
	require.Greater(t, len(faultPaths(t, err)), 100)
	require.Less(t, len(err.Error()), 10_000)
}

func TestParseSubtreeListsEveryFault(t *testing.T) {
	_, err := config.ParseSubtree("turismo", []byte(`{"team": "reservas", "deleted": true, "workspaces": [
		{"name": "a", "weight": -1, "tokens": ["`+digestA+`"], "services": ["s", "s"]},
		{"name": "a", "weight": 1, "tokens": ["`+digestA+`"], "models": [""]}
	]}`))
	require.ElementsMatch(t, []string{
		"team", "workspaces", "workspaces[0].weight", "workspaces[0].services[1]",
		"workspaces[1].name", "workspaces[1].tokens[0]", "workspaces[1].models[0]",
	}, faultPaths(t, err))
}

func TestCheckListsCrossReferences(t *testing.T) {
	root, err := config.ParseRoot([]byte(rootJSON))
	require.NoError(t, err)
	subtrees := []config.Subtree{
		{Team: "turismo", Workspaces: []config.Workspace{{Name: "guides", Weight: 1, Tokens: []string{digestB}, Models: []state.Model{"none"}}}},
		{Team: "reservas", Workspaces: []config.Workspace{{Name: "guides", Weight: 1, Services: []state.Service{"drafts", "nowhere"}}}},
		{Team: "stranger"},
		{Team: "gone", Deleted: true},
	}
	require.Equal(t, []string{
		"config/teams/turismo#workspaces[0].models[0]", "config/teams/turismo#workspaces[0].tokens[0]",
		"config/teams/reservas#workspaces[0].name", "config/teams/reservas#workspaces[0].services[0]", "config/teams/reservas#workspaces[0].services[1]",
		"config/teams/stranger#team",
	}, faultPaths(t, config.Check(root, subtrees)))
	require.NoError(t, config.Check(root, subtrees[3:]))
}
