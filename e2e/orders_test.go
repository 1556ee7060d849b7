package e2e

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/figstile/figstile/coordination/fencing"
	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/orders"
	"github.com/stretchr/testify/require"
)

// setWantedModels changes, as an operator, the models that the first engine is
// to load.
func (f *fleet) setWantedModels(r *router, models ...state.Model) {
	f.t.Helper()
	f.root.Services[0].Upstreams[0].WantedModels = models
	file := writeJSON(f.t, f.root)
	out, code := f.runCLI(r, operatorToken, "config", "apply", "root", file, "--force")
	require.Zero(f.t, code, out)
}

// awaitModels waits until an engine has loaded exactly these models, in this
// order.
func awaitModels(t *testing.T, baseURL string, models ...state.Model) {
	t.Helper()
	eventually(t, fmt.Sprintf("the engine has loaded %v", models), func() bool {
		return fmt.Sprint(receivedOrders(t, baseURL).Models) == fmt.Sprint(models)
	})
}

func receivedOrders(t *testing.T, baseURL string) engine.OrdersAnswer {
	t.Helper()
	var answer engine.OrdersAnswer
	getJSON(t, baseURL+"/orders", &answer)
	return answer
}

// loadOrders returns the models of the orders to load that were applied and
// that were rejected. It fails the test if there is an order of another kind.
func loadOrders(t *testing.T, baseURL string) (applied, rejected []state.Model) {
	t.Helper()
	for _, o := range receivedOrders(t, baseURL).Orders {
		require.Equal(t, engine.LoadModel, o.Action, "%+v", o)
		if o.Applied {
			applied = append(applied, o.Model)
		} else {
			rejected = append(rejected, o.Model)
		}
	}
	return applied, rejected
}

// readLease reads the lease object of an upstream directly from the platform.
// It returns the zero value if there is no lease object.
func (f *fleet) readLease(upstream state.Upstream) (fencing.Lease, objectstore.Version) {
	f.t.Helper()
	client := objectstore.NewClient(objectstore.ClientOptions{BaseURL: f.platformURL})
	object, err := client.Get(f.t.Context(), orders.LeaseKey(upstream))
	if err != nil {
		require.ErrorIs(f.t, err, objectstore.ErrNotFound)
		return fencing.Lease{}, 0
	}
	var lease fencing.Lease
	require.NoError(f.t, json.Unmarshal(object.Value, &lease))
	return lease, object.Version
}

// awaitLeaseReleased waits until a lease has been acquired and released.
func (f *fleet) awaitLeaseReleased(upstream state.Upstream) {
	f.t.Helper()
	eventually(f.t, "the lease is released", func() bool {
		lease, version := f.readLease(upstream)
		return version > 0 && lease.Holder == ""
	})
}

