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

// arrival records when a connection was accepted, for its first request.
type arrival struct {
	acceptedAt time.Time
	conn       net.Conn
	once       sync.Once
}

// readDelayTracker measures how long requests wait in this process before they
// are read. A router without free CPU time accepts connections and reads from
// them seconds later. The caller's deadline is counted from the time of
// reading, so without this delay it would end too late.
type readDelayTracker struct {
	now func() time.Time
	// onFirstRead is called after the first request of a connection was read.
	onFirstRead func()

	mu  sync.Mutex
	lag workload.ReadLag
	// unreadConns holds the connections whose first request was not read yet.
	unreadConns map[net.Conn]struct{}
}

func newReadDelayTracker(now func() time.Time, onFirstRead func()) *readDelayTracker {
	return &readDelayTracker{now: now, onFirstRead: onFirstRead, unreadConns: make(map[net.Conn]struct{})}
}

// withArrival records the time at which a connection was accepted in the
// connection's context.
func (a *readDelayTracker) withArrival(ctx context.Context, conn net.Conn) context.Context {
	a.mu.Lock()
	a.unreadConns[conn] = struct{}{}
	a.mu.Unlock()
	return withConn(context.WithValue(ctx, arrivalKey{}, &arrival{acceptedAt: a.now(), conn: conn}), conn)
}

// connClosed removes a closed connection and reports whether nothing was read
// from it.
func (a *readDelayTracker) connClosed(conn net.Conn) (unread bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, unread = a.unreadConns[conn]
	delete(a.unreadConns, conn)
	return unread
}

// requestDelay returns how long a request probably waited before it was read:
// the delay of its connection, but at most the estimate over recent
// connections. It is 0 for all but the first request of a connection.
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

// recordFirstRead records that the first request of a connection was read and
// returns the time since the connection was accepted.
func (a *readDelayTracker) recordFirstRead(accepted time.Time) time.Duration {
	a.onFirstRead()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	waited := now.Sub(accepted)
	a.lag.Record(now, waited)
	return waited
}

// estimate returns the present delay between the acceptance of a connection and
// the reading of its first request.
func (a *readDelayTracker) estimate() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lag.Lag(a.now())
}

// backlogDelay returns the estimate while connections wait to be read, and 0
// otherwise. Only reads update the estimate: a router that sheds callers
// because of it has nothing left to read, and would go on shedding until the
// estimate expires.
func (a *readDelayTracker) backlogDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.unreadConns) == 0 {
		return 0
	}
	return a.lag.Lag(a.now())
}
