package membership

import (
	"time"

	"github.com/figstile/figstile/state"
)

// session is an accepted session with a member.
type session struct {
	id SessionID
	// dialledLocally says that this router dialled.
	dialledLocally bool
	// lastReceived is when anything last arrived.
	lastReceived time.Duration
	// nextHeartbeat is when the next heartbeat is due.
	nextHeartbeat time.Duration
}

// member is a router that is or was live.
type member struct {
	Member
	draining bool
	// session is nil while the member is suspect or gone.
	session *session
	// sessionLostAt is when the last session closed.
	sessionLostAt time.Duration
	departed      bool
}

func (m *member) live() bool { return !m.departed }

// Status tells how a member is seen.
type Status string

// The statuses of a member.
const (
	StatusLive     Status = "live"
	StatusSuspect  Status = "suspect"
	StatusDeparted Status = "gone"
)

func (m *member) status() Status {
	switch {
	case m.departed:
		return StatusDeparted
	case m.session == nil:
		return StatusSuspect
	default:
		return StatusLive
	}
}

// MemberView is a member as an operator sees it.
type MemberView struct {
	Member
	Draining bool
	Status   Status
}

// isPreferredOver decides which of two sessions with the same incarnation of a peer
// stays. Both sides must come to the same answer from what each of them knows,
// or two simultaneous dials would close each other for ever.
//
// Sessions from the same dialler: the newer one, since a router dials only
// after it has lost the one before. Sessions from different diallers: the one
// that the router with the smaller name dialled. The exception is an old
// session that has been silent for DoubtAfter: after a connection broke for
// the peer alone, a router that dialled it first would otherwise defend the
// dead session against the peer's new one until LostAfter.
func (s *session) isPreferredOver(newDialledLocally bool, self, peer state.Router, now time.Duration) bool {
	if s.dialledLocally == newDialledLocally || now-s.lastReceived > StaleSessionAfter {
		return false
	}
	return s.dialledLocally == (self < peer)
}