// An engine whose wanted model is loaded restarts with empty memory while the
// platform is unavailable. Without a lease no router may send it an order, but
// requests must still be served. Once the platform is back, the model must be
// loaded again.
func TestOperatorChangesWantedModels(t *testing.T) {
	f := startStandardFleet(t)
	f.setWantedModels(f.routerList[2], "guide:v1")
	awaitModels(t, f.engineURLs[0], "guide:v1")
	f.awaitLeaseReleased("engine-1")

	send(t, http.MethodPost, f.platformURL+"/v1/faults", platform.Faults{Outage: platform.OutageRefuse})
	crash(f.engineURLs[0])
	eventually(t, "the owner reports that the lease store is unavailable", func() bool { return f.anyLogged("lease-store-away") })
	for _, got := range f.sendDrafts(24) {
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.Len(t, receivedOrders(t, f.engineURLs[0]).Orders, 1, "no router may send an order without a lease")
	send(t, http.MethodPost, f.platformURL+"/v1/faults", platform.Faults{})
	awaitModels(t, f.engineURLs[0], "guide:v1")
	eventually(t, "the owner reports that the lease store is available again", func() bool { return f.anyLogged("lease-store-back") })
	require.Empty(t, receivedOrders(t, f.engineURLs[1]).Orders, "an engine without wanted models must receive no orders")
}

// The owner of an engine is stopped, as when its VM is replaced. Its successor
// must apply the next change of wanted models, and the stopped router must have
// released its lease, which would delay the successor.
func TestOwnerOfOrdersStops(t *testing.T) {
	f := startStandardFleet(t)
	f.setWantedModels(f.routerList[2], "guide:v1")
	awaitModels(t, f.engineURLs[0], "guide:v1")
	owner := f.awaitOwner("engine-1")
	owner.terminate()
	<-owner.done
	lease, _ := f.readLease("engine-1")
	require.Empty(t, lease.Holder)
	f.setWantedModels(f.routerList[2], "guide:v1", "guide:v2")
	awaitModels(t, f.engineURLs[0], "guide:v1", "guide:v2")
}

func (f *fleet) anyLogged(event string) bool {
	for _, r := range f.routers {
		if strings.Contains(r.lines.text(), "event="+event) {
			return true
		}
	}
	return false
}

// awaitOwner waits until a router that answers owns an upstream, and returns
// the router.
func (f *fleet) awaitOwner(upstream state.Upstream) *router {
	f.t.Helper()
	var owner *router
	eventually(f.t, "the upstream has an owner", func() bool {
		for _, r := range f.routers {
			for _, u := range status(f.t, r).Owned {
				if u.Name == upstream {
					owner = r
				}
			}
		}
		return owner != nil
	})
	return owner
}

// holdingListener can delay new connections before their TLS handshake. A
// client that sends data only on an established connection has then sent
// nothing.
type holdingListener struct {
	net.Listener

	mu        sync.Mutex
	holding   bool
	heldConns []*heldConn
}

// heldConn blocks reads until it is released.
type heldConn struct {
	net.Conn
	once     sync.Once
	released chan struct{}
}

// Read waits until the connection is released and then reads.
func (c *heldConn) Read(p []byte) (int, error) {
	<-c.released
	return c.Conn.Read(p)
}

// Accept accepts a connection and holds it if holding is set.
func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding {
		return conn, nil
	}
	c := &heldConn{Conn: conn, released: make(chan struct{})}
	l.heldConns = append(l.heldConns, c)
	return c, nil
}

func (l *holdingListener) setHolding(holding bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = holding
}

func (l *holdingListener) connections() []*heldConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*heldConn(nil), l.heldConns...)
}

func releaseConns(conns []*heldConn) {
	for _, c := range conns {
		c.once.Do(func() { close(c.released) })
	}
}

// orderFleet is a fleet of two routers in one data centre and one engine. The
// routers reach the engine over TLS through a listener that can hold
// connections.
type orderFleet struct {
	*fleet
	engineURL string
	listener  *holdingListener
}

func startOrderFleet(t *testing.T, ignoresFencing bool) *orderFleet {
	f := &orderFleet{fleet: newFleet(t)}
	_, f.engineURL = f.startStandIn("engine-1", "engine", engineOptions{Name: "engine-1", Slots: 4, Ignore: ignoresFencing})
	f.addService(config.Service{
		Name: "redaccion-figstile", Kind: config.KindEngine, Repeatable: true,
		Models: []state.Model{"guide:v1", "guide:v2", "guide:v3", "guide:v4"},
		Upstreams: []config.Upstream{{
			Name: "engine-1", URL: f.serveEngineOverTLS(), DataCentre: "sala-laredo", ChecksFencing: !ignoresFencing,
		}},
	})
	f.addTeam("costa", 1, "laredo")
	f.writeRoot()
	f.startRouter("router-1", "sala-laredo")
	f.startRouter("router-2", "sala-laredo")
	for _, r := range f.routers {
		f.awaitReady(r)
	}
	return f
}

// serveEngineOverTLS serves the engine over TLS and adds its certificate
// authority to the ones that routers trust.
func (f *orderFleet) serveEngineOverTLS() string {
	a := newAuthority(f.t)
	certPEM, keyPEM := a.issue(f.t, "engine-1")
	pair, err := tls.X509KeyPair([]byte(certPEM), []byte(keyPEM))
	require.NoError(f.t, err)
	trusted := filepath.Join(f.t.TempDir(), "trusted.pem")
	require.NoError(f.t, os.WriteFile(trusted, []byte(a.pem), 0o600))
	f.extraEnv = append(f.extraEnv, "SSL_CERT_FILE="+trusted)

	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.listener = &holdingListener{Listener: plain}
	secured := tls.NewListener(f.listener, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12})
	proxy := &forwarder{
		Listener: secured,
		target:   strings.TrimPrefix(f.engineURL, "http://"),
		conns:    make(map[net.Conn]struct{}),
	}
	go forwardTLS(proxy)
	f.t.Cleanup(func() {
		proxy.Close()
		releaseConns(f.listener.connections())
		proxy.cut()
	})
	return "https://" + plain.Addr().String()
}

