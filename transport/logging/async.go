package logging

import (
	"fmt"
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
)

// Async writes lines from a goroutine of its own. A line that finds the buffer
// full is dropped and counted, so that a reader that stops never holds up a
// request.
type Async struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer before out; Close writes what is left.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write takes one line. It never blocks on the output and never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	first := len(a.pending) == 0
	if len(a.pending)+len(line) > maxPending {
		a.dropped++
	} else {
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
	lines := a.pending
	a.pending = a.spare[:0]
	a.spare = nil
	if a.dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn event=\"log lines dropped\" lines=%d\n", a.dropped)
		a.dropped = 0
	}
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
