package peer

import (
	"context"
	"sync"

	"github.com/figstile/figstile/coordination/scheduler"
)

// notices calls the callbacks of the options in order and without holding the
// mesh's lock. A newer set of live routers replaces one that has not been
// delivered yet, so a slow callback sees fewer changes but always the latest
// set.
type notices struct {
	ready chan struct{}

	mu       sync.Mutex
	live     []scheduler.Peer
	sessions []sessionNotice
}

// sessionNotice reports that a session began or ended.
type sessionNotice struct {
	session *session
	ended   bool
}

func newNotices() notices {
	return notices{ready: make(chan struct{}, 1)}
}

// add queues the new set of live routers, if it changed, and the sessions that
// changed with it. The sessions are announced after the set.
func (n *notices) add(live []scheduler.Peer, sessions []sessionNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if live != nil {
		n.live = live
	}
	n.sessions = append(n.sessions, sessions...)
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

func (n *notices) takeAll() ([]scheduler.Peer, []sessionNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live, sessions := n.live, n.sessions
	n.live, n.sessions = nil, nil
	return live, sessions
}

func (n *notices) deliver(ctx context.Context, opts Options) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ready:
		}
		live, sessions := n.takeAll()
		if live != nil {
			opts.OnPeers(live)
		}
		for _, notice := range sessions {
			notice.deliver(opts)
		}
	}
}

func (n sessionNotice) deliver(opts Options) {
	s := n.session
	if n.ended {
		opts.OnSessionEnd(s.peer)
		return
	}
	opts.OnSession(Session{Peer: s.peer, Address: s.address, Dialled: s.dialledAddress != "", Capacity: s.capacity})
	close(s.peerAnnounced)
}
