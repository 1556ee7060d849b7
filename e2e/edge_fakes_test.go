package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/objects"
	"github.com/figstile/figstile/transport/edge"
)

// objectStore is a stand-in for the platform's store and the server that it
// listens on.
type objectStore struct {
	*objects.Store
	server *httptest.Server
}

func startObjectStore(t *testing.T) *objectStore {
	t.Helper()
	s := &objectStore{Store: objects.New()}
	s.server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.SetUnavailable(true)
		s.server.Close()
	})
	return s
}

func (s *objectStore) address() string { return s.server.Listener.Addr().String() }

// put writes an object as an operator or upstream would. It ignores the
// encoding error, as callers pass only maps that can be encoded.
func (s *objectStore) put(kind edge.Kind, name string, spec any) {
	text, _ := json.Marshal(spec)
	s.Put(kind, name, text)
}

// edgeConfig returns a configuration with a stream route, a route whose
// requests must not be repeated, and a workspace with the given keys.
func edgeConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "guides", "Hostname": "h.example", "PathPrefix": "/guides/", "Type": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 1000, "Service": "engines", "MaxAttempts": 2, "Resumable": true},
			{"Name": "pages", "Hostname": "h.example", "PathPrefix": "/pages/", "Type": "non_idempotent", "TimeoutMs": 15000, "TargetLatencyMs": 1000, "Service": "engines", "MaxAttempts": 1},
		},
		"Services": []map[string]any{{"Name": "engines", "HealthPath": "/healthz", "MaxConnections": 100, "ColdStartS": 2, "ColdPerS": 4, "Runtime": map[string]any{"BatchSlots": 8, "KvCapacity": 100000, "TokenStride": 4}}},
		"Limits":   map[string]any{"MaxBodyBytes": 1 << 20, "ThroughputPerS": 100000},
		"Tenants":  []map[string]any{{"Name": "turismo", "ApiKeys": keys}},
	}
}

// heldPage is the path of a plain answer that the stand-in holds back in the
// same way as its streams.
const heldPage = "/pages/held"

// edgeEngine is a stand-in for an engine that holds its streams open until a
// test releases them.
type edgeEngine struct {
	server *httptest.Server
	// release ends one held request for each value sent to it.
	release chan struct{}
	// started receives a value for each stream that has sent its first event
	// and for each request of heldPage.
	started chan struct{}
	// received counts the requests that were addressed to this engine.
	received atomic.Int64
	// receivedAt is the time of the last of them in nanoseconds since 1970.
	receivedAt atomic.Int64
}

func startEdgeEngine(t *testing.T, s *objectStore, id string) *edgeEngine {
	t.Helper()
	return startColdEdgeEngine(t, s, id, 0)
}

// startColdEdgeEngine starts an engine whose entry says that it is cold for a
// while.
func startColdEdgeEngine(t *testing.T, s *objectStore, id string, coldFor time.Duration) *edgeEngine {
	t.Helper()
	e := &edgeEngine{release: make(chan struct{}, 16), started: make(chan struct{}, 16)}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if r.Header.Get("Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.received.Add(1)
		e.receivedAt.Store(time.Now().UnixNano())
		w.Header().Set("Server-Signature", "sig-"+id)
		if r.Header.Get("Tenant") != "turismo" || r.Header.Get("Authorization") != "" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if r.URL.Path == "/pages/now" {
			fmt.Fprint(w, "page")
			return
		}
		if r.URL.Path == heldPage {
			e.started <- struct{}{}
			<-e.release
			fmt.Fprint(w, "page")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		w.(http.Flusher).Flush()
		e.started <- struct{}{}
		<-e.release
		fmt.Fprint(w, "id: 2\ndata: b\n\n")
	}))
	t.Cleanup(e.server.Close)
	t.Cleanup(func() { close(e.release) })
	s.put(edge.KindUpstream, id, map[string]any{
		"Service": "engines", "Address": e.server.Listener.Addr().String(), "Zone": "z1", "BatchSlots": 8, "State": "ready", "born": 1,
		"ColdRemainingMs": coldFor.Milliseconds(),
	})
	return e
}

