package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/upstream"
)

// TestPollsFollowAChangedAddress guards against polling an engine at its
// old address after an operator has changed its URL. Its owner stays the same,
// so only the settings show the move. Without reports from the new address the
// engine would get no work.
func TestPollsFollowAChangedAddress(t *testing.T) {
	var polled []upstream.Target
	p := pollTargets{setTargets: func(targets []upstream.Target) { polled = targets }}
	at := func(url string) config.Settings {
		return config.Settings{Services: []config.Service{{
			Name:      "drafts",
			Upstreams: []config.Upstream{{Name: "engine-1", URL: url}, {Name: "engine-2", URL: "http://10.0.0.9"}},
		}}}
	}
	p.setSettings(at("http://10.0.0.1"))
	require.Empty(t, polled)
	p.setOwned([]state.Upstream{"engine-1"})
	require.Equal(t, []upstream.Target{{Upstream: "engine-1", BaseURL: "http://10.0.0.1"}}, polled)
	p.setSettings(at("http://10.0.0.2"))
	require.Equal(t, []upstream.Target{{Upstream: "engine-1", BaseURL: "http://10.0.0.2"}}, polled)
	p.setOwned(nil)
	require.Empty(t, polled)
}
