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

// soakInstance is one process of a router.
type soakInstance struct {
	process *process
	// disrupted is set once it was killed or frozen.
	disrupted bool
}

// logged says whether the process logged a request.
func (l *soakInstance) logged(id string) bool {
	text := l.process.lines.text()
	return strings.Contains(text, " id="+id+" ") || strings.Contains(text, " id="+id+"\n")
}

// unansweredRequest is a request that was sent whole on an open connection, which then ended
// without its answer.
type unansweredRequest struct {
	id       string
	instance *soakInstance
}

// launch starts a router's process after the last one has ended.
func (s *soak) launch(r *edgeRouter) {
	s.setInstance(r, nil)
	r.launch(s.t)
	s.setInstance(r, &soakInstance{process: r.process})
}

func (s *soak) setInstance(r *edgeRouter, life *soakInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[r] = life
}

// instance returns the router's process, nil while it is between two.
func (s *soak) instance(r *edgeRouter) *soakInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[r]
}

// markDisrupted notes that a router's process may now end connections as it likes.
func (s *soak) markDisrupted(r *edgeRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[r].disrupted = true
}

// sendOnKeptConnections sends requests to one router on connections that it uses until they end.
func (s *soak) sendOnKeptConnections(ctx context.Context, r *edgeRouter, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for ctx.Err() == nil {
		life := s.instance(r)
		conn, err := net.Dial("tcp", r.callerAddress)
		if err != nil {
			time.Sleep(soakPause)
			continue
		}
		if life != nil && life == s.instance(r) {
			s.useConnection(ctx, conn, r, life, rng)
		}
		_ = conn.Close()
	}
}

func (s *soak) useConnection(ctx context.Context, conn net.Conn, r *edgeRouter, life *soakInstance, rng *rand.Rand) {
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		kind, id := soakKinds[rng.IntN(2)], s.ledger.id()
		request, err := soakRequest(context.Background(), r, kind, id, soakTimeout)
		if err != nil || !s.exchange(conn, reader, request, kind, unansweredRequest{id, life}) {
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(soakPause))))
	}
}

// exchange sends one request and returns whether the connection stays open. Its own
// timeout ends it without a verdict.
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

// engineLinkState returns how often the links to engines changed, and whether all
// are good: a failing one may break an answer off.
func (s *soak) engineLinkState() (changes int, good bool) {
	good = true
	for _, link := range s.engineLinks {
		n, ok := link.history()
		changes += n
		good = good && ok
	}
	return changes, good
}

// recordUnanswered notes a request without an answer.
func (l *soakLedger) recordUnanswered(request unansweredRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(l.unanswered, request)
}

// isRouterFault says whether a request that got no answer is to be answered for by
// its router: it read the request, as its log or an upstream knows, and nothing
// but a planned stop happened to it. One that it has not read may be lost when
// its close crosses the request.
func (l *soakLedger) isRouterFault(request unansweredRequest) bool {
	return !request.instance.disrupted && (request.instance.logged(request.id) || l.runs[request.id] > 0)
}
