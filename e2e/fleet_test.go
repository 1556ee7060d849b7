package e2e

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/stretchr/testify/require"
)

const (
	operatorToken = "operator-token"
	teamToken     = "team-token"
)

func (o engineOptions) build() engine.Options {
	return engine.Options{
		Options: upstream.Options{
			Name:   state.Upstream(o.Name),
			Slots:  o.Slots,
			Faults: o.Upstream,
		},
		TokenDelay:    time.Duration(o.TokenMillis) * time.Millisecond,
		DefaultTokens: 5,
		ChecksFencing: !o.Ignore,
	}
}

func (o workerOptions) build() worker.Options {
	return worker.Options{Options: upstream.Options{
		Name:   state.Upstream(o.Name),
		Slots:  o.Slots,
		Faults: o.Upstream,
	}}
}

// fleet is a platform with its upstreams and routers.
type fleet struct {
	t           *testing.T
	platform    *process
	platformURL string
	routers     map[string]*router
	seedAddress string
	root        config.Root
	recording   *recording
	// extraEnv is added to the environment of the routers that are started
	// next.
	extraEnv []string
	// links holds the proxy through which each data centre reaches the
	// platform.
	links map[string]*forwarder
}

// router is a figstiled process and its addresses.
type router struct {
	*process
	fleet         *fleet
	callerAddress string
	adminAddress  string
	peerAddress   string
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, routers: make(map[string]*router), recording: newRecording(t), links: make(map[string]*forwarder)}
	f.platform, f.platformURL = f.startStandIn("platform", "platform", nil)
	f.root.OperatorTokens = []string{config.DigestOf(operatorToken).String()}
	return f
}

func (f *fleet) startStandIn(name, role string, options any) (*process, string) {
	encoded, err := json.Marshal(options)
	require.NoError(f.t, err)
	self, err := os.Executable()
	require.NoError(f.t, err)
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleVariable+"="+role, optionsVariable+"="+string(encoded))
	p := start(f.t, name, cmd)
	return p, p.awaitValue(f.t, "listening")
}

// addService adds a service to the settings; writeRoot writes them.
func (f *fleet) addService(s config.Service) { f.root.Services = append(f.root.Services, s) }

// addTeam adds a team with one workspace per name. A caller's token is the
// workspace's name followed by "-token".
func (f *fleet) addTeam(name string, share float64, workspaces ...string) {
	f.root.Teams = append(f.root.Teams, config.TeamShare{
		Name:   state.Team(name),
		Share:  share,
		Tokens: []string{config.DigestOf(name + "-" + teamToken).String()},
	})
	subtree := config.Subtree{Team: state.Team(name)}
	for _, ws := range workspaces {
		subtree.Workspaces = append(subtree.Workspaces, config.Workspace{
			Name:   state.Workspace(ws),
			Weight: 1,
			Tokens: []string{config.DigestOf(ws + "-token").String()},
		})
	}
	f.putObject(config.TeamKey(state.Team(name)), subtree)
}

// writeRoot writes the root object directly to the platform. Routers can't
// write the first one, as they accept no operator before the settings contain
// an operator token.
func (f *fleet) writeRoot() { f.putObject("config/root", f.root) }

func (f *fleet) putObject(key string, value any) {
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	_, err = objectstore.NewClient(objectstore.ClientOptions{BaseURL: f.platformURL}).Put(f.t.Context(), key, body, 0)
	require.NoError(f.t, err)
}

// startRouter starts a router that joins the fleet through the first router.
func (f *fleet) startRouter(name, dc string, extra ...string) *router {
	if f.links[dc] == nil {
		f.links[dc] = newForwarder(f.t, f.platformURL)
	}
	args := []string{
		"--router", name, "--data-centre", dc, "--platform", f.links[dc].url(),
		"--trace-dir", f.recording.dir,
		"--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
	}
	if f.seedAddress != "" {
		args = append(args, "--peers", f.seedAddress)
	}
	cmd := exec.Command(daemonBinary, append(args, extra...)...)
	cmd.Env = append(os.Environ(), "FIGSTILE_FLEET_TOKEN=fleet-token", "FIGSTILE_PEERS=")
	cmd.Env = append(cmd.Env, f.extraEnv...)
	p := start(f.t, name, cmd)
	r := &router{
		process:       p,
		fleet:         f,
		callerAddress: p.awaitValue(f.t, "callers"),
		adminAddress:  p.awaitValue(f.t, "admin"),
		peerAddress:   p.awaitValue(f.t, "peers"),
	}
	if f.seedAddress == "" {
		f.seedAddress = r.peerAddress
	}
	f.routers[name] = r
	return r
}

// runCLI runs the figstile command against a router and returns its output and
// exit code.
func (f *fleet) runCLI(r *router, token string, args ...string) (string, int) {
	cmd := exec.Command(cliBinary, append(args, "--server", "http://"+r.adminAddress)...)
	cmd.Env = append(os.Environ(), "FIGSTILE_TOKEN="+token)
	out, err := cmd.CombinedOutput()
	if err == nil {
		return string(out), 0
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// answer is the answer that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the connection broke before the end of the answer.
	err error
	ran string
	// code is the result code from the header or the trailer.
	code int
}

// call sends a request of a workspace to a router, waits for the end of the
// answer and records both.
func call(t *testing.T, r *router, workspace, path, body string, header ...string) answer {
	t.Helper()
	got, err := tryCall(t.Context(), r, workspace, path, body, header...)
	require.NoError(t, err)
	return got
}

// tryCall is like call, but returns errors instead of failing the test. It is
// used in goroutines and for routers that may have been stopped.
func tryCall(ctx context.Context, r *router, workspace, path, body string, header ...string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddress+path, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return answer{}, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+workspace+"-token")
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	sent := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}, err
	}
	defer resp.Body.Close()
	got := answer{status: resp.StatusCode, header: resp.Header}
	raw, err := io.ReadAll(resp.Body)
	got.body, got.err = string(raw), err
	got.ran = firstNonEmpty(resp.Header.Get("Figstile-Ran"), resp.Trailer.Get("Figstile-Ran"))
	got.code, _ = strconv.Atoi(firstNonEmpty(resp.Header.Get("Figstile-Result"), resp.Trailer.Get("Figstile-Result")))
	r.fleet.recording.recordCaller(r, workspace, path, body, sent, req.Header.Get("Idempotency-Key"), got)
	return got, nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func doRequest(t *testing.T, req *http.Request) (int, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// ledger returns the requests that an upstream received.
func ledger(t *testing.T, baseURL string) []upstream.Entry {
	t.Helper()
	var entries []upstream.Entry
	getJSON(t, baseURL+"/ledger", &entries)
	return entries
}

func getJSON(t *testing.T, url string, into any, header ...string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	status, body := doRequest(t, req)
	require.Equal(t, http.StatusOK, status, body)
	require.NoError(t, json.Unmarshal([]byte(body), into), body)
}

// waitTimeout ends a test whose condition never becomes true. It is not an
// expectation of speed, as every wait ends as soon as its condition holds.
const waitTimeout = 30 * time.Second

// eventually waits until a condition holds, for at most waitTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for !holds() {
		select {
		case <-timeout:
			t.Fatalf("timed out waiting until %s", condition)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
