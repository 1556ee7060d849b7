package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout limits the wait until the routers are ready.
	startTimeout = 15 * time.Second
	// gracePeriod is the time between SIGTERM and SIGKILL of a stop, GracePeriodS.
	gracePeriod = 8 * time.Second
	// contact is ContactMs. The cases leave their fleet in peace for so long
	// before they begin.
	contact    = 3 * time.Second
	hostname   = "ficu95.example"
	daemonPath = "target/figstiled"
)

// Zones of the site folletos-norte.
var zones = []string{"sala-laredo", "sala-castro", "sala-santona", "sala-ramales"}

// fleet is a small deployment: the store and the routers' processes.
type fleet struct {
	store    *store
	folder   string
	server   *http.Server
	storeAt  string
	routers  []*router
	memoryMb int
}

// router is one process of the deploy file's only role.
type router struct {
	name                           string
	zone                           string
	callers, ready, peers, metrics string
	settings                       string
	log                            *os.File

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// startFleet starts the store and the routers and waits until all are ready.
func startFleet(routers, memoryMb int, config any) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), folder: folder, memoryMb: memoryMb}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, f.stop())
	}
	f.storeAt = listener.Addr().String()
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: startTimeout}
	go func() { _ = f.server.Serve(listener) }()
	if err := f.store.put("config", "main", config); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	if err := f.addRouters(routers); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	return f, nil
}

func (f *fleet) addRouters(count int) error {
	addresses, err := freeAddresses(4 * count)
	if err != nil {
		return err
	}
	for i := range count {
		own := addresses[4*i : 4*i+4]
		f.routers = append(f.routers, &router{
			name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)],
			callers: own[0], ready: own[1], peers: own[2], metrics: own[3],
		})
	}
	for _, r := range f.routers {
		if err := f.writeSettings(r); err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes a router's settings file as the platform does, with the
// bounds of the site.
func (f *fleet) writeSettings(r *router) error {
	zoneRegions := make(map[string]string)
	for _, zone := range zones {
		zoneRegions[zone] = "cantabria-oriental"
	}
	var seeds []string
	for _, other := range f.routers[:min(len(f.routers), 3)] {
		seeds = append(seeds, other.peers)
	}
	text, err := json.Marshal(map[string]any{
		"NodeName": r.name, "Role": "router", "MachineClass": "edge", "Planes": []string{"edge", "control_plane"},
		"Ip": "127.0.0.1", "Zone": r.zone, "Region": "cantabria-oriental", "Zones": zoneRegions,
		"ListenAddrs": map[string]string{"Frontend": r.callers, "Ready": r.ready, "ControlPlane": r.peers},
		"SeedNodes":   seeds, "Bootstrap": true, "InTolerance": false,
		"Limits":   map[string]any{"CpuQuota": 0.4, "CpuCores": 1, "MemoryMb": f.memoryMb, "MaxFds": 4100, "BandwidthMbps": 1000.0, "DiskMb": 0},
		"DataPath": nil, "Discovery": "platform", "EntryMode": "anycast", "HeartbeatMs": 1200,
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "SyncTimeS": 4, "DrainTimeoutMs": 2000,
			"GracePeriodS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "PartitionSlackMs": 5000,
			"RevokeStrict": false, "RevokeTimeoutMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "BudgetSlack": 56,
			"RecoveryS": 12, "DeliverySlackMs": 120, "ReuseWindowS": 10, "QuotaPeriodS": 4,
		},
		"Platform": map[string]any{
			"Address": f.storeAt, "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "RetentionS": 20,
			"MaxValueBytes": 1 << 20, "MinTtlMs": 1000,
		},
	})
	if err != nil {
		return err
	}
	r.settings = filepath.Join(f.folder, r.name+".json")
	if r.log, err = os.Create(filepath.Join(f.folder, r.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(r.settings, text, 0o600)
}

// start runs the command of the deploy file.
func (r *router) start() error {
	command := exec.Command(daemonPath, "edge")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"FIGSTILE_CONFIG=" + r.settings, "FIGSTILE_METRICS_LISTEN=" + r.metrics,
	}
	command.Stdout, command.Stderr = r.log, r.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.command, r.done = command, done
	r.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// process returns the running process and a channel that is closed at its end.
func (r *router) process() (*os.Process, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.command.Process, r.done
}

func (r *router) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/readiness")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.name)
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() error {
	for _, r := range f.routers {
		if r.command != nil {
			process, _ := r.process()
			_ = process.Signal(syscall.SIGTERM)
		}
	}
	for _, r := range f.routers {
		if r.command == nil {
			continue
		}
		process, done := r.process()
		select {
		case <-done:
		case <-time.After(gracePeriod):
			_ = process.Kill()
			<-done
		}
		_ = r.log.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	return os.RemoveAll(f.folder)
}

// The ports of the routers are below those that the kernel gives to outgoing
// connections. Otherwise a router could find its port taken by a connection of a
// router that started before it.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// freeAddresses returns n different loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for port := firstPort + rand.IntN(lastPort-firstPort-1000); len(addresses) < n; port++ {
		if port >= lastPort {
			return nil, errNoPorts
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

var errNoPorts = errors.New("too few free ports")
