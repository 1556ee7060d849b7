package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	endlessRouters = 8
	endlessWorkers = 4
	endlessLength  = 80 * time.Second
	// endlessMemoryMb is MemoryMb of the site's machines.
	endlessMemoryMb = 284
	// spoilRate is how many bytes a second a spoiled answer sends: 480 of the
	// 1,000 Mbit/s of a machine's link.
	spoilRate = 60 << 20
	// spoilStep is the pause between two parts of a spoiled answer.
	spoilStep = 10 * time.Millisecond
	// notesTarget is TargetLatencyMs of the route, and abandonGap the gap after
	// which a client abandons such a stream: four times that.
	notesTarget = 800 * time.Millisecond
	abandonGap  = 4 * notesTarget
	// endlessDeadline is TimeoutMs of the streams and what clients wait for.
	endlessDeadline = 12 * time.Second
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// endlessCase checks that callers get answers while workers spoil some of theirs.
type endlessCase struct {
	rec     *record
	fleet   *fleet
	trouble bool

	mu sync.Mutex
	// passedOn holds the attempts that a worker runs without spoiling them.
	passedOn map[string]bool
	calls    map[int]int
	spoiled  int
	kills    int
	// lost counts the requests whose connection was closed without a byte of an
	// answer, and cut those whose stream broke off.
	lost, cut int
	peakMb    float64
}

func runEndless(folder string, trouble bool) (bool, error) {
	rec, err := newRecord(folder)
	if err != nil {
		return false, err
	}
	f, err := startFleet(endlessRouters, endlessMemoryMb, siteConfig())
	if err != nil {
		return false, err
	}
	c := &endlessCase{rec: rec, fleet: f, trouble: trouble, passedOn: make(map[string]bool), calls: make(map[int]int)}
	err = c.run()
	if stopErr := f.stop(); err == nil {
		err = stopErr
	}
	// The rule allows three.
	return c.lost <= 3, err
}

func (c *endlessCase) run() error {
	for i := range endlessWorkers {
		w, err := newWorker(c.fleet.store, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), engines, zones[i], engineSlots)
		if err != nil {
			return err
		}
		spoils := c.trouble && float64(i) < garbleShare*endlessWorkers
		w.handle = func(conn *workerConn, r *request) bool { return c.handle(w, spoils, conn, r) }
		if err := w.serve(); err != nil {
			return err
		}
	}
	for i := range endlessWorkers {
		w, err := newWorker(c.fleet.store, fmt.Sprintf("i-%08x", 0x2d9e6b4+i), pages, zones[i], pageSlots)
		if err != nil {
			return err
		}
		slots := make(chan struct{}, pageSlots)
		w.handle = func(conn *workerConn, r *request) bool { return c.handlePage(w, slots, conn, r) }
		if err := w.serve(); err != nil {
			return err
		}
	}
	time.Sleep(contact)
	stopped := make(chan struct{})
	var machines, clients sync.WaitGroup
	for _, r := range c.fleet.routers {
		machines.Go(func() { c.limitMemory(r, stopped) })
	}
	until := time.Now().Add(endlessLength)
	for i := range 64 {
		r := c.fleet.routers[i%len(c.fleet.routers)]
		clients.Go(func() { c.callUntil(until, r, notesPath, func(n int) string { return noteHeader(i, n) }) })
		clients.Go(func() { c.callUntil(until, r, pagesPath, func(int) string { return "" }) })
	}
	clients.Wait()
	close(stopped)
	machines.Wait()
	c.rec.verdict("answers by status (0: none): %v; spoiled by their worker: %d", c.calls, c.spoiled)
	c.rec.verdict("most memory of a process: %.0f MB of %d; processes killed for it: %d", c.peakMb, endlessMemoryMb, c.kills)
	c.rec.verdict("requests from kept connections that a worker ran without a fault, and whose connection was closed without an answer: %d; streams that broke off: %d", c.lost, c.cut)
	return nil
}

