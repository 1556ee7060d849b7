package logging

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// flushEvery is how long a line may wait for others: a batch costs one
	// system call instead of one for each line.
	flushEvery = 100 * time.Millisecond
	// maxPending bounds what waits for a slow reader of the output.
	maxPending = 256 << 10
	// usualPending bounds it for lines of success: refusals and failures still
	// find room when those have filled their part.
	usualPending = maxPending / 2
	// atomicWrite is the size in bytes up to which a write to a pipe is not mixed
	// with those of others (PIPE_BUF on Linux).
	atomicWrite = 4096
)

// Async writes lines from a goroutine of its own. A line beyond the rate of
// its kind, or that finds the buffer full, is dropped and counted, so that
// neither a flood of requests nor a reader that stops holds up a request. A
// line of its own tells how many of which kind were dropped.
type Async struct {
	out      io.Writer
	now      func() time.Time
	mu       sync.Mutex
	throttle *throttle
	pending  []byte
	spare    []byte
	wake     chan struct{}
	stop     chan struct{}
	done     chan struct{}
}

// NewAsync returns a writer before out; Close writes what is left.
func NewAsync(out io.Writer) *Async {
	a := newAsync(out, time.Now)
	go a.run()
	return a
}

func newAsync(out io.Writer, now func() time.Time) *Async {
	return &Async{
		out: out, now: now, throttle: newThrottle(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Write takes one line. It never blocks on the output and never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	first := len(a.pending) == 0
	kind := a.throttle.kind(line)
	switch {
	case len(a.pending)+len(line) > kind.room(), !kind.rate.AllowN(a.now(), 1):
		kind.dropped++
	default:
		a.pending = append(a.pending, line...)
	}
	a.mu.Unlock()
	if first {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case <-a.stop:
			a.flush()
			return
		case <-a.wake:
		}
		select {
		case <-a.stop:
		case <-time.After(flushEvery):
		}
		a.flush()
	}
}

func (a *Async) flush() {
	a.mu.Lock()
	lines := a.throttle.appendDropped(a.pending, a.now())
	a.pending = a.spare[:0]
	a.spare = nil
	a.mu.Unlock()
	a.output(lines)
	a.mu.Lock()
	a.spare = lines[:0]
	a.mu.Unlock()
}

// output writes whole lines, in pieces that a pipe takes at once; a longer line
// is written by itself.
func (a *Async) output(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > atomicWrite {
			end = bytes.LastIndexByte(lines[:atomicWrite], '\n') + 1
			if end == 0 {
				end = bytes.IndexByte(lines, '\n') + 1
			}
		}
		// There is nobody to tell if the output is gone.
		_, _ = a.out.Write(lines[:end])
		lines = lines[end:]
	}
}

// Close writes what is left and stops.
func (a *Async) Close() {
	close(a.stop)
	<-a.done
}
