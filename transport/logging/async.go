package logging

import (
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
	// There is nobody to tell if the output is gone.
	_, _ = a.out.Write(lines)
	a.mu.Lock()
	a.spare = lines[:0]
	a.mu.Unlock()
}

// Close writes what is left and stops.
func (a *Async) Close() {
	close(a.stop)
	<-a.done
}
