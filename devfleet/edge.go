package devfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/standin/objects"
	"github.com/figstile/figstile/standin/server"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/edge"
	"github.com/figstile/figstile/transport/pause"
)

// The size of the fleet on the users' platform. It has enough routers and
// upstreams to show how they work together on one machine.
const (
	edgeRouters     = 4
	edgeEngines     = 3
	edgeWorkers     = 2
	edgeEngineSlots = 4
	edgeWorkerSlots = 4
	// edgeThroughput is the throughput limit of the configuration, in cost
	// units per second: the throughput of two stand-in engines, as the third
	// one leaves during the trial. Each engine runs four streams at a time, and
	// a stream takes a third of a second and costs 300 cost units.
	edgeThroughput  = 7000
	edgeGracePeriod = 5 * time.Second
)

// Services and routes of the sample configuration.
const (
	edgeHost    = "fleet.example"
	edgeDrafts  = state.Service("drafts")
	edgePages   = state.Service("pages")
	draftsPath  = "/drafts/"
	publishPath = "/publish/"
	mapsPath    = "/maps/"
)

// EdgeFleet is a running fleet on stand-ins of the users' platform.
type EdgeFleet struct {
	store   *objects.Store
	servers map[state.Upstream]*edgeServer
	routers []edge.Settings
	config  routing.Config
	group   *errgroup.Group
	cancel  context.CancelFunc
	closers []io.Closer
}

// edgeServer is a stand-in upstream and its entry in the store.
type edgeServer struct {
	*server.Server
	entry directory.Upstream
}