// edgeRouter is a router process that runs "figstiled edge" with a settings
// file of the users' platform.
type edgeRouter struct {
	*process
	name                                     string
	callerAddress, readyAddress, peerAddress string
	// settings is the path of the settings file.
	settings string
}

// freeAddresses returns n different addresses on a loopback IP that only this
// index uses. All listeners stay open until the last address is known, because
// the system may assign the address of a closed one again at once.
func freeAddresses(t *testing.T, index, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()%200, index+1))
		require.NoError(t, err)
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func startEdgeRouter(t *testing.T, s *objectStore, index int, seeds ...string) *edgeRouter {
	t.Helper()
	return startEdgeRouterAt(t, s.address(), index, seeds...)
}

// startEdgeRouterAt starts a router that reaches the store at the given
// address, for example the address of a proxy.
func startEdgeRouterAt(t *testing.T, store string, index int, seeds ...string) *edgeRouter {
	t.Helper()
	return startEdgeRouterOn(t, store, vmLimits{CPUQuota: 1, MemoryMb: 284, MaxFds: 4100}, index, seeds...)
}

// vmLimits are the limits of a VM in the settings file.
type vmLimits struct {
	CPUQuota float64 `json:"CpuQuota"`
	MemoryMb int
	MaxFds   int
}

// smallestVM is the smallest VM that a router runs on.
var smallestVM = vmLimits{CPUQuota: 0.4, MemoryMb: 134, MaxFds: 4200}

// startEdgeRouterOn starts a router on a VM with the given limits.
func startEdgeRouterOn(t *testing.T, store string, limits vmLimits, index int, seeds ...string) *edgeRouter {
	t.Helper()
	addresses := freeAddresses(t, index, 3)
	r := &edgeRouter{
		name:          fmt.Sprintf("edge-%d", index),
		callerAddress: addresses[0],
		readyAddress:  addresses[1],
		peerAddress:   addresses[2],
	}
	settings := map[string]any{
		"NodeName": r.name, "Zone": fmt.Sprintf("z%d", 1+index%2),
		"ListenAddrs": map[string]string{"Frontend": r.callerAddress, "Ready": r.readyAddress, "ControlPlane": r.peerAddress},
		"SeedNodes":   seeds,
		"Limits":      limits,
		"Bounds":      map[string]any{"GracePeriodS": 8, "DrainTimeoutMs": 2000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "BudgetSlack": 56, "EvacuationMs": 5000, "ColdOverage": 1.5, "ColdTolerance": 5},
		"Zones":       map[string]string{"z1": "north", "z2": "north"},
		"Platform":    map[string]string{"Address": store},
	}
	text, err := json.Marshal(settings)
	require.NoError(t, err)
	r.settings = filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(r.settings, text, 0o600))
	r.launch(t)
	return r
}

// launch starts the router's process. It can be called again after the process
// has ended and uses the same settings.
func (r *edgeRouter) launch(t *testing.T) {
	t.Helper()
	cmd := exec.Command(daemonBinary, "edge")
	cmd.Env = append(os.Environ(), "FIGSTILE_CONFIG="+r.settings)
	r.process = start(t, r.name, cmd)
}

// await polls a condition until it holds. Only the time limit of the test run
// bounds the wait.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitReady waits until the router is ready for callers. It fails the test if
// the process has ended.
func (r *edgeRouter) awaitReady(t *testing.T) {
	t.Helper()
	await(t, func() bool {
		select {
		case <-r.done:
			t.Fatalf("%s ended: %v", r.name, r.err)
		default:
		}
		return r.isReady()
	})
}

func (r *edgeRouter) isReady() bool {
	response, err := http.Get("http://" + r.readyAddress + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// post sends a request with a key on a new connection.
func (r *edgeRouter) post(t *testing.T, path, key string) (*http.Response, error) {
	t.Helper()
	return r.postWithin(t, path, key, 15*time.Second)
}

// postWithin is post with a deadline of the caller.
func (r *edgeRouter) postWithin(t *testing.T, path, key string, deadline time.Duration) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.callerAddress+path, nil)
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Attempt-Id", "a1")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Tenant", "forged")
	request.Close = true
	return http.DefaultClient.Do(request)
}

func (r *edgeRouter) postStatus(t *testing.T, path, key string) int {
	t.Helper()
	response, err := r.post(t, path, key)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
