package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the
// start of the case.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	runs  map[string][]run
	// routers holds the router that each attempt was sent to.
	routers map[string]string
}

// run is one run of a request at a worker.
type run struct {
	at     time.Time
	worker string
	path   string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file), runs: make(map[string][]run), routers: make(map[string]string)}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), format, args...)
}

// write writes a line. The caller holds the lock.
func (r *record) write(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f ", at.Sub(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%7.2f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) sent(attempt string, to *router, method, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers[attempt] = to.name
	r.write(time.Now(), "sent %s to %s %s %s", attempt, to.name, method, path)
}

func (r *record) ran(attempt string, w *worker, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs[attempt] = append(r.runs[attempt], run{at: now, worker: w.id, path: path})
	r.write(now, "run %s at %s %s", attempt, w.id, path)
}

func (r *record) runsOf(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
