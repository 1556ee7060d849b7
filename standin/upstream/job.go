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

// maxBodyBytes is the maximum size of a request's body, in bytes.
const maxBodyBytes = 64 << 20

// ErrTruncated is the error that Work returns if it cut its answer off because
// of Faults.TruncateAnswers.
var ErrTruncated = errors.New("upstream: answer truncated on purpose")

// Rejection is the answer to a request that was not started.
type Rejection struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
}

// rejectionAnswer is the JSON body of a rejection, in the format that engines
// use.
type rejectionAnswer struct {
	Error Rejection `json:"error"`
}

// Work runs one request in a slot and writes its answer. It returns the error
// of the job's Sleep or of a write, or ErrTruncated.
type Work func(w http.ResponseWriter, job *Job) error

// Plan reads a request and returns the work to do, or a rejection.
type Plan func(job *Job) (Work, *Rejection)

// Job is one received request.
type Job struct {
	Header http.Header
	Body   []byte
	// TruncateAnswer is set if the answer is to be cut off halfway.
	TruncateAnswer bool

	host       *Host
	run        processRun
	ctx        context.Context
	entryIndex int
	// place is the job's place in the queue for slots. It is taken together
	// with the ledger entry, so that both have the order of arrival.
	place *slotPlace
	// answerIndex is the index of the ledger entry whose answer the caller
	// receives. It differs from entryIndex if answers are crossed.
	answerIndex int
}

// Run processes a request: it records it in the ledger, applies the faults,
// waits for a slot and does the work.
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

// runContextKey is the key under which a request's context holds the run that
// received it.
type runContextKey struct{}

func runFromContext(ctx context.Context) processRun { return ctx.Value(runContextKey{}).(processRun) }

// DropWhileDown wraps a handler. While the host is down, it closes the
// connection without an answer. A crash cancels the context of the requests
// that the handler is serving.
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

// recordReceived adds the job to the ledger and determines which faults apply
// to it.
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
		j.place = h.slots.join()
	})
}

// consumeFault decrements the count of a fault and reports whether it was above
// zero.
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
	if err := j.place.wait(j.ctx); err != nil {
		j.leaveQueue(j.outcomeOf(err))
		panic(http.ErrAbortHandler)
	}
	j.start()
	w.Header().Set(HeaderAttempt, j.AnswerEntry().Attempt)
	err := work(w, j)
	j.end(err)
	if err != nil {
		// Closing the connection shows the caller that the answer is
		// incomplete. Returning would end the answer normally.
		panic(http.ErrAbortHandler)
	}
}

func (j *Job) consumeRejectFault() bool {
	j.host.mu.Lock()
	defer j.host.mu.Unlock()
	return consumeFault(&j.host.faults.RejectRequests)
}

// leaveQueue records the end of a job that never started.
func (j *Job) leaveQueue(outcome Outcome) {
	j.host.slots.leave(j.place)
	j.host.changeState(func() { j.host.waiting-- })
	j.host.ledger.update(j.entryIndex, func(e *Entry) {
		e.Ended = j.host.opts.Now()
		e.Outcome = outcome
	})
}

// start records that the job runs. If the body contains the crash marker, it
// then crashes the host.
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

// end records the end of the job and frees the slot last, so that no load
// report shows more running requests than slots.
func (j *Job) end(err error) {
	j.host.changeState(func() { j.host.running-- })
	j.host.ledger.update(j.entryIndex, func(e *Entry) {
		e.Ended = j.host.opts.Now()
		e.Outcome = j.outcomeOf(err)
	})
	j.host.slots.leave(j.place)
}

// outcomeOf returns the outcome of the job's work. It checks for a crash before
// it assumes that the caller left, as both cancel the job's context.
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

// Sleep simulates working time. It ends early if the caller leaves or the host
// crashes.
func (j *Job) Sleep(d time.Duration) error { return j.host.Sleep(j.ctx, d) }

// AddUnits adds to the units of work that the ledger records for the job.
func (j *Job) AddUnits(units int) {
	j.host.ledger.update(j.entryIndex, func(e *Entry) { e.Units += units })
}

// Host returns the host that runs the job.
func (j *Job) Host() *Host { return j.host }

// Boot returns the Boot of the run that received the job.
func (j *Job) Boot() string { return j.host.ledger.entry(j.entryIndex).Boot }

// AnswerEntry returns the ledger entry whose answer the caller receives: the
// job's own, unless a fault crosses answers.
func (j *Job) AnswerEntry() Entry {
	if j.answerIndex < 0 {
		return Entry{Attempt: "nobody.0.0", Digest: Digest(nil)}
	}
	return j.host.ledger.entry(j.answerIndex)
}

// WriteAnswer writes a JSON answer, or its first half if TruncateAnswer is set.
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

// WriteJSON writes a JSON answer with the given status.
func WriteJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