// forwardTLS connects to the engine only after the TLS handshake, as the engine
// closes connections that send nothing for a long time.
func forwardTLS(proxy *forwarder) {
	for {
		conn, err := proxy.Accept()
		if err != nil {
			return
		}
		go func() {
			if err := conn.(*tls.Conn).Handshake(); err != nil {
				conn.Close()
				return
			}
			proxy.forward(conn)
		}()
	}
}

func (f *orderFleet) otherRouter(r *router) *router {
	for _, candidate := range f.routers {
		if candidate != r {
			return candidate
		}
	}
	return nil
}

// awaitHeldOrder waits until the holder of the lease has an order in progress
// whose connection is not established yet. A renewal of the lease shows this,
// as it happens only while an order is in progress. Connections from before the
// lease are polls of the load report. They are released, because a router sends
// no order without a load report.
func (f *orderFleet) awaitHeldOrder(holder *router) {
	f.t.Helper()
	var leaseVersion objectstore.Version
	eventually(f.t, "an order waits for its connection", func() bool {
		polls := f.listener.connections()
		lease, version := f.readLease("engine-1")
		if lease.Holder != state.Router(holder.name) {
			releaseConns(polls)
			return false
		}
		if leaseVersion == 0 {
			leaseVersion = version
		}
		return version > leaseVersion
	})
}

// awaitTakeover waits until another router owns the engine and has acquired the
// lease with a greater fencing number.
func (f *orderFleet) awaitTakeover(successor *router, number uint64) {
	f.t.Helper()
	eventually(f.t, successor.name+" owns the engine", func() bool { return len(status(f.t, successor).Owned) == 1 })
	eventually(f.t, "another router has acquired the lease", func() bool {
		lease, _ := f.readLease("engine-1")
		return lease.Number > number
	})
}

// orderOutcomes returns the outcomes of a router's orders according to its log.
func (r *router) orderOutcomes() []string {
	var found []string
	for _, match := range orderOutcomePattern.FindAllStringSubmatch(r.lines.text(), -1) {
		found = append(found, match[1])
	}
	return found
}

var orderOutcomePattern = regexp.MustCompile(`event=order .*outcome=(\w+)`)

// The owner is frozen while it connects to the engine for an order to load "guide:v2".
// The operator then wants "guide:v3" instead, and a successor loads it after the lease
// ends. When the owner resumes, its lease, settings and order are out of date. The
// order must not be applied, or the engine would load an unwanted model.
func TestFrozenOwnerAppliesNoStaleOrder(t *testing.T) {
	for name, c := range map[string]struct {
		ignores  bool
		outcome  string
		rejected []state.Model
	}{
		"engine checks numbers":  {false, "stale", []state.Model{"guide:v2"}},
		"engine ignores numbers": {true, "late", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, c.ignores)
			owner := f.awaitOwner("engine-1")
			other := f.otherRouter(owner)
			f.setWantedModels(other, "guide:v1")
			awaitModels(t, f.engineURL, "guide:v1")
			f.awaitLeaseReleased("engine-1")

			f.listener.setHolding(true)
			f.setWantedModels(other, "guide:v1", "guide:v2")
			f.awaitHeldOrder(owner)
			owner.freeze()
			f.listener.setHolding(false)
			heldLease, _ := f.readLease("engine-1")
			f.setWantedModels(other, "guide:v1", "guide:v3")
			f.awaitTakeover(other, heldLease.Number)
			awaitModels(t, f.engineURL, "guide:v1", "guide:v3")
			f.awaitLeaseReleased("engine-1")

			releaseConns(f.listener.connections())
			owner.thaw()
			eventually(t, "the delayed order has ended", func() bool { return len(owner.orderOutcomes()) == 2 })
			f.setWantedModels(other, "guide:v1", "guide:v3", "guide:v4")
			awaitModels(t, f.engineURL, "guide:v1", "guide:v3", "guide:v4")

			applied, rejected := loadOrders(t, f.engineURL)
			require.Equal(t, []state.Model{"guide:v1", "guide:v3", "guide:v4"}, applied)
			require.Equal(t, c.rejected, rejected)
			require.Equal(t, c.outcome, owner.orderOutcomes()[1])
		})
	}
}
