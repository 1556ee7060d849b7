package daemon

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func validOptions() Options {
	return Options{
		Router: "r1", DataCentre: "dc", Fleet: "f",
		Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Platform:       "http://127.0.0.1:1",
		MaxConnections: 1, MaxHeaderBytes: 1, MaxQueued: 1, MaxQueuedBytes: 1,
	}
}

func TestValidOptions(t *testing.T) {
	o := validOptions()
	require.NoError(t, o.Check())
}

// TestCheckReportsAllFaults guards against an error that names only the first
// of several mistakes in the options: an operator would correct one mistake per
// start, and each failed start is an outage. No error may contain a secret.
func TestCheckReportsAllFaults(t *testing.T) {
	o := validOptions()
	o.Router = "Router One"
	o.Listen = "nowhere"
	o.Platform = "ftp://platform"
	o.Peers = []string{"127.0.0.1"}
	o.MaxQueued = 0
	o.DrainTimeout = -1
	o.TLSCert = "secret certificate"
	o.PeerCert = "secret certificate"
	err := o.Check()
	require.Error(t, err)
	for _, flag := range []string{"router:", "listen:", "platform:", "peers:", "max-queued:", "drain-timeout:", "FIGSTILE_TLS_KEY", "FIGSTILE_PEER_KEY", "FIGSTILE_PEER_CA"} {
		require.Contains(t, err.Error(), flag)
	}
	require.NotContains(t, err.Error(), "secret")
	require.GreaterOrEqual(t, strings.Count(err.Error(), "\n"), 8)
}

func TestUnusableCertificates(t *testing.T) {
	o := validOptions()
	o.TLSCert, o.TLSKey = "no certificate", "no key"
	o.PeerCert, o.PeerKey, o.PeerCA = "no certificate", "no key", "no authority"
	err := o.Check()
	require.ErrorContains(t, err, "FIGSTILE_TLS_CERT")
	require.ErrorContains(t, err, "FIGSTILE_PEER_CERT")
}

// TestOnlyChangedVersionsAreAnnounced guards against announcements of all
// versions at each change. With hundreds of teams and every router announcing
// to every peer, a change of one weight would cost as much as all settings.
func TestOnlyChangedVersionsAreAnnounced(t *testing.T) {
	var a announcedVersions
	require.Equal(t, map[string]uint64{"config/root": 1, "config/teams/a": 2}, a.update(map[string]uint64{"config/root": 1, "config/teams/a": 2}))
	require.Equal(t, map[string]uint64{"config/teams/a": 3}, a.update(map[string]uint64{"config/root": 1, "config/teams/a": 3}))
	require.Empty(t, a.update(map[string]uint64{"config/root": 1, "config/teams/a": 3}))
}
