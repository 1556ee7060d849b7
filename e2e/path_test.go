package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/daemon"
	"github.com/stretchr/testify/require"
)

// standardFleet has two data centres with two routers and an engine each, one
// worker and one platform.
type standardFleet struct {
	*fleet
	engineURLs [2]string
	workerURL  string
	routerList []*router
}

func startStandardFleet(t *testing.T) *standardFleet {
	f := &standardFleet{fleet: newFleet(t)}
	_, f.engineURLs[0] = f.startStandIn("engine-1", "engine", engineOptions{Name: "engine-1", Slots: 4, TokenMillis: 1})
	_, f.engineURLs[1] = f.startStandIn("engine-2", "engine", engineOptions{Name: "engine-2", Slots: 4, TokenMillis: 1})
	_, f.workerURL = f.startStandIn("worker-1", "worker", workerOptions{Name: "worker-1", Slots: 2})
	f.addService(config.Service{
		Name: "redaccion-figstile", Kind: config.KindEngine, Repeatable: true,
		Upstreams: []config.Upstream{
			{Name: "engine-1", URL: f.engineURLs[0], DataCentre: "sala-laredo"},
			{Name: "engine-2", URL: f.engineURLs[1], DataCentre: "sala-castro"},
		},
	})
	f.addService(config.Service{
		Name: "kiosco-web", Kind: config.KindWorker,
		Upstreams: []config.Upstream{{Name: "worker-1", URL: f.workerURL, DataCentre: "sala-laredo"}},
	})
	f.addTeam("costa", 2, "laredo", "castro")
	f.addTeam("valle", 1, "ramales")
	f.writeRoot()
	for i, dc := range []string{"sala-laredo", "sala-laredo", "sala-castro", "sala-castro"} {
		f.routerList = append(f.routerList, f.startRouter(fmt.Sprintf("router-%d", i+1), dc))
	}
	for _, r := range f.routerList {
		f.awaitReady(r)
	}
	t.Cleanup(func() { f.recording.replayAndCheck(t, f) })
	return f
}

// draftPath is the path of the service that writes drafts.
const draftPath = "/redaccion-figstile/v1/chat/completions"

