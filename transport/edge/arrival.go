package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figstile/figstile/coordination/workload"
)

// arrivalKey is the context key of a connection's arrival.
type arrivalKey struct{}

// arrival is when a connection was accepted, until its first request is read.
type arrival struct {
	acceptedAt time.Time
	conn       net.Conn
	once       sync.Once
}

// readDelayTracker measures how long requests wait unread in this process. A router whose
// processor is used up accepts connections and turns to them seconds later; the
// time that callers give is counted from the reading, and would be too long.
type readDelayTracker struct {
	now func() time.Time
	// onFirstRead is called once the first request of a connection was read.
	onFirstRead func()

	mu  sync.Mutex
	lag workload.ReadLag
	// unreadConns are the connections without a first request.
	unreadConns map[net.Conn]struct{}
}

func newReadDelayTracker(now func() time.Time, onFirstRead func()) *readDelayTracker {
	return &readDelayTracker{now: now, onFirstRead: onFirstRead, unreadConns: make(map[net.Conn]struct{})}
}

// withArrival notes when a connection was accepted.
func (a *readDelayTracker) withArrival(ctx context.Context, conn net.Conn) context.Context {
	a.mu.Lock()
	a.unreadConns[conn] = struct{}{}
	a.mu.Unlock()
	return withConn(context.WithValue(ctx, arrivalKey{}, &arrival{acceptedAt: a.now(), conn: conn}), conn)
}

// connClosed notes that a connection has ended, and says whether nothing was read on
// it.
func (a *readDelayTracker) connClosed(conn net.Conn) (unread bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, unread = a.unreadConns[conn]
	delete(a.unreadConns, conn)
	return unread
}

// requestDelay returns how long a request is taken to have waited unread.
func (a *readDelayTracker) requestDelay(r *http.Request) time.Duration {
	accepted, ok := r.Context().Value(arrivalKey{}).(*arrival)
	if !ok {
		return 0
	}
	connDelay := time.Duration(0)
	accepted.once.Do(func() {
		a.connClosed(accepted.conn)
		connDelay = a.recordFirstRead(accepted.acceptedAt)
	})
	return min(connDelay, a.estimate())
}

// recordFirstRead takes the first request of a connection and returns how long it waited.
func (a *readDelayTracker) recordFirstRead(accepted time.Time) time.Duration {
	a.onFirstRead()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	waited := now.Sub(accepted)
	a.lag.Record(now, waited)
	return waited
}

// estimate returns how long requests wait unread at present.
func (a *readDelayTracker) estimate() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lag.Lag(a.now())
}

// backlogDelay is the estimate as far as it tells of what waits now. It is renewed by what
// is read alone: a router that turned callers away for it would go on for as long
// as it remembers, with nothing left to read.
func (a *readDelayTracker) backlogDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.unreadConns) == 0 {
		return 0
	}
	return a.lag.Lag(a.now())
}
