package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	streamDeadline = 12 * time.Second
	pageDeadline   = 1500 * time.Millisecond
	// engineCount is the number of engines, and engineCrashes how many of them
	// crash at once. Each is back after engineDownTime.
	engineCount    = 18
	engineCrashes  = engineCount / 3
	engineDownTime = 4500 * time.Millisecond
	// hangRounds is the number of rounds.
	hangRounds    = 14
	hangRoundTime = 5 * time.Second
	// hangStreams is the number of streams that callers begin at a machine at
	// the beginning of a round, and hangBusyStreams that at a machine with an
	// uneven share of the connections.
	hangStreams     = 30
	hangBusyStreams = 150
	// hangFreezeAfter is the time from the crashes to the freeze of one of the
	// busy machines, which lasts hangFreezeTime.
	hangFreezeAfter = 1700 * time.Millisecond
	hangFreezeTime  = 1800 * time.Millisecond
)

// engines are the workers of a service that crash and come back.
type engines struct {
	fleet *fleet
	// events and gap describe the streams.
	events  int
	gap     time.Duration
	mu      sync.Mutex
	alive   []*worker
	started int
	wait    sync.WaitGroup
}

func (e *engines) add(service, prefix string, slots int) (*worker, error) {
	listener, err := e.fleet.listen()
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	w := &worker{
		id: fmt.Sprintf("%s-%04d", prefix, e.started), service: service, zone: e.fleet.zones[e.started%len(e.fleet.zones)],
		slots: slots, events: e.events, gap: e.gap, record: e.fleet.record,
	}
	w.start(listener)
	e.fleet.store.put("servers", w.id, w.entry("ready"))
	e.alive = append(e.alive, w)
	return w, nil
}

func (e *engines) addEngine() error {
	_, err := e.add("pool", "e", 64)
	return err
}

// crash crashes the engines of a rack, which have written their last heartbeats
// at the same time. Their next incarnations start later. It returns their names.
func (e *engines) crash(count int) []string {
	e.mu.Lock()
	rand.Shuffle(len(e.alive), func(i, j int) { e.alive[i], e.alive[j] = e.alive[j], e.alive[i] })
	crashed := e.alive[:count]
	e.alive = append([]*worker{}, e.alive[count:]...)
	e.mu.Unlock()
	var names []string
	for _, w := range crashed {
		e.fleet.record.note("engine %s crashes with %d running", w.id, w.running.Load())
		w.crash()
		names = append(names, w.id)
		e.wait.Go(func() {
			time.Sleep(engineDownTime)
			if err := e.addEngine(); err != nil {
				e.fleet.record.say("no new engine: %v", err)
			}
		})
	}
	return names
}

func route(name, prefix, kind, service string, timeout, target time.Duration) map[string]any {
	return map[string]any{
		"Name": name, "Hostname": hostName, "PathPrefix": prefix, "Type": kind, "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": target.Milliseconds(), "Priority": 1, "Service": service, "MaxAttempts": 1, "Public": false,
		"SessionAffinity": kind == "streaming", "Resumable": false, "ItlTargetMs": 300,
	}
}

func hangConfig(version int, last string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("guide", "/guide/", "streaming", "pool", streamDeadline, 800*time.Millisecond),
			route("page", "/page/", "non_idempotent", "app", 800*time.Millisecond, 300*time.Millisecond),
			route("last", last, "non_idempotent", "app", 800*time.Millisecond, 300*time.Millisecond),
		},
		"Services": []any{
			map[string]any{
				"Name": "pool", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "TlsEnabled": false,
				"Runtime": map[string]any{"BatchSlots": 64, "KvCapacity": 541031, "KvTokenBytes": 18432, "BandwidthMbps": 280000.0, "TokenStride": 6},
			},
			map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "TlsEnabled": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "ThroughputPerS": 440000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{callerKey}, "Priority": 1}},
	}
}