// limitMemory kills a process that exceeds its memory, and starts it again, as
// the platform does.
func (c *endlessCase) limitMemory(r *router, stopped <-chan struct{}) {
	for !isClosed(stopped) {
		time.Sleep(20 * time.Millisecond)
		process, done := r.process()
		mb := residentMb(process.Pid)
		c.mu.Lock()
		c.peakMb = max(c.peakMb, mb)
		c.mu.Unlock()
		if mb <= endlessMemoryMb {
			continue
		}
		c.rec.line("%s has %.0f MB and is killed", r.name, mb)
		if err := process.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
			c.rec.line("%s: %v", r.name, err)
			return
		}
		<-done
		c.mu.Lock()
		c.kills++
		c.mu.Unlock()
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			c.rec.line("%s: %v", r.name, err)
			return
		}
	}
}

// residentMb returns the resident memory of a process, 0 if it has ended.
func residentMb(pid int) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pageCount, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pageCount) * float64(os.Getpagesize()) / (1 << 20)
}

func (c *endlessCase) handle(w *worker, spoils bool, conn *workerConn, r *request) bool {
	w.running.Add(1)
	defer w.running.Add(-1)
	spoiled := spoils && rand.Float64() < garbleRate
	c.mu.Lock()
	if spoiled {
		c.spoiled++
	} else {
		c.passedOn[r.attempt] = true
	}
	c.mu.Unlock()
	c.rec.line("%s runs %s, spoiled: %v", w.id, r.attempt, spoiled)
	if _, err := conn.Write([]byte(streamHead(w.id, r.attempt))); err != nil {
		return false
	}
	for n := 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		if spoiled && n == streamEvents/2 {
			writeEndless(conn)
			return false
		}
		if writeChunk(conn, []byte(event(r.attempt, n))) != nil {
			return false
		}
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// writeEndless writes bytes that contain no end of an event, until the router
// closes the connection.
func writeEndless(conn *workerConn) {
	part := bytes.Repeat([]byte{0}, int(spoilRate*spoilStep.Seconds()))
	ticks := time.NewTicker(spoilStep)
	defer ticks.Stop()
	for range ticks.C {
		if writeChunk(conn, part) != nil {
			return
		}
	}
}

// noteHeader returns the headers of a client's n-th stream.
func noteHeader(client, n int) string {
	return fmt.Sprintf("%sModel-Id: m\r\nToken-Usage: 330,384\r\nPrompt-Prefix: %x:120,%x:210\r\nLength-Hint: 384\r\n", tenantHeader, 0x5c1e07a2+client%40, 0x10000+client*1000+n)
}

func (c *endlessCase) handlePage(w *worker, slots chan struct{}, conn *workerConn, r *request) bool {
	c.mu.Lock()
	c.passedOn[r.attempt] = true
	c.mu.Unlock()
	c.rec.line("%s runs %s", w.id, r.attempt)
	slots <- struct{}{}
	w.running.Add(1)
	time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
	w.running.Add(-1)
	<-slots
	_, err := conn.Write([]byte(w.answer(http.StatusOK, r.attempt, []byte("page of "+r.attempt))))
	return err == nil
}

// callUntil sends requests one after the other over a kept connection.
func (c *endlessCase) callUntil(until time.Time, r *router, path string, header func(n int) string) {
	caller := &client{router: r.callers, gap: abandonGap}
	defer caller.close()
	for n := 0; time.Now().Before(until); n++ {
		attempt := newAttempt()
		kept := caller.conn != nil
		c.rec.line("%s is sent to %s", attempt, r.name)
		got := caller.call(path+"2f", attempt, endlessDeadline, header(n), []byte("prompt"))
		c.rec.line("%s is answered: status %d, signature %q, %d bytes, error %v", attempt, got.status, got.signature, len(got.body), got.err)
		c.count(kept, attempt, r, got)
		if got.status != http.StatusOK {
			time.Sleep(restartDelay)
		}
		time.Sleep(time.Duration(200+rand.IntN(600)) * time.Millisecond)
	}
}

// count counts a reply. A client that left by itself lost nothing.
func (c *endlessCase) count(kept bool, attempt string, r *router, got reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[got.status]++
	if !kept || got.err == nil || errors.Is(got.err, os.ErrDeadlineExceeded) || !c.passedOn[attempt] {
		return
	}
	if got.status != 0 {
		c.cut++
		return
	}
	c.lost++
	c.rec.line("request %s has run: %s closed its connection without an answer", attempt, r.name)
}
