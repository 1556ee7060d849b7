package logging

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is the longest time that a line waits for further lines: a
	// batch costs one system call, instead of one for each line.
	flushInterval = 100 * time.Millisecond
	// maxPendingBytes limits the bytes of lines that wait for a slow reader of
	// the output.
	maxPendingBytes = 256 << 10
	// maxRoutinePendingBytes is the limit for lines that report successes. When
	// they have reached it, lines that report refusals and failures are still
	// accepted.
	maxRoutinePendingBytes = maxPendingBytes / 2
	// maxAtomicWriteBytes is the largest size in bytes of a write to a pipe
	// that is not mixed with the writes of others (PIPE_BUF on Linux).
	maxAtomicWriteBytes = 4096
)

// AsyncWriter writes lines from its own goroutine. It drops a line if its kind
// has exceeded its rate or if the buffer is full, so that neither a flood of
// requests nor a reader that has stopped delays a request. It counts the
// dropped lines, and writes a line with the number of dropped lines of each
// kind.
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

// NewAsyncWriter returns a writer that forwards lines to out. Close writes the
// remaining lines.
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

// Write accepts one line. It never blocks on the output and never fails.
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

// writeBatches writes whole lines, in batches that a pipe accepts in one atomic
// write. A line longer than that is written separately.
func (a *AsyncWriter) writeBatches(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > maxAtomicWriteBytes {
			end = bytes.LastIndexByte(lines[:maxAtomicWriteBytes], '\n') + 1
			if end == 0 {
				end = bytes.IndexByte(lines, '\n') + 1
			}
		}
		// An error of the output is ignored: there is no other place to report
		// it.
		_, _ = a.out.Write(lines[:end])
		lines = lines[end:]
	}
}

// Close writes the remaining lines and stops the goroutine.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}
