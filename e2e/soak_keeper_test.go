package e2e

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// soakInstance is one run of a router's process.
type soakInstance struct {
	process *process
	// disrupted is set once the process has been killed or frozen.
	disrupted bool
}

// logged reports whether the process logged a request.
func (i *soakInstance) logged(id string) bool {
	text := i.process.lines.text()
	return strings.Contains(text, " id="+id+" ") || strings.Contains(text, " id="+id+"\n")
}

// unansweredRequest is a request that was sent completely on an open
// connection, which then ended without an answer.
type unansweredRequest struct {
	id       string
	instance *soakInstance
}

// launch starts a router's process after the previous one has ended.
func (s *soak) launch(r *edgeRouter) {
	s.setInstance(r, nil)
	r.launch(s.t)
	s.setInstance(r, &soakInstance{process: r.process})
}

func (s *soak) setInstance(r *edgeRouter, instance *soakInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[r] = instance
}

// instance returns the current run of the router's process, or nil while no
// process runs.
func (s *soak) instance(r *edgeRouter) *soakInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[r]
}

// markDisrupted records that the router's process may end connections without
// answers from now on.
func (s *soak) markDisrupted(r *edgeRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[r].disrupted = true
}

// sendOnKeptConnections sends requests to one router and uses each connection
// until it ends.
func (s *soak) sendOnKeptConnections(ctx context.Context, r *edgeRouter, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for ctx.Err() == nil {
		instance := s.instance(r)
		conn, err := net.Dial("tcp", r.callerAddress)
		if err != nil {
			time.Sleep(soakPause)
			continue
		}
		if instance != nil && instance == s.instance(r) {
			s.useConnection(ctx, conn, r, instance, rng)
		}
		_ = conn.Close()
	}
}

func (s *soak) useConnection(ctx context.Context, conn net.Conn, r *edgeRouter, instance *soakInstance, rng *rand.Rand) {
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		kind, id := soakKinds[rng.IntN(2)], s.ledger.id()
		request, err := soakRequest(context.Background(), r, kind, id, soakTimeout)
		if err != nil || !s.exchange(conn, reader, request, kind, unansweredRequest{id, instance}) {
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(soakPause))))
	}
}

// exchange sends one request and reports whether the connection stays open. A
// request that ends by its own timeout is not recorded as unanswered.
func (s *soak) exchange(conn net.Conn, reader *bufio.Reader, request *http.Request, kind string, sent unansweredRequest) bool {
	changesBefore, good := s.engineLinkState()
	_ = conn.SetDeadline(time.Now().Add(soakTimeout))
	if request.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			s.ledger.recordUnanswered(sent)
		}
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.ledger.recordAnswer(sent.id, kind, response.StatusCode, string(body), err == nil)
	if changesAfter, _ := s.engineLinkState(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && good && changesAfter == changesBefore {
		s.ledger.recordUnanswered(sent)
	}
	return err == nil && !response.Close
}

// engineLinkState returns the number of changes of the links to engines and
// whether all of them are good, because a failing link may break an answer off.
func (s *soak) engineLinkState() (changes int, good bool) {
	good = true
	for _, link := range s.engineLinks {
		n, ok := link.history()
		changes += n
		good = good && ok
	}
	return changes, good
}

// recordUnanswered records a request without an answer.
func (l *soakLedger) recordUnanswered(request unansweredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(l.unanswered, request)
}

// isRouterFault reports whether the router is responsible for a request without
// an answer. It is if it read the request, as its log or an engine's record
// shows, and its process was neither killed nor frozen. A request that the
// router did not read may be lost if the router closes the connection while the
// request is on its way.
func (l *soakLedger) isRouterFault(request unansweredRequest) bool {
	return !request.instance.disrupted && (request.instance.logged(request.id) || l.runs[request.id] > 0)
}
