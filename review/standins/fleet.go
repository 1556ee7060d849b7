package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the small deployments' sheets.
var bounds = map[string]any{
	"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "SyncTimeS": 4, "DrainTimeoutMs": 2000,
	"GracePeriodS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "PartitionSlackMs": 5000,
	"RevokeStrict": false, "RevokeTimeoutMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "BudgetSlack": 56,
	"RecoveryS": 12, "DeliverySlackMs": 120, "ReuseWindowS": 10, "QuotaPeriodS": 4,
}

const (
	contactTime     = 3 * time.Second
	drainTime       = 2 * time.Second
	configApplyTime = 2 * time.Second
	gracePeriod     = 8 * time.Second
)

// ports are the ports that every machine uses. Machines differ by their
// loopback address.
type ports struct{ frontend, ready, control, metrics int }

// router is one router process.
type router struct {
	name, zone, ip string
	ports          ports
	link           *link
	settingsPath   string
	process        *exec.Cmd
	ended          chan struct{}
}

func (r *router) frontend() string { return fmt.Sprintf("%s:%d", r.ip, r.ports.frontend) }

// fleet is the deployment of a case.
type fleet struct {
	dir     string
	store   *store
	record  *record
	routers []*router
	network byte
	zones   []string
	nextIP  int
}

// newFleet prepares routers: perZone of them in each zone. Their order is that
// of their names.
func newFleet(rec *record, zones []string, perZone int, processors float64) (*fleet, error) {
	dir, err := os.MkdirTemp("", "figstile-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), record: rec, zones: zones, network: byte(rand.IntN(200) + 20)}
	base := 10_000 + 10*rand.IntN(2_000)
	p := ports{frontend: base, ready: base + 1, control: base + 2, metrics: base + 3}
	for i, zone := range zones {
		for n := range perZone {
			r := &router{name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", f.network, i+1, n+10), ports: p}
			f.routers = append(f.routers, r)
		}
	}
	var seeds []string
	for i := range min(3, len(zones)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.routers[i*perZone].ip, p.control))
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "region"
	}
	for _, r := range f.routers {
		listener, err := net.Listen("tcp", r.ip+":0")
		if err != nil {
			return nil, err
		}
		r.link = newLink(f.store, listener)
		settings := map[string]any{
			"NodeName": r.name, "Role": "router", "MachineClass": "edge", "Planes": []string{"edge", "control_plane"},
			"Ip": r.ip, "Zone": r.zone, "Region": "region", "Zones": regions,
			"ListenAddrs": map[string]string{
				"Frontend":     r.frontend(),
				"Ready":        fmt.Sprintf("%s:%d", r.ip, p.ready),
				"ControlPlane": fmt.Sprintf("%s:%d", r.ip, p.control),
			},
			"PortRange": []int{base + 5, base + 9}, "SeedNodes": seeds, "Bootstrap": true, "InTolerance": false,
			"Limits":    map[string]any{"CpuQuota": processors, "CpuCores": 1, "MemoryMb": 284, "MaxFds": 4100, "BandwidthMbps": 1000.0, "DiskMb": 0},
			"Discovery": "platform", "EntryMode": "anycast", "HeartbeatMs": heartbeat.Milliseconds(), "Bounds": bounds,
			"Platform": map[string]any{
				"Address": listener.Addr().String(), "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000,
				"RetentionS": 20, "MaxValueBytes": 1 << 20, "MinTtlMs": 1000,
			},
		}
		encoded, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		r.settingsPath = filepath.Join(dir, r.name+".json")
		if err := os.WriteFile(r.settingsPath, encoded, 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// heartbeat is the interval at which workers write to the store. An entry is
// removed after three intervals of silence.
const heartbeat = 1200 * time.Millisecond

// clean removes the settings and the logs of the routers, unless KEEP is set.
func (f *fleet) clean() {
	for _, r := range f.routers {
		_ = r.link.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs are in", f.dir)
}

// start starts a router with the command of deploy/system.toml.
func (f *fleet) start(r *router) error {
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.process = exec.Command("target/figstiled", "edge")
	r.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGSTILE_CONFIG=" + r.settingsPath,
		fmt.Sprintf("FIGSTILE_METRICS_LISTEN=%s:%d", r.ip, r.ports.metrics),
	}
	r.process.Stdout, r.process.Stderr = log, log
	if err := r.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), r.process
	r.ended = ended
	started.add(process.Process)
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// processes are the processes that were started.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

// killAll kills the processes that still run.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.list {
		_ = process.Kill()
	}
}

// errNotReady means that the fleet did not start in time.
var errNotReady = errors.New("the routers did not become ready")

func (f *fleet) startAll(limit time.Duration) error {
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return err
		}
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.allReady() {
			return nil
		}
	}
	return errNotReady
}

func (f *fleet) allReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for _, r := range f.routers {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", r.ip, r.ports.ready))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// stopAll sends SIGTERM to all routers, waits for the grace period and a margin,
// and kills what still runs. It returns the names of the routers that were
// killed.
func (f *fleet) stopAll(margin time.Duration) []string {
	for _, r := range f.routers {
		if r.process != nil && r.process.Process != nil {
			_ = r.process.Process.Signal(syscall.SIGTERM)
		}
	}
	limit := time.After(gracePeriod + margin)
	var killed []string
	for _, r := range f.routers {
		if r.process == nil || r.process.Process == nil {
			continue
		}
		select {
		case <-r.ended:
			continue
		default:
		}
		select {
		case <-r.ended:
		case <-limit:
			limit = closedTimer()
			_ = r.process.Process.Kill()
			<-r.ended
			killed = append(killed, r.name)
		}
	}
	return killed
}

func closedTimer() <-chan time.Time {
	passed := make(chan time.Time)
	close(passed)
	return passed
}

// listen opens a port for a worker on an address of its own.
func (f *fleet) listen() (net.Listener, error) {
	f.nextIP++
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", f.network, 100+f.nextIP/200, 10+f.nextIP%200))
}
