// Package worker is a stand-in for an application worker: a request/response
// service with a limited number of threads.
package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
)

// HeaderBusy is the request header that sets the busy time in milliseconds. It
// overrides the body's field busy_ms.
const HeaderBusy = "Figstile-Busy-Ms"

// Options configures a Worker. Slots is its number of threads.
type Options struct {
	upstream.Options
	// MinBusy and MaxBusy limit the busy time of a request. MaxBusy is
	// DefaultMaxBusy if zero.
	MinBusy time.Duration
	MaxBusy time.Duration
}

// DefaultMaxBusy keeps a wrong request from occupying a thread forever.
const DefaultMaxBusy = time.Minute

// Worker answers requests on any path except the control paths of the upstream.
type Worker struct {
	*upstream.Host
	opts Options
	mux  *http.ServeMux
}

// request holds the part of a body that the worker reads.
type request struct {
	BusyMs int64 `json:"busy_ms"`
}

// Answer is the body of the worker's answer. Attempt and Digest identify the
// request that it belongs to.
type Answer struct {
	Upstream state.Upstream `json:"upstream"`
	Boot     string         `json:"boot"`
	Attempt  string         `json:"attempt"`
	Digest   string         `json:"digest"`
	BusyMs   int64          `json:"busy_ms"`
}

// New returns a worker.
func New(opts Options) *Worker {
	if opts.MaxBusy <= 0 {
		opts.MaxBusy = DefaultMaxBusy
	}
	w := &Worker{Host: upstream.NewHost(opts.Options), opts: opts, mux: http.NewServeMux()}
	w.Mount(w.mux)
	w.mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) { w.Run(rw, r, w.plan) })
	return w
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler { return w.mux }

// Start serves the worker on a TCP address until stop is called.
func (w *Worker) Start(addr string) (baseURL string, stop func(), err error) {
	return w.Host.Start(addr, w.mux)
}

func (w *Worker) plan(job *upstream.Job) (upstream.Work, *upstream.Rejection) {
	busy := w.busyTime(job)
	return func(rw http.ResponseWriter, job *upstream.Job) error {
		if err := job.Sleep(busy); err != nil {
			return err
		}
		job.AddUnits(int(busy.Milliseconds()))
		entry := job.AnswerEntry()
		return job.WriteAnswer(rw, Answer{
			Upstream: w.opts.Name,
			Boot:     job.Boot(),
			Attempt:  entry.Attempt,
			Digest:   entry.Digest,
			BusyMs:   busy.Milliseconds(),
		})
	}, nil
}

// busyTime returns the busy time that a request asks for, within the limits. A
// body need not be JSON.
func (w *Worker) busyTime(job *upstream.Job) time.Duration {
	var req request
	if json.Unmarshal(job.Body, &req) != nil {
		req = request{}
	}
	if ms, err := strconv.ParseInt(job.Header.Get(HeaderBusy), 10, 64); err == nil {
		req.BusyMs = ms
	}
	busy := time.Duration(req.BusyMs) * time.Millisecond
	return min(max(busy, w.opts.MinBusy), w.opts.MaxBusy)
}

// Read reads a worker's complete answer and closes it. For a rejection it
// returns a StatusError.
func Read(response *http.Response) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Answer{}, StatusError(response.StatusCode)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, err
	}
	var answer Answer
	err = json.Unmarshal(text, &answer)
	return answer, err
}

// StatusError is the HTTP status of a rejection.
type StatusError int

// Error returns the text of the status.
func (e StatusError) Error() string { return "worker: " + http.StatusText(int(e)) }
