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
	// maxQueuedRecords bounds the records that wait to be written: some seconds of
	// a busy router.
	maxQueuedRecords = 1 << 14
	// writeBufferBytes makes a write call worth its cost.
	writeBufferBytes = 64 << 10
)

// Recorder writes records as JSON lines. Encoding and writing happen on a
// goroutine of its own, so that a decider waits for neither.
//
// A writer that cannot keep up loses records rather than stop the decider. Lost
// steps show as gaps in the sequence, at which a replay stops.
type Recorder struct {
	router      state.Router
	incarnation state.Incarnation
	sequence    atomic.Uint64
	dropped     atomic.Uint64

	mu     sync.RWMutex
	closed bool
	queue  chan Record
	done   chan struct{}
	// err is the first fault; read it after done.
	err error
}

// NewRecorder returns a recorder for one incarnation of a router. Both are
// empty for a recorder of callers or upstreams.
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

// Step records one step. Neither the event nor the actions may be changed
// afterwards. Steps of one decider are recorded from one goroutine.
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

// Record records anything else.
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

// Dropped returns how many records were lost.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Close writes what waits and returns the first error of encoding or writing.
// The writer stays open.
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

// countFailure counts a record that was not written; the gap tells a reader.
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
