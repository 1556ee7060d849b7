package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	notRunRouters = 8
	notRunLength  = 40 * time.Second
)

// shedAnswer is the answer of a worker that sheds, as fleetbench wire prints it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// notRunCase checks that what is answered "not run" has not run. With trouble,
// half of the workers send additional bytes after some of their answers.
type notRunCase struct {
	rec     *record
	fleet   *fleet
	trouble bool

	mu      sync.Mutex
	runs    map[string]int
	calls   map[int]int
	extra   int
	broken  int
	refused map[string]string
}

func runNotRun(folder string, trouble bool) (bool, error) {
	rec, err := newRecord(folder)
	if err != nil {
		return false, err
	}
	f, err := startFleet(notRunRouters, 284, siteConfig())
	if err != nil {
		return false, err
	}
	c := &notRunCase{rec: rec, fleet: f, trouble: trouble, runs: make(map[string]int), calls: make(map[int]int), refused: make(map[string]string)}
	err = c.run()
	if stopErr := f.stop(); err == nil {
		err = stopErr
	}
	return c.broken == 0, err
}

func (c *notRunCase) run() error {
	const workers = 4
	for i := range workers {
		w, err := newWorker(c.fleet.store, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), pages, zones[i], pageSlots)
		if err != nil {
			return err
		}
		garbles := c.trouble && float64(i) < garbleShare*workers
		slots := make(chan struct{}, pageSlots)
		w.handle = func(conn *workerConn, r *request) bool { return c.handle(w, slots, garbles, conn, r) }
		if err := w.serve(); err != nil {
			return err
		}
	}
	time.Sleep(contact)
	until := time.Now().Add(notRunLength)
	var clients sync.WaitGroup
	for i := range 48 {
		clients.Go(func() { c.callUntil(until, c.fleet.routers[i%len(c.fleet.routers)]) })
	}
	clients.Wait()
	// What still runs at a worker ends.
	time.Sleep(time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	for attempt, what := range c.refused {
		if c.runs[attempt] > 0 {
			c.broken++
			c.rec.line("request %s was answered %s and has run", attempt, what)
		}
	}
	c.rec.verdict("answers by status (0: none): %v; additional bytes after %d answers of the workers", c.calls, c.extra)
	c.rec.verdict("requests answered 429 or 503 that have run: %d", c.broken)
	return nil
}

func (c *notRunCase) handle(w *worker, slots chan struct{}, garbles bool, conn *workerConn, r *request) bool {
	if conn.late != "" {
		// The bytes come late, at the point where the next answer is expected.
		_, err := conn.Write([]byte(conn.late))
		conn.late = ""
		c.rec.line("%s sends additional bytes after its answer before, as %s arrives", w.id, r.attempt)
		if err != nil {
			return false
		}
	}
	c.mu.Lock()
	c.runs[r.attempt]++
	c.mu.Unlock()
	c.rec.line("%s runs %s", w.id, r.attempt)
	slots <- struct{}{}
	w.running.Add(1)
	time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
	w.running.Add(-1)
	<-slots
	if garbles && rand.Float64() < garbleRate {
		conn.late = shedAnswer
		c.mu.Lock()
		c.extra++
		c.mu.Unlock()
	}
	_, err := conn.Write([]byte(w.answer(http.StatusOK, r.attempt, []byte("page of "+r.attempt))))
	return err == nil
}

func (c *notRunCase) callUntil(until time.Time, r *router) {
	caller := &client{router: r.callers}
	defer caller.close()
	for time.Now().Before(until) {
		attempt := newAttempt()
		c.rec.line("%s is sent to %s", attempt, r.name)
		got := caller.call(pagesPath+"2f", attempt, 1500*time.Millisecond, "", []byte("order"))
		c.rec.line("%s is answered: status %d, signature %q, error %v", attempt, got.status, got.signature, got.err)
		c.mu.Lock()
		c.calls[got.status]++
		if got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable {
			c.refused[attempt] = fmt.Sprintf("%d by %s", got.status, r.name)
		}
		c.mu.Unlock()
		time.Sleep(time.Duration(600+rand.IntN(600)) * time.Millisecond)
	}
}
