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

	mu        sync.Mutex
	estimator workload.ReadDelayEstimator
	// unreadConns holds the connections whose first request was not read yet.
	unreadConns map[net.Conn]struct{}
}

func newReadDelayTracker(now func() time.Time, onFirstRead func()) *readDelayTracker {
	return &readDelayTracker{now: now, onFirstRead: onFirstRead, unreadConns: make(map[net.Conn]struct{})}
}

// withArrival returns a context for a connection that holds the connection and
// the time at which it was accepted.
func (t *readDelayTracker) withArrival(ctx context.Context, conn net.Conn) context.Context {
	t.mu.Lock()
	t.unreadConns[conn] = struct{}{}
	t.mu.Unlock()
	return withConn(context.WithValue(ctx, arrivalKey{}, &arrival{acceptedAt: t.now(), conn: conn}), conn)
}

// connClosed removes a closed connection and reports whether nothing was read
// from it.
func (t *readDelayTracker) connClosed(conn net.Conn) (unread bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, unread = t.unreadConns[conn]
	delete(t.unreadConns, conn)
	return unread
}

// requestDelay returns how long a request probably waited before it was read:
// the delay of its connection, but at most the estimate over recent
// connections. It is 0 for all but the first request of a connection.
func (t *readDelayTracker) requestDelay(r *http.Request) time.Duration {
	accepted, ok := r.Context().Value(arrivalKey{}).(*arrival)
	if !ok {
		return 0
	}
	connDelay := time.Duration(0)
	accepted.once.Do(func() {
		t.connClosed(accepted.conn)
		connDelay = t.recordFirstRead(accepted.acceptedAt)
	})
	return min(connDelay, t.estimate())
}

// recordFirstRead records that the first request of a connection was read and
// returns the time since the connection was accepted.
func (t *readDelayTracker) recordFirstRead(accepted time.Time) time.Duration {
	t.onFirstRead()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	waited := now.Sub(accepted)
	t.estimator.Record(now, waited)
	return waited
}

// estimate returns the present delay between the acceptance of a connection and
// the reading of its first request.
func (t *readDelayTracker) estimate() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimator.ReadDelay(t.now())
}

// backlogDelay returns the estimate while connections wait to be read, and 0
// otherwise. Only reads update the estimate: a router that sheds callers
// because of it has nothing left to read, and would go on shedding until the
// estimate expires.
func (t *readDelayTracker) backlogDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unreadConns) == 0 {
		return 0
	}
	return t.estimator.ReadDelay(t.now())
}
