package main

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	resumeRouters = 8
	// resumeWorkers is large enough that one that crashes is within the site's
	// share.
	resumeWorkers = 6
	// errorBytes is the size of the error page of a worker.
	errorBytes = 300 << 10
	// errorShare is the share of requests that workers fail at any time.
	errorShare = 0.14
	crashes    = 6
	// restartTime is the time until a crashed worker is back, as a new one.
	restartTime = 3 * time.Second
)

// resumeCase checks streams that are resumed at another worker. With trouble,
// workers crash, one after the other.
type resumeCase struct {
	rec   *record
	fleet *fleet
	mu    sync.Mutex
	bad   int
	calls map[int]int
}

func runResume(folder string, trouble bool) (bool, error) {
	rec, err := newRecord(folder)
	if err != nil {
		return false, err
	}
	f, err := startFleet(resumeRouters, 284, siteConfig())
	if err != nil {
		return false, err
	}
	c := &resumeCase{rec: rec, fleet: f, calls: make(map[int]int)}
	err = c.run(trouble)
	if stopErr := f.stop(); err == nil {
		err = stopErr
	}
	return c.bad == 0, err
}

func (c *resumeCase) run(trouble bool) error {
	var workers []*worker
	for i := range resumeWorkers {
		w, err := c.addWorker(i)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	time.Sleep(contact)
	until := time.Now().Add(crashes*(contact+restartTime) + contact)
	var clients sync.WaitGroup
	for i := range 32 {
		clients.Go(func() { c.callUntil(until, i, c.fleet.routers[i%len(c.fleet.routers)]) })
	}
	for round := range crashes {
		time.Sleep(contact)
		if !trouble {
			continue
		}
		w := slices.MaxFunc(workers, func(a, b *worker) int { return cmp.Compare(a.running.Load(), b.running.Load()) })
		c.rec.line("%s crashes with %d streams", w.id, w.running.Load())
		w.crash()
		workers = slices.DeleteFunc(workers, func(o *worker) bool { return o == w })
		time.Sleep(restartTime)
		started, err := c.addWorker(resumeWorkers + round)
		if err != nil {
			return err
		}
		workers = append(workers, started)
	}
	clients.Wait()
	c.rec.verdict("answers by status (0: none): %v", c.calls)
	c.rec.verdict("streams that ended as complete and hold other bytes than their events: %d", c.bad)
	return nil
}

func (c *resumeCase) addWorker(i int) (*worker, error) {
	w, err := newWorker(c.fleet.store, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), engines, zones[i%len(zones)], engineSlots)
	if err != nil {
		return nil, err
	}
	w.handle = func(conn *workerConn, r *request) bool { return c.handle(w, conn, r) }
	return w, w.serve()
}

// handle runs a stream, or answers with an error of the worker's own.
func (c *resumeCase) handle(w *worker, conn *workerConn, r *request) bool {
	w.running.Add(1)
	defer w.running.Add(-1)
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		first = n + 1
	}
	if rand.Float64() < errorShare {
		c.rec.line("%s fails %s, asked to go on at event %d", w.id, r.attempt, first)
		page := bytes.Repeat([]byte("<p>internal error of "+w.id+"</p>\n"), errorBytes/32)
		_, err := conn.Write([]byte(w.answer(http.StatusInternalServerError, r.attempt, page)))
		return err == nil
	}
	c.rec.line("%s runs %s from event %d on", w.id, r.attempt, first)
	if _, err := conn.Write([]byte(streamHead(w.id, r.attempt))); err != nil {
		return false
	}
	for n := first; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		if writeChunk(conn, []byte(event(r.attempt, n))) != nil {
			return false
		}
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

func (c *resumeCase) callUntil(until time.Time, i int, r *router) {
	caller := &client{router: r.callers}
	defer caller.close()
	for n := 0; time.Now().Before(until); n++ {
		attempt := newAttempt()
		header := fmt.Sprintf("%sModel-Id: m\r\nToken-Usage: 660,384\r\nPrompt-Prefix: %x:400,%x:260\r\nLength-Hint: 384\r\n", tenantHeader, 0x5c1e07a2+i%4, 0x10000+i*1000+n)
		c.rec.line("%s is sent to %s", attempt, r.name)
		got := caller.call(guidesPath+"2f", attempt, 15*time.Second, header, []byte("prompt"))
		var whole strings.Builder
		for n := 1; n <= streamEvents; n++ {
			whole.WriteString(event(attempt, n))
		}
		c.rec.line("%s is answered: status %d, signature %q, %d bytes, error %v", attempt, got.status, got.signature, len(got.body), got.err)
		c.mu.Lock()
		c.calls[got.status]++
		if got.status == http.StatusOK && got.err == nil && string(got.body) != whole.String() {
			c.bad++
			at := 0
			for at < min(len(got.body), whole.Len()) && got.body[at] == whole.String()[at] {
				at++
			}
			c.rec.line("request %s at %s: status 200, signature %s, whole by its framing, %d bytes where %d are due; from byte %d on: %.60q", attempt, r.name, got.signature, len(got.body), whole.Len(), at, got.body[at:])
		}
		c.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}
