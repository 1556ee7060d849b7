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

// Rejection is the answer to a request that is not started.
type Rejection struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
}

// rejectionAnswer is the body of a refusal, as engines write it.
type rejectionAnswer struct {
	Error Rejection `json:"error"`
}

// Work runs one request in a slot and writes its answer. It returns the error
// of the job's Sleep or of a write, or ErrTruncated.
type Work func(w http.ResponseWriter, job *Job) error

// Plan reads a request and returns the work it asks for or a refusal.
type Plan func(job *Job) (Work, *Rejection)

// Job is one received request.
type Job struct {
	Header http.Header
	Body   []byte
	// TruncateAnswer is set if the answer is to break off half way.
	TruncateAnswer bool

	host       *Host
	run        processRun
	ctx        context.Context
	entryIndex int
	// answerIndex is the entry whose answer is given; another one's if crossed.
	answerIndex int
}

// Run takes a request through the host: ledger, faults, slot, work.
func (h *Host) Run(w http.ResponseWriter, r *http.Request, plan Plan) {
	h.DropWhileDown(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		job := &Job{Header: r.Header, Body: body, host: h, run: runFromContext(r.Context()), ctx: r.Context()}
		job.recordReceived()
		job.serve(w, plan)
	})(w, r)
}

// runContextKey is the context key of the run that received a request.
type runContextKey struct{}

func runFromContext(ctx context.Context) processRun { return ctx.Value(runContextKey{}).(processRun) }

// DropWhileDown wraps a handler so that a host that is down drops the connection, and
// a crash ends the context of what it serves.
func (h *Host) DropWhileDown(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := h.currentRun()
		if current.down {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), runContextKey{}, current))
		defer cancel()
		defer context.AfterFunc(current.ctx, cancel)()
		next(w, r.WithContext(ctx))
	}
}

// recordReceived enters the job into the ledger and gives it the faults it meets.
func (j *Job) recordReceived() {
	h := j.host
	h.changeState(func() {
		j.entryIndex = h.ledger.add(Entry{
			Attempt:        j.Header.Get(HeaderAttempt),
			IdempotencyKey: j.Header.Get(HeaderIdempotencyKey),
			Digest:         Digest(j.Body),
			Boot:           h.bootName(),
			WhileDraining:  h.draining,
			Received:       h.opts.Now(),
			Outcome:        Waiting,
		})
		j.answerIndex = j.entryIndex
		if consumeFault(&h.faults.CrossAnswers) {
			j.answerIndex = j.entryIndex - 1
		}
		j.TruncateAnswer = consumeFault(&h.faults.TruncateAnswers)
		h.waiting++
	})
}

// consumeFault uses up one of a fault's count.
func consumeFault(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (j *Job) serve(w http.ResponseWriter, plan Plan) {
	work, rejection := plan(j)
	if j.consumeRejectFault() {
		rejection = &Rejection{Status: http.StatusServiceUnavailable, Message: "overloaded"}
	}
	if rejection != nil {
		j.leaveQueue(Rejected)
		WriteJSON(w, rejection.Status, rejectionAnswer{Error: *rejection})
		return
	}
	if err := j.host.slots.Acquire(j.ctx, 1); err != nil {
		j.leaveQueue(j.outcomeOf(err))
		panic(http.ErrAbortHandler)
	}
	j.start()
	w.Header().Set(HeaderAttempt, j.AnswerEntry().Attempt)
	err := work(w, j)
	j.end(err)
	if err != nil {
		// Breaking the connection is what tells the caller that the answer
		// is not whole; a plain return would end it cleanly.
		panic(http.ErrAbortHandler)
	}
}

func (j *Job) consumeRejectFault() bool {
	j.host.mu.Lock()
	defer j.host.mu.Unlock()
	return consumeFault(&j.host.faults.RejectRequests)
}

// leaveQueue ends a job that never started.
func (j *Job) leaveQueue(outcome Outcome) {
	j.host.changeState(func() { j.host.waiting-- })
	j.host.ledger.update(j.entryIndex, func(e *Entry) {
		e.Ended = j.host.opts.Now()
		e.Outcome = outcome
	})
}

// start marks the job as running; a marked body then takes the host down.
func (j *Job) start() {
	j.host.ledger.update(j.entryIndex, func(e *Entry) {
		e.Started = j.host.opts.Now()
		e.Outcome = Running
	})
	j.host.changeState(func() {
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
	j.host.changeState(func() { j.host.running-- })
	j.host.ledger.update(j.entryIndex, func(e *Entry) {
		e.Ended = j.host.opts.Now()
		e.Outcome = j.outcomeOf(err)
	})
	j.host.slots.Release(1)
}

// outcomeOf tells a crash from a caller that left: a crash cancels both.
func (j *Job) outcomeOf(err error) Outcome {
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

// AddUnits counts units of work done.
func (j *Job) AddUnits(units int) {
	j.host.ledger.update(j.entryIndex, func(e *Entry) { e.Units += units })
}

// Host returns the host that runs the job.
func (j *Job) Host() *Host { return j.host }

// Boot names the run of the host that received the job.
func (j *Job) Boot() string { return j.host.ledger.entry(j.entryIndex).Boot }

// AnswerEntry returns the entry whose answer the caller is given: the job's own
// unless a fault crosses answers.
func (j *Job) AnswerEntry() Entry {
	if j.answerIndex < 0 {
		return Entry{Attempt: "nobody.0.0", Digest: Digest(nil)}
	}
	return j.host.ledger.entry(j.answerIndex)
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
	if !j.TruncateAnswer {
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
