package config_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state/config"
)

func apply(t *testing.T, tree *config.Tree, key string, version uint64, value string) bool {
	t.Helper()
	changed, err := tree.Apply(config.Object{Key: key, Version: version, Value: []byte(value)})
	require.NoError(t, err)
	return changed
}

// An operator changes a weight. A router that was cut off then delivers its old
// copy, and a newer but invalid object arrives after it. The changed weight
// must stay in force throughout.
func TestTreeNeverRevertsToAnOlderVersion(t *testing.T) {
	tree := config.NewTree()
	key := config.TeamKey("turismo")
	require.True(t, apply(t, tree, key, 5, `{"team": "turismo", "workspaces": [{"name": "guides", "weight": 1, "tokens": []}]}`))
	require.Nil(t, tree.View(), "there must be no view without a root")
	require.True(t, apply(t, tree, config.RootKey, 3, rootJSON))
	require.NotNil(t, tree.View())

	require.False(t, apply(t, tree, key, 4, `{"team": "turismo", "workspaces": []}`))
	_, err := tree.Apply(config.Object{Key: key, Version: 9, Value: []byte(`{"team": "turismo"`)})
	var invalid *config.InvalidError
	require.True(t, errors.As(err, &invalid))
	require.Equal(t, uint64(9), invalid.Version)
	_, ok := tree.View().Workspace("guides")
	require.True(t, ok)
	require.Equal(t, map[string]uint64{config.RootKey: 3, key: 5}, tree.Versions())
	require.Contains(t, tree.Invalid(), key)

	require.True(t, apply(t, tree, key, 10, `{"team": "turismo", "workspaces": [], "deleted": true}`))
	_, ok = tree.View().Workspace("guides")
	require.False(t, ok)
	require.Empty(t, tree.Invalid())
	require.False(t, apply(t, tree, key, 5, `{"team": "turismo", "workspaces": []}`), "an older version must not replace a tombstone")
}

// Two teams took names of each other's workspaces at the same moment, twice.
// Each conflict must be fixable without the other, and no third one may be
// added.
func TestConflictsCanBeFixedOneByOne(t *testing.T) {
	const two = `{"team": "%s", "workspaces": [{"name": "a", "weight": 1, "tokens": []}, {"name": "%s", "weight": 1, "tokens": []}]}`
	tree := config.NewTree()
	apply(t, tree, config.RootKey, 1, rootJSON)
	apply(t, tree, config.TeamKey("turismo"), 2, fmt.Sprintf(two, "turismo", "b"))
	key := config.TeamKey("reservas")
	apply(t, tree, key, 3, fmt.Sprintf(two, "reservas", "b"))
	require.ErrorContains(t, tree.View().Err(), `workspace "a"`)
	require.NoError(t, tree.CheckWith(key, []byte(fmt.Sprintf(two, "reservas", "c"))))
	err := tree.CheckWith(key, []byte(`{"team": "reservas", "workspaces": [{"name": "a", "weight": 1, "tokens": [], "services": ["drafts"]}]}`))
	require.Equal(t, []string{key + "#workspaces[0].services[0]"}, faultPaths(t, err))
}

func TestTreeRejectsUnknownKeys(t *testing.T) {
	for _, key := range []string{"config/other", "config/teams/", "config/teams/a/b", "claims/1"} {
		_, err := config.NewTree().Apply(config.Object{Key: key, Version: 1, Value: []byte("{}")})
		require.ErrorIs(t, err, config.ErrUnknownKey)
	}
}

func TestVersionsNeverDecrease(t *testing.T) {
	keys := []string{config.RootKey, config.TeamKey("turismo"), config.TeamKey("reservas")}
	values := []string{rootJSON, `{"team": "turismo", "workspaces": []}`, `{"team": "reservas", "workspaces": [], "deleted": true}`, `{`}
	rapid.Check(t, func(t *rapid.T) {
		tree := config.NewTree()
		newest := make(map[string]uint64)
		for range rapid.IntRange(1, 40).Draw(t, "objects") {
			o := config.Object{
				Key:     rapid.SampledFrom(keys).Draw(t, "key"),
				Version: rapid.Uint64Range(0, 10).Draw(t, "version"),
				Value:   []byte(rapid.SampledFrom(values).Draw(t, "value")),
			}
			changed, err := tree.Apply(o)
			stored := tree.Versions()[o.Key]
			require.Equal(t, changed, stored > newest[o.Key], "changed must be true exactly if the stored version increased")
			require.GreaterOrEqual(t, stored, newest[o.Key])
			if err == nil && o.Version > newest[o.Key] {
				require.Equal(t, o.Version, stored)
			}
			newest[o.Key] = stored
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	var root config.Root
	for i := range config.MaxHistory + 5 {
		root = root.WithChange(config.Change{ID: fmt.Sprint(i), Base: uint64(i)})
	}
	require.Len(t, root.History, config.MaxHistory)
	require.Equal(t, "24", root.ChangeID)
	_, ok := config.FindChange(root.History, "4")
	require.False(t, ok)
	found, ok := config.FindChange(root.History, "5")
	require.True(t, ok)
	require.Equal(t, uint64(5), found.Base)
}