// draftBody returns the body of a request for a draft with the given number of
// tokens. The number makes the body different from all others.
func draftBody(number, tokens int) string {
	return fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"guide %d"}]}`, tokens, number)
}

// awaitReady waits until a router has its settings and sees all other routers.
func (f *fleet) awaitReady(r *router) {
	eventually(f.t, r.name+" is ready", func() bool {
		resp, err := http.Get("http://" + r.adminAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK && len(status(f.t, r).Peers) == len(f.routers)-1
	})
}

func status(t *testing.T, r *router) daemon.Status {
	t.Helper()
	var s daemon.Status
	getJSON(t, "http://"+r.adminAddress+"/status", &s, "Authorization", "Bearer "+operatorToken)
	return s
}

// chargedCost returns the cost charged to a workspace for a service, summed
// over the fleet, as far as the router knows it.
func chargedCost(s daemon.Status, service state.Service, ws state.Workspace) state.Cost {
	for _, svc := range s.Services {
		if svc.Name != service {
			continue
		}
		for _, w := range svc.Workspaces {
			if w.Name == ws {
				return w.Fleet
			}
		}
	}
	return 0
}

// TestWholePath sends a request through every router to the upstreams. It
// checks the answers, the charges that every router knows, the metrics, and
// that an unknown token is refused.
func TestWholePath(t *testing.T) {
	f := startStandardFleet(t)

	for i, r := range f.routerList {
		got := call(t, r, "laredo", draftPath, draftBody(i, 6))
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.NoError(t, got.err)
		require.True(t, strings.HasSuffix(strings.TrimSpace(got.body), "data: [DONE]"), got.body)
		require.Contains(t, got.body, `"usage"`)
		require.Equal(t, int(result.OK), got.code)
		require.Equal(t, "yes", got.ran)
	}
	served := len(ledger(t, f.engineURLs[0])) + len(ledger(t, f.engineURLs[1]))
	require.Equal(t, len(f.routerList), served, "each request ran once")

	got := call(t, f.routerList[2], "ramales", "/kiosco-web/pages/map", `{"busy_ms":1}`)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Len(t, ledger(t, f.workerURL), 1)

	for _, r := range f.routerList {
		eventually(t, r.name+" has received the charges", func() bool {
			s := status(t, r)
			return chargedCost(s, "redaccion-figstile", "laredo") >= 4*6*state.CostUnit &&
				chargedCost(s, "kiosco-web", "ramales") > 0
		})
	}

	for _, name := range []string{"queue_wait", "first_token", "between_tokens", "request"} {
		require.Regexp(t, `figstile_`+name+`_seconds_count\{class="[a-z]*",data_centre="sala-laredo",router="router-1",workspace="laredo"\} [1-9]`, scrape(t, f.routerList[0]))
	}

	got = call(t, f.routerList[0], "nobody", draftPath, `{}`)
	require.Equal(t, http.StatusUnauthorized, got.status, got.body)
	require.Equal(t, "no", got.ran)
	require.Equal(t, int(result.Unauthorized), got.code)
}

// scrape returns a router's metrics once they include finished requests.
// Routers report metrics once a second.
func scrape(t *testing.T, r *router) string {
	t.Helper()
	var page string
	eventually(t, "metrics are reported", func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+r.adminAddress+"/metrics", nil)
		require.NoError(t, err)
		_, page = doRequest(t, req)
		return strings.Contains(page, "figstile_request_seconds_count")
	})
	return page
}

// TestOperatorChangesShare changes a team's share through one router and
// expects the new version on all routers.
func TestOperatorChangesShare(t *testing.T) {
	f := startStandardFleet(t)
	before := status(t, f.routerList[3]).Versions["config/root"]
	out, code := f.runCLI(f.routerList[1], operatorToken, "team", "set-share", "valle", "2")
	require.Zero(t, code, out)
	for _, r := range f.routerList {
		eventually(t, r.name+" has the new share", func() bool {
			return status(t, r).Versions["config/root"] > before
		})
	}
	out, code = f.runCLI(f.routerList[0], operatorToken, "config", "get", "config/root", "--output", "json")
	require.Zero(t, code, out)
	require.True(t, json.Valid([]byte(out)), out)
	require.Contains(t, out, strconv.Itoa(2))

	out, code = f.runCLI(f.routerList[0], "valle-"+teamToken, "team", "set-share", "valle", "9")
	require.NotZero(t, code, "a team must not change its own share: %s", out)
}

// TestFirstSettings starts a fleet without settings. An operator with the
// bootstrap token writes the first root and team, after which callers are
// served. The bootstrap token must be refused as soon as the settings contain
// an operator token.
func TestFirstSettings(t *testing.T) {
	f := newFleet(t)
	_, url := f.startStandIn("worker-1", "worker", workerOptions{Name: "worker-1", Slots: 2})
	f.extraEnv = []string{"FIGSTILE_BOOTSTRAP_TOKEN=first-token"}
	r := f.startRouter("router-1", "sala-laredo")
	got := call(t, r, "laredo", "/kiosco-web/page", `{}`)
	require.Equal(t, int(result.NotReady), got.code, got.body)

	f.root.Teams = []config.TeamShare{{Name: "costa", Share: 1}}
	f.addService(config.Service{
		Name: "kiosco-web", Kind: config.KindWorker,
		Upstreams: []config.Upstream{{Name: "worker-1", URL: url, DataCentre: "sala-laredo"}},
	})
	subtree := config.Subtree{Team: "costa", Workspaces: []config.Workspace{
		{Name: "laredo", Weight: 1, Tokens: []string{config.DigestOf("laredo-token").String()}},
	}}
	for key, value := range map[string]any{"root": f.root, "teams/costa": subtree} {
		out, code := f.runCLI(r, "wrong-token", "config", "apply", key, writeJSON(t, value), "--create")
		require.Equal(t, 5, code, "a router without settings cannot check the token: %s", out)
	}
	out, code := f.runCLI(r, "first-token", "config", "apply", "root", writeJSON(t, f.root), "--create")
	require.Zero(t, code, out)
	out, code = f.runCLI(r, operatorToken, "config", "apply", "teams/costa", writeJSON(t, subtree), "--create")
	require.Zero(t, code, out)
	f.awaitReady(r)
	out, code = f.runCLI(r, "first-token", "status")
	require.Equal(t, 3, code, out)
	got = call(t, r, "laredo", "/kiosco-web/page", `{"busy_ms":1}`)
	require.Equal(t, http.StatusOK, got.status, got.body)
}

func writeJSON(t *testing.T, value any) string {
	t.Helper()
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "object.json")
	require.NoError(t, os.WriteFile(file, encoded, 0o600))
	return file
}
