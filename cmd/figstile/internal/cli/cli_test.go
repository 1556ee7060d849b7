package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/cmd/figstile/internal/cli"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/admin"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/settings"
)

const operatorToken = "operator-token"

// testFleet is a fleet of one router. Tests can break the connection to it.
type testFleet struct {
	t     *testing.T
	url   string
	store *platform.Store
	// answersToDrop is the number of answers to drop after the router has
	// handled the request.
	answersToDrop atomic.Int32
	idCount       int
}

func (f *testFleet) Drain() {}

func (f *testFleet) AdminPeers() []admin.Peer {
	return []admin.Peer{{Router: "router-2", URL: "http://127.0.0.1:0"}}
}

func (f *testFleet) Status() admin.RouterStatus {
	return admin.RouterStatus{
		Router: "router-1", DataCentre: "sala-laredo", Ready: true, Started: time.Unix(1_700_000_000, 0).UTC(),
		Upstreams:  []admin.UpstreamStatus{{Upstream: "engine-1", Service: "drafts", DataCentre: "sala-laredo", Owner: "router-1", Running: 3, Slots: 8, Usable: true}},
		Workspaces: []admin.WorkspaceStatus{{Service: "drafts", Workspace: "guides", Waiting: 2, Running: 3, Served: 1500}},
		Services:   []admin.ServiceStatus{{Service: "drafts", Gap: 250}},
	}
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: platform.NewStore(platform.StoreOptions{})}
	source := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	writer := settings.NewWriter(settings.WriterOptions{Store: f.store, Source: source, Log: zerolog.Nop()})
	handler := admin.New(admin.Options{
		Source: source, Writer: writer, Status: f, Drain: f, Peers: f, Log: zerolog.Nop(),
		Client: &http.Client{Transport: unreachableTransport{}},
		Now:    func() time.Time { return time.Unix(1_700_000_000, 0) },
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.answersToDrop.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	root := config.Root{
		OperatorTokens: []string{config.DigestOf(operatorToken).String()},
		Teams:          []config.TeamShare{{Name: "turismo", Share: 1}},
		Services: []config.Service{{Name: "drafts", Kind: config.KindEngine, Upstreams: []config.Upstream{
			{Name: "engine-1", URL: "http://127.0.0.1:1", DataCentre: "sala-laredo"},
		}}},
	}
	data, err := json.Marshal(root.WithChange(config.Change{ID: "first"}))
	require.NoError(t, err)
	_, err = writer.Write(t.Context(), config.RootKey, data, 0)
	require.NoError(t, err)
	f.run(0, "workspace", "create", "guides", "--team=turismo", "--weight=2")
	return f
}

// unreachableTransport fails every request, as if a network partition separated
// the client from all routers.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("no route")
}

// run executes a command line with the operator's token. The command must exit
// with the given code.
func (f *testFleet) run(code int, args ...string) (stdout, stderr string) {
	f.t.Helper()
	return f.runWithToken(operatorToken, code, args...)
}

func (f *testFleet) runWithToken(token string, code int, args ...string) (stdout, stderr string) {
	f.t.Helper()
	var out, errs bytes.Buffer
	got := cli.Main(context.Background(), cli.Environment{
		Args:   append(args, "--server="+f.url),
		Getenv: func(string) string { return token },
		Stdout: &out, Stderr: &errs, Version: "test",
		Random: func() string {
			f.idCount++
			return fmt.Sprintf("id-%013d", f.idCount)
		},
		Sleep: func(context.Context, time.Duration) {},
	})
	require.Equal(f.t, code, got, "%v\n%s%s", args, out.String(), errs.String())
	return out.String(), errs.String()
}

func (f *testFleet) firstWorkspaceWeight() float64 {
	f.t.Helper()
	stdout, _ := f.run(0, "workspace", "list", "--output=json")
	var list admin.WorkspaceList
	require.NoError(f.t, json.Unmarshal([]byte(stdout), &list))
	return list.Workspaces[0].Weight
}

func (f *testFleet) writeObjectFile(content string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "object.json")
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestTables(t *testing.T) {
	f := newTestFleet(t)
	golden := goldie.New(t)
	f.run(0, "team", "create", "reservas", "--share=3", "--service=drafts")
	f.run(0, "workspace", "create", "escorts", "--team=reservas")
	f.run(0, "upstream", "drain", "engine-1")
	for name, args := range map[string][]string{
		"status":     {"status"},
		"teams":      {"team", "list"},
		"workspaces": {"workspace", "list"},
		"upstreams":  {"upstream", "list"},
		"history":    {"config", "history", "root"},
		"versions":   {"config", "get"},
	} {
		stdout, _ := f.run(0, args...)
		golden.Assert(t, name, []byte(stdout))
	}
}

