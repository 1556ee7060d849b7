// Package server is a stand-in for an engine or application worker of the
// users' platform. It runs a limited number of requests at a time, queues as
// many more, rejects the rest and keeps a ledger of the requests that it ran.
package server

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/state"
)

// Options configures a Server.
type Options struct {
	ID state.Upstream
	// Slots is the maximum number of requests that run at a time.
	Slots int
	// AnswerDelay is the delay before an answer, or before the first event of a
	// stream.
	AnswerDelay time.Duration
	// EventCount is the number of events of a stream. If it is zero, the server
	// sends a plain answer instead of a stream.
	EventCount int
	// EventInterval is the delay between two events.
	EventInterval time.Duration
}

// HeldStreamPath is the prefix of the paths whose streams stay open until their
// caller leaves, but at most for heldEventWait after each event.
const HeldStreamPath = "/held/"

// heldEventWait is how long a held stream waits after each event before it
// continues. It lets the stream, and so the test, end even if a router fails to
// close the connection to the upstream.
const heldEventWait = 20 * time.Second

// Run records one request that a server ran.
type Run struct {
	Attempt   string
	Workspace state.Workspace
	StartedAt time.Time
	// Complete is set if the answer was sent to its end. Ended is set when the
	// request is over.
	Complete, Ended bool
}

// Server runs requests as an http.Handler and records them.
type Server struct {
	Options
	slots    chan struct{}
	admitted chan struct{}

	mu   sync.Mutex
	runs []*Run
	// receivedCallerKey is set if a request contained a caller's key.
	receivedCallerKey bool
}

// New returns a server.
func New(options Options) *Server {
	return &Server{
		Options:  options,
		slots:    make(chan struct{}, options.Slots),
		admitted: make(chan struct{}, 2*options.Slots),
	}
}

// Runs returns a copy of the ledger.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []Run
	for _, run := range s.runs {
		runs = append(runs, *run)
	}
	return runs
}

// ReceivedCallerKey reports whether any request contained a caller's key, which
// routers must not pass on.
func (s *Server) ReceivedCallerKey() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receivedCallerKey
}

// AnswerBody returns the body of the plain answer to an attempt.
func AnswerBody(attempt string) string { return "page of " + attempt }

// EventText returns the text of an event of an attempt's stream. Events are
// counted from 1.
func EventText(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

// ServeHTTP runs or rejects a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := platform.ReadAttempt(r.Header)
	if attempt.Upstream != s.ID {
		platform.SetNotRunHeaders(w.Header(), attempt.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.admitted <- struct{}{}:
		defer func() { <-s.admitted }()
	default:
		platform.SetNotRunHeaders(w.Header(), attempt.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	run := s.recordStart(attempt)
	complete := s.writeAnswer(w, r, attempt.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Complete, run.Ended = complete, true
}

func (s *Server) recordStart(attempt platform.Attempt) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedCallerKey = s.receivedCallerKey || attempt.Key != ""
	run := &Run{Attempt: attempt.ID, Workspace: attempt.Workspace, StartedAt: time.Now()}
	s.runs = append(s.runs, run)
	return run
}

// writeAnswer reports whether the complete answer was sent.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, attempt string) bool {
	if !s.wait(r, s.AnswerDelay) {
		return false
	}
	platform.SetAnswerHeaders(w.Header(), attempt, "signed by "+string(s.ID))
	if s.EventCount == 0 {
		_, err := fmt.Fprint(w, AnswerBody(attempt))
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= s.EventCount; n++ {
		if _, err := fmt.Fprint(w, EventText(attempt, n)); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		if strings.HasPrefix(r.URL.Path, HeldStreamPath) && !s.wait(r, heldEventWait) || !s.wait(r, s.EventInterval) {
			return false
		}
	}
	return true
}

// wait waits for a duration and reports whether the connection stayed open.
func (s *Server) wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
