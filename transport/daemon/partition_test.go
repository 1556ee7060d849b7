package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// waitTimeout ends a test whose condition never comes.
const waitTimeout = 30 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, waitTimeout, 10*time.Millisecond, what)
}

// region is two data centres with two routers each, whose links to each other
// and to the platform can be cut.
type region struct {
	t        *testing.T
	platform *platform.Platform
	engines  []*engine.Engine
	routers  []*Daemon
	ways     map[string]*httptest.Server
	cutOff   atomic.Bool

	mu       sync.Mutex
	crossing []net.Conn
	siteOf   map[string]string
}

var errCut = errors.New("link is cut")

func startRegion(t *testing.T) *region {
	r := &region{t: t, platform: platform.New(platform.Options{}), siteOf: make(map[string]string), ways: make(map[string]*httptest.Server)}
	root := config.Root{
		Teams:          []config.TeamShare{{Name: "costa", Share: 1}},
		OperatorTokens: []string{config.DigestOf("operator").String()},
		Services:       []config.Service{{Name: "drafts", Kind: config.KindEngine, Repeatable: true}},
	}
	for _, site := range []string{"castro", "laredo"} {
		e := engine.New(engine.Options{Options: upstream.Options{Name: state.Upstream("engine-" + site), Slots: 4}, DefaultTokens: 10})
		url, stop, err := e.Start("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(stop)
		r.engines = append(r.engines, e)
		root.Services[0].Upstreams = append(root.Services[0].Upstreams, config.Upstream{
			Name: state.Upstream("engine-" + site), URL: url, DataCentre: state.DataCentre(site),
		})
	}
	r.put("config/teams/costa", config.Subtree{Team: "costa", Workspaces: []config.Workspace{
		{Name: "one", Weight: 1, Tokens: []string{config.DigestOf("one").String()}},
		{Name: "two", Weight: 1, Tokens: []string{config.DigestOf("two").String()}},
	}})
	r.put(config.RootKey, root)
	for _, site := range []string{"castro", "laredo"} {
		way := httptest.NewServer(r.wayToPlatform(site))
		t.Cleanup(way.Close)
		r.ways[site] = way
		r.startRouter("router-1-"+site, site, way.URL)
		r.startRouter("router-2-"+site, site, way.URL)
	}
	r.await("all routers are ready", func(s Status) bool { return len(s.Peers) == 3 && len(s.Versions) == 2 })
	return r
}

func (r *region) put(key string, value any) {
	encoded, err := json.Marshal(value)
	require.NoError(r.t, err)
	current, err := r.platform.Store().Get(r.t.Context(), key)
	if err != nil {
		current.Version = 0
	}
	_, err = r.platform.Store().Put(r.t.Context(), key, encoded, current.Version)
	require.NoError(r.t, err)
}

// wayToPlatform leads to the platform unless it is cut; the platform stays
// with castro.
func (r *region) wayToPlatform(site string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.cutOff.Load() && site == "laredo" {
			panic(http.ErrAbortHandler)
		}
		r.platform.Handler().ServeHTTP(w, req)
	})
}

func (r *region) startRouter(name, site, platformURL string) {
	options := validOptions()
	options.Router, options.DataCentre, options.Platform = name, site, platformURL
	options.MaxConnections, options.MaxHeaderBytes = 1000, 1<<16
	options.MaxQueued, options.MaxQueuedBytes = 1000, 1<<24
	options.DialPeer = func(ctx context.Context, address string) (net.Conn, error) { return r.dial(ctx, site, address) }
	if len(r.routers) > 0 {
		options.Peers = []string{r.routers[0].Addresses().Peers}
	}
	d, err := New(options, zerolog.New(os.Stderr).Level(zerolog.ErrorLevel))
	require.NoError(r.t, err)
	r.mu.Lock()
	r.siteOf[d.Addresses().Peers] = site
	r.mu.Unlock()
	r.routers = append(r.routers, d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	r.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (r *region) dial(ctx context.Context, site, address string) (net.Conn, error) {
	r.mu.Lock()
	crosses := r.siteOf[address] != site
	r.mu.Unlock()
	if crosses && r.cutOff.Load() {
		return nil, errCut
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil && crosses {
		r.mu.Lock()
		r.crossing = append(r.crossing, conn)
		r.mu.Unlock()
	}
	return conn, err
}

func (r *region) cut() {
	r.cutOff.Store(true)
	r.ways["laredo"].CloseClientConnections()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.crossing {
		conn.Close()
	}
	r.crossing = nil
}

// await waits until every router's status is as wanted.
func (r *region) await(what string, holds func(Status) bool) {
	r.t.Helper()
	eventually(r.t, what, func() bool {
		for _, d := range r.routers {
			if !holds(d.Status()) {
				return false
			}
		}
		return true
	})
}

// drafts sends requests of both workspaces through a router and wants them
// served.
func (r *region) drafts(d *Daemon, count int) {
	r.t.Helper()
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			body := fmt.Sprintf(`{"stream":true,"max_tokens":10,"messages":[{"role":"user","content":"%s %d"}]}`, d.options.Router, i)
			req, _ := http.NewRequest(http.MethodPost, "http://"+d.Addresses().Callers+"/drafts/v1/chat/completions", strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+[]string{"one", "two"}[i%2])
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				r.t.Errorf("draft %d: %v", i, err)
				return
			}
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK {
				r.t.Errorf("draft %d: status %d, %v: %s", i, resp.StatusCode, err, answer)
			}
		})
	}
	wg.Wait()
}

// fleetTotals are the fleet's counters as one router knows them.
func fleetTotals(s Status) map[state.Workspace]state.Cost {
	totals := make(map[state.Workspace]state.Cost)
	for _, svc := range s.Services {
		for _, w := range svc.Workspaces {
			totals[w.Name] += w.Fleet
		}
	}
	return totals
}

// Two data centres lose each other, and one of them the platform too. Callers
// of both must be served all the time. A share changed meanwhile is in force
// on one side only. When the link is back, the cut-off side takes the change,
// nobody reverts, and all routers count the same service again, as if there
// had been no partition.
func TestPartitionOfDataCentres(t *testing.T) {
	r := startRegion(t)
	r.drafts(r.routers[0], 20)

	r.cut()
	r.await("each side sees only itself", func(s Status) bool { return len(s.Peers) == 1 })
	before := r.routers[3].Status().Versions[config.RootKey]
	r.put(config.RootKey, changedRoot(t, r))
	eventually(t, "the side with the platform has the change", func() bool {
		return r.routers[0].Status().Versions[config.RootKey] > before
	})
	for _, d := range r.routers {
		r.drafts(d, 20)
	}
	require.Equal(t, before, r.routers[3].Status().Versions[config.RootKey])

	r.cutOff.Store(false)
	r.await("the sides see each other and the change", func(s Status) bool {
		return len(s.Peers) == 3 && s.Versions[config.RootKey] > before
	})
	want := state.Cost(100 * 10 * int64(state.CostUnit))
	r.await("all count the same service", func(s Status) bool {
		totals := fleetTotals(s)
		first := fleetTotals(r.routers[0].Status())
		return totals["one"] == first["one"] && totals["two"] == first["two"] && totals["one"]+totals["two"] >= want
	})
	r.drafts(r.routers[3], 20)
}

// changedRoot is the root in force with another share.
func changedRoot(t *testing.T, r *region) config.Root {
	t.Helper()
	object, err := r.platform.Store().Get(t.Context(), config.RootKey)
	require.NoError(t, err)
	root, err := config.ParseRoot(object.Value)
	require.NoError(t, err)
	root.Teams[0].Share = 2
	return root
}
