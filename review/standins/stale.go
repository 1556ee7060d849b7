package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	staleLoadTime = 16 * time.Second
	staleCutAt    = 8 * time.Second
	staleCutTime  = 5 * time.Second
	// staleStreamGap is the mean time between two streams to one router.
	staleStreamGap = 50 * time.Millisecond
	// staleLinger is how long a leaving engine serves beyond the drain time.
	staleLinger = time.Second
)

// playStale partitions the routers that read the store from it, just before
// some engines report that they leave.
func playStale(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, []string{"sala-laredo", "sala-castro", "sala-santona", "sala-ramales"}, 2, 0.4)
	if err != nil {
		return 0, err
	}
	defer f.clean()
	f.store.put("config", "main", hangConfig(1, "/old/"))
	upstreams := &engines{fleet: f, events: 20, gap: 100 * time.Millisecond}
	for range engineCount {
		if err := upstreams.addEngine(); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		f.stopAll(0)
		return 0, err
	}
	rec.say("%d routers are ready", len(f.routers))
	time.Sleep(2 * time.Second)
	c := newCallers(rec)
	start := time.Now()
	var load sync.WaitGroup
	for _, r := range f.routers {
		load.Go(func() {
			for time.Since(start) < staleLoadTime {
				load.Go(func() { c.send(r, "POST", "/guide/x", streamDeadline, "628,180") })
				time.Sleep(staleStreamGap/2 + rand.N(staleStreamGap))
			}
		})
	}
	cut := start.Add(staleCutAt)
	// New engines and a new configuration.
	for _, before := range []time.Duration{600, 350, 100} {
		time.Sleep(time.Until(cut.Add(-before * time.Millisecond)))
		if err := upstreams.addEngine(); err != nil {
			return 0, err
		}
	}
	f.store.put("config", "main", hangConfig(2, "/old/"))
	time.Sleep(time.Until(cut))
	readers := map[string]bool{f.routers[0].name: true, f.routers[2].name: true, f.routers[4].name: true}
	if trouble {
		for _, r := range f.routers {
			r.link.cut.Store(readers[r.name])
		}
		rec.say("%s, %s and %s are partitioned from the store", f.routers[0].name, f.routers[2].name, f.routers[4].name)
	}
	time.Sleep(100 * time.Millisecond)
	leaving := upstreams.leave(3)
	time.Sleep(time.Until(cut.Add(staleCutTime)))
	for _, r := range f.routers {
		r.link.cut.Store(false)
	}
	load.Wait()
	upstreams.wait.Wait()
	for _, name := range f.stopAll(2 * time.Second) {
		rec.say("%s was killed", name)
	}
	if judgeLeaving(rec, leaving, readers) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// leave lets engines report that they leave. They serve for the drain time and
// a little longer, and then end. It returns when the store accepted the reports.
func (e *engines) leave(count int) map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	leaving := make(map[string]time.Time)
	for _, w := range e.alive[:count] {
		accepted := e.fleet.store.put("servers", w.id, w.entry("draining"))
		leaving[w.id] = accepted
		e.fleet.record.say("%s in %s leaves", w.id, w.zone)
		e.wait.Go(func() {
			time.Sleep(time.Until(accepted.Add(drainTime + staleLinger)))
			e.fleet.record.say("%s ends with %d running", w.id, w.running.Load())
			e.fleet.store.remove("servers", w.id)
			w.crash()
		})
	}
	e.alive = e.alive[count:]
	return leaving
}

// judgeLeaving returns the number of requests that reached a leaving engine too
// late, taken from their callers by routers that were not cut off.
func judgeLeaving(rec *record, leaving map[string]time.Time, cutOff map[string]bool) int {
	rec.mu.Lock()
	late, last := 0, time.Duration(0)
	for attempt, runs := range rec.runs {
		for _, r := range runs {
			accepted, left := leaving[r.worker]
			after := r.at.Sub(accepted)
			if !left || cutOff[rec.routers[attempt]] || after <= drainTime {
				continue
			}
			late, last = late+1, max(last, after)
		}
	}
	rec.mu.Unlock()
	if late == 0 {
		rec.say("DRAIN held")
		return 0
	}
	rec.say("DRAIN is broken: %d requests of routers that were not cut off reached a leaving engine later than %v, the last after %v", late, drainTime, last)
	return late
}
