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

// waitTimeout ends a test whose condition does not become true.
const waitTimeout = 30 * time.Second

func eventually(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	require.Eventually(t, isMet, waitTimeout, 10*time.Millisecond, condition)
}

// twoDataCentres is a fleet of two data centres with two routers each. The
// links between the data centres and those to the platform can be cut.
type twoDataCentres struct {
	t               *testing.T
	platform        *platform.Platform
	engines         []*engine.Engine
	routers         []*Daemon
	platformProxies map[string]*httptest.Server
	partitioned     atomic.Bool

	mu           sync.Mutex
	crossLinks   []net.Conn
	dataCentreOf map[string]string
}

var errLinkCut = errors.New("link is cut")

func startTwoDataCentres(t *testing.T) *twoDataCentres {
	r := &twoDataCentres{t: t, platform: platform.New(platform.Options{}), dataCentreOf: make(map[string]string), platformProxies: make(map[string]*httptest.Server)}
	root := config.Root{
		Teams:          []config.TeamShare{{Name: "costa", Share: 1}},
		OperatorTokens: []string{config.DigestOf("operator").String()},
		Services:       []config.Service{{Name: "drafts", Kind: config.KindEngine, Repeatable: true}},
	}
	for _, dataCentre := range []string{"castro", "laredo"} {
		e := engine.New(engine.Options{Options: upstream.Options{Name: state.Upstream("engine-" + dataCentre), Slots: 4}, DefaultTokens: 10})
		url, stop, err := e.Start("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(stop)
		r.engines = append(r.engines, e)
		root.Services[0].Upstreams = append(root.Services[0].Upstreams, config.Upstream{
			Name: state.Upstream("engine-" + dataCentre), URL: url, DataCentre: state.DataCentre(dataCentre),
		})
	}
	r.put("config/teams/costa", config.Subtree{Team: "costa", Workspaces: []config.Workspace{
		{Name: "one", Weight: 1, Tokens: []string{config.DigestOf("one").String()}},
		{Name: "two", Weight: 1, Tokens: []string{config.DigestOf("two").String()}},
	}})
	r.put(config.RootKey, root)
	for _, dataCentre := range []string{"castro", "laredo"} {
		proxy := httptest.NewServer(r.platformProxy(dataCentre))
		t.Cleanup(proxy.Close)
		r.platformProxies[dataCentre] = proxy
		r.startRouter("router-1-"+dataCentre, dataCentre, proxy.URL)
		r.startRouter("router-2-"+dataCentre, dataCentre, proxy.URL)
	}
	r.awaitAll("all routers are ready", func(s Status) bool { return len(s.Peers) == 3 && len(s.Versions) == 2 })
	return r
}

func (r *twoDataCentres) put(key string, value any) {
	encoded, err := json.Marshal(value)
	require.NoError(r.t, err)
	current, err := r.platform.Store().Get(r.t.Context(), key)
	if err != nil {
		current.Version = 0
	}
	_, err = r.platform.Store().Put(r.t.Context(), key, encoded, current.Version)
	require.NoError(r.t, err)
}

// platformProxy forwards requests to the platform, which is in castro. During a
// partition it drops those from laredo.
func (r *twoDataCentres) platformProxy(dataCentre string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.partitioned.Load() && dataCentre == "laredo" {
			panic(http.ErrAbortHandler)
		}
		r.platform.Handler().ServeHTTP(w, req)
	})
}

func (r *twoDataCentres) startRouter(name, dataCentre, platformURL string) {
	options := validOptions()
	options.Router, options.DataCentre, options.Platform = name, dataCentre, platformURL
	options.MaxConnections, options.MaxHeaderBytes = 1000, 1<<16
	options.MaxQueued, options.MaxQueuedBytes = 1000, 1<<24
	options.DialPeer = func(ctx context.Context, address string) (net.Conn, error) { return r.dial(ctx, dataCentre, address) }
	if len(r.routers) > 0 {
		options.Peers = []string{r.routers[0].Addresses().Peers}
	}
	d, err := New(options, zerolog.New(os.Stderr).Level(zerolog.ErrorLevel))
	require.NoError(r.t, err)
	r.mu.Lock()
	r.dataCentreOf[d.Addresses().Peers] = dataCentre
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

func (r *twoDataCentres) dial(ctx context.Context, dataCentre, address string) (net.Conn, error) {
	r.mu.Lock()
	crosses := r.dataCentreOf[address] != dataCentre
	r.mu.Unlock()
	if crosses && r.partitioned.Load() {
		return nil, errLinkCut
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil && crosses {
		r.mu.Lock()
		r.crossLinks = append(r.crossLinks, conn)
		r.mu.Unlock()
	}
	return conn, err
}

func (r *twoDataCentres) partition() {
	r.partitioned.Store(true)
	r.platformProxies["laredo"].CloseClientConnections()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.crossLinks {
		conn.Close()
	}
	r.crossLinks = nil
}

// awaitAll waits until a condition holds for the status of every router.
func (r *twoDataCentres) awaitAll(condition string, isMet func(Status) bool) {
	r.t.Helper()
	eventually(r.t, condition, func() bool {
		for _, d := range r.routers {
			if !isMet(d.Status()) {
				return false
			}
		}
		return true
	})
}

// sendDrafts sends requests of both workspaces through a router, and fails the
// test unless all are served.
func (r *twoDataCentres) sendDrafts(d *Daemon, count int) {
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

// fleetTotals returns the fleet's counters for each workspace as one router has
// them.
func fleetTotals(s Status) map[state.Workspace]state.Cost {
	totals := make(map[state.Workspace]state.Cost)
	for _, svc := range s.Services {
		for _, w := range svc.Workspaces {
			totals[w.Name] += w.Fleet
		}
	}
	return totals
}

// TestPartitionOfDataCentres cuts the link between two data centres, and one of
// them off the platform. Both must serve callers all the time. A changed share
// is in force on one side only until the link is back; then all routers must
// have the change, and the same counters as without the partition.
func TestPartitionOfDataCentres(t *testing.T) {
	r := startTwoDataCentres(t)
	r.sendDrafts(r.routers[0], 20)

	r.partition()
	r.awaitAll("each router has only the peer in its own data centre", func(s Status) bool { return len(s.Peers) == 1 })
	before := r.routers[3].Status().Versions[config.RootKey]
	r.put(config.RootKey, changedRoot(t, r))
	eventually(t, "the router that reaches the platform has the change", func() bool {
		return r.routers[0].Status().Versions[config.RootKey] > before
	})
	for _, d := range r.routers {
		r.sendDrafts(d, 20)
	}
	require.Equal(t, before, r.routers[3].Status().Versions[config.RootKey])

	r.partitioned.Store(false)
	r.awaitAll("all routers have all peers and the change", func(s Status) bool {
		return len(s.Peers) == 3 && s.Versions[config.RootKey] > before
	})
	want := state.Cost(100 * 10 * int64(state.CostUnit))
	r.awaitAll("all routers have the same counters", func(s Status) bool {
		totals := fleetTotals(s)
		first := fleetTotals(r.routers[0].Status())
		return totals["one"] == first["one"] && totals["two"] == first["two"] && totals["one"]+totals["two"] >= want
	})
	r.sendDrafts(r.routers[3], 20)
}

// changedRoot returns the root in force with another share.
func changedRoot(t *testing.T, r *twoDataCentres) config.Root {
	t.Helper()
	object, err := r.platform.Store().Get(t.Context(), config.RootKey)
	require.NoError(t, err)
	root, err := config.ParseRoot(object.Value)
	require.NoError(t, err)
	root.Teams[0].Share = 2
	return root
}