func TestExitCodes(t *testing.T) {
	f := newTestFleet(t)
	f.run(0, "--version")
	f.run(2, "nonsense")
	f.run(2, "config", "apply", "root", "/nonexistent")
	f.runWithToken("", 2, "team", "list")
	f.runWithToken("wrong", 3, "team", "list")
	f.run(3, "workspace", "set-weight", "none", "1")
	_, stderr := f.run(3, "workspace", "set-weight", "guides", "0")
	require.Contains(t, stderr, "workspaces[0].weight")
	f.run(0, "workspace", "set-weight", "guides", "5", "--expect=2")
	_, stderr = f.run(4, "workspace", "set-weight", "guides", "6", "--expect=2")
	require.Contains(t, stderr, "in force: config/teams/turismo version 3 (expected 2)")
	require.Contains(t, stderr, "set weight of workspace guides to 5")
	f.url = "http://127.0.0.1:0"
	_, stderr = f.run(5, "drain")
	require.Contains(t, stderr, "nothing was changed")
}

// The connection to the router breaks after the router has made a change. The
// command repeats the request and finds out that the change took effect. If all
// answers are lost, it reports that the outcome is unknown and how to repeat the
// command safely.
func TestLostAnswers(t *testing.T) {
	f := newTestFleet(t)
	f.answersToDrop.Store(2)
	stdout, _ := f.run(0, "workspace", "set-weight", "guides", "3", "--team=turismo")
	require.Contains(t, stdout, "version 3")
	f.answersToDrop.Store(3)
	_, stderr := f.run(6, "workspace", "set-weight", "guides", "4", "--team=turismo", "--change-id=0123456789abcdef")
	require.Contains(t, stderr, "--change-id=0123456789abcdef")
	f.run(0, "workspace", "set-weight", "guides", "4", "--team=turismo", "--change-id=0123456789abcdef")
	require.InDelta(t, 4, f.firstWorkspaceWeight(), 0)
	require.Equal(t, objectstore.Version(4), f.store.Version())
	f.answersToDrop.Store(100) // more than one, because net/http repeats a GET by itself
	_, stderr = f.run(5, "team", "list")
	require.Contains(t, stderr, "nothing was changed")
}

// An operator saves an object to a file, edits the file and applies it. If
// another operator has changed the object in the meantime, apply must fail
// instead of undoing that change.
func TestApplyRejectsStaleFile(t *testing.T) {
	f := newTestFleet(t)
	saved, _ := f.run(0, "config", "get", "teams/turismo")
	edited := f.writeObjectFile(strings.Replace(saved, `"weight": 2`, `"weight": 7`, 1))
	f.run(0, "config", "validate", "teams/turismo", edited)
	stdout, _ := f.run(7, "config", "diff", "teams/turismo", edited)
	require.Equal(t, "~ workspaces[guides].weight: 2 -> 7\n", stdout)
	f.run(0, "workspace", "set-weight", "guides", "3")
	_, stderr := f.run(4, "config", "apply", "teams/turismo", edited)
	require.Contains(t, stderr, "set weight of workspace guides to 3")
	require.InDelta(t, 3, f.firstWorkspaceWeight(), 0)

	f.run(2, "config", "apply", "teams/turismo", f.writeObjectFile(`{"team": "turismo", "workspaces": []}`))
	f.run(4, "config", "apply", "teams/turismo", edited, "--create")
	f.run(0, "config", "apply", "teams/turismo", edited, "--force")
	f.run(0, "config", "diff", "teams/turismo", edited)
	require.InDelta(t, 7, f.firstWorkspaceWeight(), 0)
}

func TestTokensAreGeneratedLocally(t *testing.T) {
	f := newTestFleet(t)
	stdout, _ := f.run(0, "workspace", "add-token", "guides", "--output=json")
	var created struct{ Token, Digest string }
	require.NoError(t, json.Unmarshal([]byte(stdout), &created))
	require.Equal(t, config.DigestOf(created.Token).String(), created.Digest)
	object, err := f.store.Get(t.Context(), config.TeamKey("turismo"))
	require.NoError(t, err)
	require.Contains(t, string(object.Value), created.Digest)
	require.NotContains(t, string(object.Value), created.Token)
	f.runWithToken(created.Token, 3, "team", "list")
	f.run(0, "workspace", "remove-token", "guides", created.Digest)
	f.run(0, "workspace", "delete", "guides")
	f.run(0, "team", "add-token", "turismo")
	f.run(0, "team", "set-share", "turismo", "2")
	f.run(0, "upstream", "resume", "engine-1")
	f.run(0, "team", "delete", "turismo")
	f.run(0, "drain")
}