// StartEdge starts a fleet and waits until every router is ready.
func StartEdge(ctx context.Context, log zerolog.Logger) (*EdgeFleet, error) {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &EdgeFleet{store: objects.New(), servers: make(map[state.Upstream]*edgeServer), cancel: cancel}
	f.group, runCtx = errgroup.WithContext(runCtx)
	if err := f.start(ctx, runCtx, log); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *EdgeFleet) start(ctx, runCtx context.Context, log zerolog.Logger) error {
	store, err := f.listen(f.store)
	if err != nil {
		return err
	}
	f.config = edgeConfig()
	if err := f.writeConfig(); err != nil {
		return err
	}
	for i := range edgeEngines {
		if err := f.startServer(edgeDrafts, i, server.Options{Slots: edgeEngineSlots, AnswerDelay: 30 * time.Millisecond, EventCount: 10, EventInterval: 30 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range edgeWorkers {
		if err := f.startServer(edgePages, i, server.Options{Slots: edgeWorkerSlots, AnswerDelay: 20 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range edgeRouters {
		if err := f.startRouter(runCtx, store, i, log); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// listen serves a handler on a loopback address until the fleet stops.
func (f *EdgeFleet) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: edgeGracePeriod}
	f.closers = append(f.closers, httpServer)
	f.group.Go(func() error {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return listener.Addr().String(), nil
}

func (f *EdgeFleet) startServer(service state.Service, i int, options server.Options) error {
	options.ID = state.Upstream(fmt.Sprintf("%s-%d", service, i+1))
	started := &edgeServer{Server: server.New(options)}
	address, err := f.listen(started)
	if err != nil {
		return err
	}
	started.entry = directory.Upstream{
		ID: options.ID, Service: service, Address: address, DataCentre: edgeDataCentre(i), Slots: options.Slots, Born: time.Now().UnixMilli(),
	}
	f.servers[options.ID] = started
	return f.register(started.entry)
}

func (f *EdgeFleet) register(entry directory.Upstream) error {
	spec, err := platform.EncodeUpstream(entry)
	if err != nil {
		return err
	}
	f.store.Put(edge.KindUpstream, string(entry.ID), spec)
	return nil
}

func (f *EdgeFleet) writeConfig() error {
	spec, err := platform.EncodeConfig(f.config)
	if err != nil {
		return err
	}
	f.store.Put(edge.KindConfig, "main", spec)
	return nil
}

func edgeDataCentre(i int) state.DataCentre { return state.DataCentre(fmt.Sprintf("dc-%d", 1+i%2)) }

func (f *EdgeFleet) startRouter(runCtx context.Context, store string, i int, log zerolog.Logger) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	settings := edge.Settings{
		Router: state.Router(fmt.Sprintf("router-%d", i+1)), DataCentre: edgeDataCentre(i),
		Addresses:   edge.Addresses{Callers: addresses[0], Ready: addresses[1], Peers: addresses[2]},
		GracePeriod: edgeGracePeriod, RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second,
	}
	if i > 0 {
		settings.Seeds = []string{f.routers[0].Addresses.Peers}
	}
	client := platform.NewStore(store, 0, edge.NewDialer().DialContext)
	router, err := edge.New(settings, platform.New(client), log.With().Str("router", string(settings.Router)).Logger())
	if err != nil {
		return err
	}
	f.routers = append(f.routers, settings)
	f.group.Go(func() error { return router.Run(runCtx) })
	return nil
}

// freeAddresses returns n different loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		// All listeners stay open until the last address is known, because the
		// system may assign the address of a closed one again.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (f *EdgeFleet) awaitReady(ctx context.Context) error {
	for _, settings := range f.routers {
		for !isReady(ctx, settings.Addresses.Ready) {
			if err := pause.For(ctx, readyInterval); err != nil {
				return fmt.Errorf("devfleet: %s is not ready: %w", settings.Router, err)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop stops the stand-ins, and the routers as in a planned stop.
func (f *EdgeFleet) Stop() error {
	f.cancel()
	f.store.SetUnavailable(true)
	for _, c := range f.closers {
		_ = c.Close()
	}
	return f.group.Wait()
}

// edgeConfig returns the sample configuration.
func edgeConfig() routing.Config {
	route := func(name, prefix string, kind routing.Kind, service state.Service) routing.Route {
		return routing.Route{
			Name: name, Host: edgeHost, Prefix: prefix, Kind: kind, Resumable: kind == routing.Stream,
			Timeout: 10 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
			Backends: []routing.Backend{{Service: service, Weight: 1}},
		}
	}
	config := routing.Config{
		Version: 1,
		Routes: []routing.Route{
			route("drafts", draftsPath, routing.Stream, edgeDrafts),
			route("held", server.HeldStreamPath, routing.Stream, edgeDrafts),
			route("publish", publishPath, routing.NonIdempotent, edgePages),
			route("maps", mapsPath, routing.Idempotent, edgePages),
		},
		Services: []routing.Service{
			{Name: edgeDrafts, Engine: &routing.Engine{Slots: edgeEngineSlots, CacheTokens: 100000, TokensPerEvent: 1}},
			{Name: edgePages},
		},
		Limits: routing.Limits{BodyBytes: 1 << 20, Throughput: edgeThroughput},
	}
	for _, name := range []state.Workspace{floodWorkspace, "archive", "tours", revokedWorkspace} {
		config.Workspaces = append(config.Workspaces, routing.Workspace{Name: name, Keys: []string{edgeKey(name)}})
	}
	return config
}

// Workspaces with a special role in the trial: floodWorkspace floods the fleet,
// and the key of revokedWorkspace is revoked.
const (
	floodWorkspace   = state.Workspace("flood")
	revokedWorkspace = state.Workspace("former")
)

func edgeKey(ws state.Workspace) string { return "key-of-" + string(ws) }

// WriteAddresses prints the addresses of the routers and a curl command for a
// request that succeeds.
func (f *EdgeFleet) WriteAddresses(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "ROUTER\tDATA CENTRE\tCALLERS\tREADY\n")
	for _, r := range f.routers {
		fmt.Fprintf(tw, "%s\t%s\thttp://%s\thttp://%s\n", r.Router, r.DataCentre, r.Addresses.Callers, r.Addresses.Ready)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	call := make(http.Header)
	platform.SetCallerHeaders(call, platform.CallerHeaders{Attempt: "a1", Key: edgeKey("tours"), Deadline: 10 * time.Second})
	fmt.Fprintf(w, "\ncurl -N -X POST -H 'Host: %s'", edgeHost)
	for name := range call {
		fmt.Fprintf(w, " \\\n  -H '%s: %s'", name, call.Get(name))
	}
	_, err := fmt.Fprintf(w, " \\\n  http://%s%sguide\n", f.routers[0].Addresses.Callers, draftsPath)
	return err
}
