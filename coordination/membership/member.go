package membership

import (
	"time"

	"github.com/figstile/figstile/state"
)

// session is an accepted session with a member. Its times are readings of the
// machine's runClock.
type session struct {
	id SessionID
	// dialledLocally is set if this router dialled, and false if the peer did.
	dialledLocally bool
	// lastReceived is when the latest message arrived.
	lastReceived time.Duration
	// nextHeartbeat is when this router sends its next heartbeat.
	nextHeartbeat time.Duration
}

// member is a router that is live or was live earlier.
type member struct {
	Member
	draining bool
	// session is nil while the member is suspect or departed.
	session *session
	// sessionLostAt is when the latest session closed.
	sessionLostAt time.Duration
	departed      bool
}

func (m *member) live() bool { return !m.departed }

// Status is the state of a member as this router sees it.
type Status string

// The states of a member.
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

// MemberView describes a member to operators.
type MemberView struct {
	Member
	Draining bool
	Status   Status
}

// isPreferredOver reports whether the existing session s is kept instead of a
// new session with the same incarnation of the peer. Both routers must reach
// the same decision from their own knowledge; otherwise two simultaneous dials
// would close each other's sessions for ever.
//
// Of two sessions from the same dialler, the newer one is kept, because a
// router dials again only after it has lost its previous session. Of two
// sessions from different diallers, the session dialled by the router with the
// smaller name is kept. The exception is an old session that has been silent
// for more than StaleSessionAfter. If a connection broke for the peer only, a
// router that dialled it first would otherwise keep the dead session and refuse
// the peer's new one until SessionTimeout.
func (s *session) isPreferredOver(newDialledLocally bool, self, peer state.Router, now time.Duration) bool {
	if s.dialledLocally == newDialledLocally || now-s.lastReceived > StaleSessionAfter {
		return false
	}
	return s.dialledLocally == (self < peer)
}