// playHang plays rounds of crashes of engines. While their entries are removed, one
// machine is frozen; then it wakes. Long after the last round, the operator
// replaces a route.
func playHang(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, []string{"sala-laredo", "sala-castro", "sala-santona", "sala-ramales"}, 2, 0.4)
	if err != nil {
		return 0, err
	}
	defer f.clean()
	f.store.put("config", "main", hangConfig(1, "/old/"))
	upstreams, plain := &engines{fleet: f, events: 12, gap: 190 * time.Millisecond}, &engines{fleet: f}
	for range engineCount {
		if err := upstreams.addEngine(); err != nil {
			return 0, err
		}
	}
	for range 4 {
		if _, err := plain.add("app", "a", 6); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		f.stopAll(0)
		return 0, err
	}
	rec.say("%d routers are ready", len(f.routers))
	c := newCallers(rec)
	var load sync.WaitGroup
	time.Sleep(2 * time.Second)
	busy := f.routers[4:6]
	for round := range hangRounds {
		end := time.Now().Add(hangRoundTime)
		for _, r := range f.routers {
			streams := hangStreams
			if slices.Contains(busy, r) {
				streams = hangBusyStreams
			}
			for range streams {
				load.Go(func() {
					time.Sleep(rand.N(800 * time.Millisecond))
					c.send(r, "POST", "/guide/x", streamDeadline, "628,180")
				})
			}
		}
		time.Sleep(1200 * time.Millisecond)
		if trouble {
			crashed := upstreams.crash(engineCrashes)
			time.Sleep(hangFreezeAfter)
			frozen := busy[round%len(busy)]
			rec.say("round %d: %s freezes", round+1, frozen.name)
			_ = frozen.process.Process.Signal(syscall.SIGSTOP)
			time.Sleep(hangFreezeTime - 300*time.Millisecond)
			f.store.remove("servers", crashed...)
			rec.note("the entries of %v are removed", crashed)
			time.Sleep(300 * time.Millisecond)
			_ = frozen.process.Process.Signal(syscall.SIGCONT)
			rec.note("%s wakes", frozen.name)
		}
		time.Sleep(time.Until(end))
	}
	upstreams.wait.Wait()
	rec.say("the troubles have ended")
	time.Sleep(contactTime + 2*time.Second)
	broken := judgeRoutes(f, c)
	for _, name := range f.stopAll(2 * time.Second) {
		rec.say("%s did not end within the grace period and was killed", name)
	}
	load.Wait()
	if len(broken) > 0 {
		rec.say("CONFIG is broken by %v", broken)
		return exitBroken, nil
	}
	rec.say("CONFIG held")
	return exitHeld, nil
}

// judgeRoutes replaces a route and returns the routers that still handle
// requests as only the old configuration allows, long after the new one must be
// in force.
func judgeRoutes(f *fleet, c *callers) []string {
	for _, r := range f.routers {
		res := c.send(r, "POST", "/old/x", pageDeadline, "")
		f.record.say("before the change, %s answers /old/ with %d", r.name, res.status)
	}
	accepted := f.store.put("config", "main", hangConfig(2, "/new/"))
	f.record.say("the store has accepted version 2, which drops /old/ and adds /new/")
	time.Sleep(time.Until(accepted.Add(configApplyTime + time.Second)))
	var broken []string
	for _, r := range f.routers {
		stale := 0
		for range 3 {
			res := c.send(r, "POST", "/old/x", pageDeadline, "")
			added := c.send(r, "POST", "/new/x", pageDeadline, "")
			f.record.say("%.1f s after the change, %s answers /old/ with %d (runs: %d) and /new/ with %d", time.Since(accepted).Seconds(), r.name,
				res.status, len(f.record.runsOf(res.attempt)), added.status)
			if len(f.record.runsOf(res.attempt)) > 0 || added.status == 404 {
				stale++
			}
		}
		if stale == 3 {
			broken = append(broken, r.name)
		}
	}
	return broken
}
