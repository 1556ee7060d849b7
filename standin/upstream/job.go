package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// maxBodyBytes bounds what is read of one request.
const maxBodyBytes = 64 << 20

// ErrTruncated is returned by Work whose answer was cut off on purpose.
var ErrTruncated = errors.New("upstream: answer truncated on purpose")

// Refusal is the answer to a request that is not started.
type Refusal struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
}

// refusalAnswer is the body of a refusal, as engines write it.
type refusalAnswer struct {
	Error Refusal `json:"error"`
}

// Work runs one request in a slot and writes its answer. It returns the error
// of the job's Sleep or of a write, or ErrTruncated.
type Work func(w http.ResponseWriter, job *Job) error

// Plan reads a request and returns the work it asks for or a refusal.
type Plan func(job *Job) (Work, *Refusal)

// Job is one received request.
type Job struct {
	Header http.Header
	Body   []byte
	// Cut is set if the answer is to break off half way.
	Cut bool

	host  *Host
	run   run
	ctx   context.Context
	index int
	// answers is the entry whose answer is given; another one's if crossed.
	answers int
}

// Run takes a request through the host: ledger, faults, slot, work.
func (h *Host) Run(w http.ResponseWriter, r *http.Request, plan Plan) {
	h.Guard(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		job := &Job{Header: r.Header, Body: body, host: h, run: runOf(r.Context()), ctx: r.Context()}
		job.receive()
		job.serve(w, plan)
	})(w, r)
}

// runKey is the context key of the run that received a request.
type runKey struct{}

func runOf(ctx context.Context) run { return ctx.Value(runKey{}).(run) }

// Guard wraps a handler so that a host that is down drops the connection, and
// a crash ends the context of what it serves.
func (h *Host) Guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := h.currentRun()
		if current.down {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), runKey{}, current))
		defer cancel()
		defer context.AfterFunc(current.ctx, cancel)()
		next(w, r.WithContext(ctx))
	}
}

// receive enters the job into the ledger and gives it the faults it meets.
func (j *Job) receive() {
	h := j.host
	h.change(func() {
		j.index = h.ledger.add(Entry{
			Attempt:        j.Header.Get(HeaderAttempt),
			IdempotencyKey: j.Header.Get(HeaderIdempotencyKey),
			Digest:         Digest(j.Body),
			Boot:           h.bootName(),
			WhileDraining:  h.draining,
			Received:       h.opts.Now(),
			Outcome:        Waiting,
		})
		j.answers = j.index
		if take(&h.faults.Cross) {
			j.answers = j.index - 1
		}
		j.Cut = take(&h.faults.Truncate)
		h.waiting++
	})
}

// take uses up one of a fault's count.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (j *Job) serve(w http.ResponseWriter, plan Plan) {
	work, refusal := plan(j)
	if j.takeRefusal() {
		refusal = &Refusal{Status: http.StatusServiceUnavailable, Message: "overloaded"}
	}
	if refusal != nil {
		j.leaveQueue(Refused)
		WriteJSON(w, refusal.Status, refusalAnswer{Error: *refusal})
		return
	}
	if err := j.host.slots.Acquire(j.ctx, 1); err != nil {
		j.leaveQueue(j.outcome(err))
		panic(http.ErrAbortHandler)
	}
	j.start()
	w.Header().Set(HeaderAttempt, j.Answers().Attempt)
	err := work(w, j)
	j.end(err)
	if err != nil {
		// Breaking the connection is what tells the caller that the answer
		// is not whole; a plain return would end it cleanly.
		panic(http.ErrAbortHandler)
	}
}

func (j *Job) takeRefusal() bool {
	j.host.mu.Lock()
	defer j.host.mu.Unlock()
	return take(&j.host.faults.Refuse)
}

// leaveQueue ends a job that never started.
func (j *Job) leaveQueue(outcome Outcome) {
	j.host.change(func() { j.host.waiting-- })
	j.host.ledger.update(j.index, func(e *Entry) {
		e.Ended = j.host.opts.Now()
		e.Outcome = outcome
	})
}

// start marks the job as running; a marked body then takes the host down.
func (j *Job) start() {
	j.host.ledger.update(j.index, func(e *Entry) {
		e.Started = j.host.opts.Now()
		e.Outcome = Running
	})
	j.host.change(func() {
		j.host.waiting--
		j.host.running++
	})
	marker := j.host.Faults().CrashMarker
	if marker != "" && bytes.Contains(j.Body, []byte(marker)) {
		j.host.crashRun(j.run)
	}
}

// end frees the slot last, so that no load report shows more requests running
// than there are slots.
func (j *Job) end(err error) {
	j.host.change(func() { j.host.running-- })
	j.host.ledger.update(j.index, func(e *Entry) {
		e.Ended = j.host.opts.Now()
		e.Outcome = j.outcome(err)
	})
	j.host.slots.Release(1)
}

// outcome tells a crash from a caller that left: a crash cancels both.
func (j *Job) outcome(err error) Outcome {
	switch {
	case err == nil:
		return Finished
	case errors.Is(err, ErrTruncated):
		return Truncated
	case j.run.ctx.Err() != nil:
		return Crashed
	default:
		return Cancelled
	}
}

// Sleep spends working time; it ends early if the caller leaves or the host
// crashes.
func (j *Job) Sleep(d time.Duration) error { return j.host.Sleep(j.ctx, d) }

// Add counts units of work done.
func (j *Job) Add(units int) {
	j.host.ledger.update(j.index, func(e *Entry) { e.Units += units })
}

// Host returns the host that runs the job.
func (j *Job) Host() *Host { return j.host }

// Boot names the run of the host that received the job.
func (j *Job) Boot() string { return j.host.ledger.at(j.index).Boot }

// Answers returns the entry whose answer the caller is given: the job's own
// unless a fault crosses answers.
func (j *Job) Answers() Entry {
	if j.answers < 0 {
		return Entry{Attempt: "nobody.0.0", Digest: Digest(nil)}
	}
	return j.host.ledger.at(j.answers)
}

// WriteAnswer writes a whole JSON answer, or half of it if the job is cut.
func (j *Job) WriteAnswer(w http.ResponseWriter, answer any) error {
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	if err := j.ctx.Err(); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	if !j.Cut {
		_, err = w.Write(text)
		return err
	}
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	return ErrTruncated
}

// WriteJSON writes a JSON answer with a status.
func WriteJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
