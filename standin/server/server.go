// Package server is a stand-in of an engine or application worker of the users'
// platform. It runs some requests at a time, queues as many more, rejects the
// rest, and keeps a ledger of what it ran.
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

// Options set up a Server.
type Options struct {
	ID state.Upstream
	// Slots is how many requests run at a time.
	Slots int
	// Work passes before an answer, or before the first event of a stream.
	Work time.Duration
	// Events is the length of a stream; zero answers with a page.
	Events int
	// Pace passes between two events.
	Pace time.Duration
}

// HeldPath begins the paths of streams that go on until their caller leaves.
const HeldPath = "/held/"

// heldLimit ends a held stream that nobody cuts off, so that a test of a router
// that forgets one ends.
const heldLimit = 20 * time.Second

// Run is one request that a server ran.
type Run struct {
	Attempt   string
	Workspace state.Workspace
	Began     time.Time
	// Whole is set if the answer was sent to its end, Ended once it is over.
	Whole, Ended bool
}

// Server is an http.Handler.
type Server struct {
	Options
	slots chan struct{}
	queue chan struct{}

	mu   sync.Mutex
	runs []*Run
	// leaked is set if a caller's key arrived.
	leaked bool
}

// New returns a server.
func New(options Options) *Server {
	return &Server{
		Options: options,
		slots:   make(chan struct{}, options.Slots),
		queue:   make(chan struct{}, 2*options.Slots),
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

// Leaked says whether a caller's key arrived.
func (s *Server) Leaked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaked
}

// Page is the answer to an attempt, and Event an event of its stream.
func Page(attempt string) string { return "page of " + attempt }

// Event is the text of an event of an attempt's stream, counted from 1.
func Event(attempt string, n int) string {
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
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
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
	run := s.begin(attempt)
	whole := s.answer(w, r, attempt.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Whole, run.Ended = whole, true
}

func (s *Server) begin(attempt platform.Attempt) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaked = s.leaked || attempt.Key != ""
	run := &Run{Attempt: attempt.ID, Workspace: attempt.Workspace, Began: time.Now()}
	s.runs = append(s.runs, run)
	return run
}

// answer says whether the whole answer was sent.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, attempt string) bool {
	if !s.pause(r, s.Work) {
		return false
	}
	platform.SetAnswerHeaders(w.Header(), attempt, "signed by "+string(s.ID))
	if s.Events == 0 {
		_, err := fmt.Fprint(w, Page(attempt))
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= s.Events; n++ {
		if _, err := fmt.Fprint(w, Event(attempt, n)); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		if strings.HasPrefix(r.URL.Path, HeldPath) && !s.pause(r, heldLimit) || !s.pause(r, s.Pace) {
			return false
		}
	}
	return true
}

// pause waits unless the connection is cut off.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
