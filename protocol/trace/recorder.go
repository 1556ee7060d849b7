package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	// maxQueuedRecords bounds the number of records that wait to be written. It
	// is some seconds of records of a router under load.
	maxQueuedRecords = 1 << 14
	// writeBufferBytes is large enough for many records, so that there are few
	// write calls.
	writeBufferBytes = 64 << 10
)

// Recorder writes records as JSON lines. It encodes and writes on its own
// goroutine, so that the scheduler does not wait.
//
// If the writer cannot keep up, the recorder drops records and does not block
// the scheduler. Dropped steps appear as gaps in the sequence, at which a
// replay stops.
type Recorder struct {
	router      state.Router
	incarnation state.Incarnation
	sequence    atomic.Uint64
	dropped     atomic.Uint64

	mu     sync.RWMutex
	closed bool
	queue  chan Record
	done   chan struct{}
	// err is the first error. It may be read only after done is closed.
	err error
}

// NewRecorder returns a recorder for one incarnation of a router. The router
// and incarnation are zero for a recorder of callers or upstreams.
func NewRecorder(w io.Writer, router state.Router, incarnation state.Incarnation) *Recorder {
	r := &Recorder{
		router:      router,
		incarnation: incarnation,
		queue:       make(chan Record, maxQueuedRecords),
		done:        make(chan struct{}),
	}
	go r.writeRecords(bufio.NewWriterSize(w, writeBufferBytes))
	return r
}

// Step records one step. The event and the actions must not be modified
// afterwards. All steps of one scheduler must be recorded from the same
// goroutine.
func (r *Recorder) Step(now time.Time, event scheduler.Event, actions []scheduler.Action) {
	r.Record(StepRecord{
		Router:      r.router,
		Incarnation: r.incarnation,
		Sequence:    r.sequence.Add(1),
		Time:        now,
		Event:       Event{event},
		Actions:     wrapActions(actions),
	})
}

// Record queues a record for writing, or drops it if the queue is full or the
// recorder is closed.
func (r *Recorder) Record(record Record) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		r.dropped.Add(1)
		return
	}
	select {
	case r.queue <- record:
	default:
		r.dropped.Add(1)
	}
}

// Dropped returns the number of records that were lost.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Close writes the queued records and returns the first error of encoding or
// writing. It does not close the underlying writer.
func (r *Recorder) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.queue)
	}
	r.mu.Unlock()
	<-r.done
	return r.err
}

func (r *Recorder) writeRecords(out *bufio.Writer) {
	defer close(r.done)
	for record := range r.queue {
		r.countFailure(writeLine(out, record))
		if len(r.queue) == 0 {
			r.countFailure(out.Flush())
		}
	}
	r.countFailure(out.Flush())
}

// countFailure counts a record that was not written as dropped and keeps the
// first error. A reader sees the loss as a gap.
func (r *Recorder) countFailure(err error) {
	if err == nil {
		return
	}
	r.dropped.Add(1)
	if r.err == nil {
		r.err = err
	}
}

func writeLine(out *bufio.Writer, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	text, err := json.Marshal(line{Kind: record.kind(), Record: value})
	if err != nil {
		return err
	}
	if _, err := out.Write(text); err != nil {
		return err
	}
	return out.WriteByte('\n')
}
