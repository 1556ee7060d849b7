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
	at   time.Time
	conn net.Conn
	once sync.Once
}

// arrivals measures how long requests wait unread in this process. A router whose
// processor is used up accepts connections and turns to them seconds later; the
// time that callers give is counted from the reading, and would be too long.
type arrivals struct {
	now func() time.Time
	// onRead is called once the first request of a connection was read.
	onRead func()

	mu  sync.Mutex
	lag workload.ReadLag
	// unread are the connections without a first request.
	unread map[net.Conn]struct{}
}

func newArrivals(now func() time.Time, onRead func()) *arrivals {
	return &arrivals{now: now, onRead: onRead, unread: make(map[net.Conn]struct{})}
}

// withArrival notes when a connection was accepted.
func (a *arrivals) withArrival(ctx context.Context, conn net.Conn) context.Context {
	a.mu.Lock()
	a.unread[conn] = struct{}{}
	a.mu.Unlock()
	return withConn(context.WithValue(ctx, arrivalKey{}, &arrival{at: a.now(), conn: conn}), conn)
}

// closed notes that a connection has ended, and says whether nothing was read on
// it.
func (a *arrivals) closed(conn net.Conn) (unread bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, unread = a.unread[conn]
	delete(a.unread, conn)
	return unread
}

// waited returns how long a request is taken to have waited unread.
func (a *arrivals) waited(r *http.Request) time.Duration {
	from, ok := r.Context().Value(arrivalKey{}).(*arrival)
	if !ok {
		return 0
	}
	own := time.Duration(0)
	from.once.Do(func() {
		a.closed(from.conn)
		own = a.read(from.at)
	})
	return min(own, a.estimate())
}

// read takes the first request of a connection and returns how long it waited.
func (a *arrivals) read(accepted time.Time) time.Duration {
	a.onRead()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	waited := now.Sub(accepted)
	a.lag.Record(now, waited)
	return waited
}

// estimate returns how long requests wait unread at present.
func (a *arrivals) estimate() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lag.Lag(a.now())
}

// late is the estimate as far as it tells of what waits now. It is renewed by what
// is read alone: a router that turned callers away for it would go on for as long
// as it remembers, with nothing left to read.
func (a *arrivals) late() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.unread) == 0 {
		return 0
	}
	return a.lag.Lag(a.now())
}
