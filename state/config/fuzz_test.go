package config_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state/config"
)

// FuzzParseRoot checks that every accepted object yields a view and survives a
// JSON round trip.
func FuzzParseRoot(f *testing.F) {
	f.Add([]byte(rootJSON))
	f.Add([]byte(`{"teams": null, "teams": [{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		root, err := config.ParseRoot(data)
		if err != nil {
			return
		}
		config.NewView(root, nil)
		again, err := json.Marshal(root)
		require.NoError(t, err)
		_, err = config.ParseRoot(again)
		require.NoError(t, err)
	})
}

// FuzzParseSubtree checks that every accepted object survives a JSON round
// trip.
func FuzzParseSubtree(f *testing.F) {
	f.Add([]byte(`{"team": "turismo", "workspaces": [{"name": "guides", "weight": 1, "tokens": []}]}`))
	f.Add([]byte(`{"team": "turismo", "workspaces": [], "deleted": true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		subtree, err := config.ParseSubtree("turismo", data)
		if err != nil {
			return
		}
		again, err := json.Marshal(subtree)
		require.NoError(t, err)
		_, err = config.ParseSubtree("turismo", again)
		require.NoError(t, err)
	})
}
