package logging

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a line may wait for others: a batch costs one
	// system call instead of one for each line.
	flushInterval = 100 * time.Millisecond
	// maxPendingBytes bounds what waits for a slow reader of the output.
	maxPendingBytes = 256 << 10
	// maxRoutinePendingBytes bounds it for lines of success: refusals and failures still
	// find room when those have filled their part.
	maxRoutinePendingBytes = maxPendingBytes / 2
	// maxAtomicWriteBytes is the size in bytes up to which a write to a pipe is not mixed
	// with those of others (PIPE_BUF on Linux).
	maxAtomicWriteBytes = 4096
)

// AsyncWriter writes lines from a goroutine of its own. A line beyond the rate of
// its kind, or that finds the buffer full, is dropped and counted, so that
// neither a flood of requests nor a reader that stops holds up a request. A
// line of its own tells how many of which kind were dropped.
type AsyncWriter struct {
	out         io.Writer
	now         func() time.Time
	mu          sync.Mutex
	throttle    *throttle
	pending     []byte
	spareBuffer []byte
	wake        chan struct{}
	stop        chan struct{}
	done        chan struct{}
}

// NewAsyncWriter returns a writer before out; Close writes what is left.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := newAsyncWriter(out, time.Now)
	go a.run()
	return a
}

func newAsyncWriter(out io.Writer, now func() time.Time) *AsyncWriter {
	return &AsyncWriter{
		out: out, now: now, throttle: newThrottle(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Write takes one line. It never blocks on the output and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	wasEmpty := len(a.pending) == 0
	kind := a.throttle.kindFor(line)
	switch {
	case len(a.pending)+len(line) > kind.pendingLimit(), !kind.limiter.AllowN(a.now(), 1):
		kind.dropped++
	default:
		a.pending = append(a.pending, line...)
	}
	a.mu.Unlock()
	if wasEmpty {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (a *AsyncWriter) run() {
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
		case <-time.After(flushInterval):
		}
		a.flush()
	}
}

func (a *AsyncWriter) flush() {
	a.mu.Lock()
	lines := a.throttle.appendDropped(a.pending, a.now())
	a.pending = a.spareBuffer[:0]
	a.spareBuffer = nil
	a.mu.Unlock()
	a.writeBatches(lines)
	a.mu.Lock()
	a.spareBuffer = lines[:0]
	a.mu.Unlock()
}

// writeBatches writes whole lines, in pieces that a pipe takes at once; a longer line
// is written by itself.
func (a *AsyncWriter) writeBatches(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > maxAtomicWriteBytes {
			end = bytes.LastIndexByte(lines[:maxAtomicWriteBytes], '\n') + 1
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
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}
