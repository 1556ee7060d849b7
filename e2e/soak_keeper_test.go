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

// soakLife is one process of a router.
type soakLife struct {
	process *process
	// spoilt is set once it was killed or frozen.
	spoilt bool
}

// names says whether the process logged a request.
func (l *soakLife) names(id string) bool {
	text := l.process.lines.text()
	return strings.Contains(text, " id="+id+" ") || strings.Contains(text, " id="+id+"\n")
}

// lost is a request that was sent whole on an open connection, which then ended
// without its answer.
type lost struct {
	id   string
	life *soakLife
}

// launch starts a router's process after the last one has ended.
func (s *soak) launch(r *edgeRouter) {
	s.setLife(r, nil)
	r.launch(s.t)
	s.setLife(r, &soakLife{process: r.process})
}

func (s *soak) setLife(r *edgeRouter, life *soakLife) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives[r] = life
}

// life returns the router's process, nil while it is between two.
func (s *soak) life(r *edgeRouter) *soakLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lives[r]
}

// spoil notes that a router's process may now end connections as it likes.
func (s *soak) spoil(r *edgeRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives[r].spoilt = true
}

// keep sends requests to one router on connections that it uses until they end.
func (s *soak) keep(ctx context.Context, r *edgeRouter, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 7))
	for ctx.Err() == nil {
		life := s.life(r)
		conn, err := net.Dial("tcp", r.callers)
		if err != nil {
			time.Sleep(soakPause)
			continue
		}
		if life != nil && life == s.life(r) {
			s.useUp(ctx, conn, r, life, draw)
		}
		_ = conn.Close()
	}
}

func (s *soak) useUp(ctx context.Context, conn net.Conn, r *edgeRouter, life *soakLife, draw *rand.Rand) {
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		kind, id := soakKinds[draw.IntN(2)], s.ledger.id()
		request, err := soakRequest(context.Background(), r, kind, id, soakTimeout)
		if err != nil || !s.ask(conn, reader, request, kind, lost{id, life}) {
			return
		}
		time.Sleep(time.Duration(draw.Int64N(int64(soakPause))))
	}
}

// ask sends one request and returns whether the connection stays open. Its own
// timeout ends it without a verdict.
func (s *soak) ask(conn net.Conn, reader *bufio.Reader, request *http.Request, kind string, asked lost) bool {
	changes, good := s.engineLinks()
	_ = conn.SetDeadline(time.Now().Add(soakTimeout))
	if request.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			s.ledger.unanswered(asked)
		}
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.ledger.saw(asked.id, kind, response.StatusCode, string(body), err == nil)
	if now, _ := s.engineLinks(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && good && now == changes {
		s.ledger.unanswered(asked)
	}
	return err == nil && !response.Close
}

// engineLinks returns how often the links to engines changed, and whether all
// are good: a failing one may break an answer off.
func (s *soak) engineLinks() (changes int, good bool) {
	good = true
	for _, link := range s.links {
		n, ok := link.history()
		changes += n
		good = good && ok
	}
	return changes, good
}

// unanswered notes a request without an answer.
func (l *soakLedger) unanswered(request lost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, request)
}

// isRouters says whether a request that got no answer is to be answered for by
// its router: it read the request, as its log or an upstream knows, and nothing
// but a planned stop happened to it. One that it has not read may be lost when
// its close crosses the request.
func (l *soakLedger) isRouters(request lost) bool {
	return !request.life.spoilt && (request.life.names(request.id) || l.runs[request.id] > 0)
}
