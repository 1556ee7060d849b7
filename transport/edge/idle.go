package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultIdle is how long a caller's unused connection is kept while the
// configuration does not say.
const defaultIdle = 15 * time.Second

// idleConns closes callers' connections that were unused for too long. The
// limit is part of the configuration and may change, while net/http takes one
// for the life of a server: connections that callers still counted on were
// closed, or kept for longer than operators allow.
type idleConns struct {
	now   func() time.Time
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns(now func() time.Time) *idleConns {
	return &idleConns{now: now, since: make(map[net.Conn]time.Time)}
}

// changed is a hook of the callers' server on the state of connections.
func (i *idleConns) changed(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = i.now()
		return
	}
	delete(i.since, conn)
}

// closeUnused closes the connections that were unused for longer than a limit;
// zero stands for the default.
func (i *idleConns) closeUnused(limit time.Duration) {
	if limit <= 0 {
		limit = defaultIdle
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	for conn, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, conn)
			_ = conn.Close()
		}
	}
}
