package membership

import (
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
)

// Refusal is the reason why a router does not accept a session.
type Refusal uint8

// The reasons for refusing a session. Their numbers are part of the peer
// protocol.
const (
	RefusalNone Refusal = iota
	// RefusalFleet means that the routers belong to different fleets.
	RefusalFleet
	// RefusalVersion means that the protocol versions differ.
	RefusalVersion
	// RefusalSelf means that the peer has the same name as this router.
	RefusalSelf
	// RefusalIncarnation means that this router knows a later incarnation of
	// the peer.
	RefusalIncarnation
	// RefusalDuplicate means that the two routers keep another session instead.
	RefusalDuplicate
	// RefusalMalformed means that the hello is malformed, for example without a
	// router name or an incarnation.
	RefusalMalformed
)

var refusalNames = [...]string{"none", "fleet", "version", "self", "incarnation", "duplicate", "malformed"}

// String returns the short name of the reason as it appears in logs.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown"
}

// CloseReason is the reason why an accepted session is closed.
type CloseReason string

// The reasons for closing an accepted session.
const (
	// CloseSilent means that no message arrived for SessionTimeout.
	CloseSilent CloseReason = "silent"
	// CloseReplaced means that the two routers keep a newer or preferred
	// session.
	CloseReplaced CloseReason = "replaced"
	// CloseRestarted means that the peer has restarted with a greater
	// incarnation.
	CloseRestarted CloseReason = "restarted"
	// CloseSurplus means that the session is no longer needed.
	CloseSurplus CloseReason = "surplus"
)

// Action is something that the host of the state machine must do. The host
// performs actions in the order in which Step returns them.
type Action interface{ action() }

// Dial asks the host to open a connection to an address.
type Dial struct {
	Address string
}

// AcceptSession asks the host to keep a session whose hello was received and to
// answer the hello.
type AcceptSession struct {
	Session SessionID
}

// RefuseSession asks the host to answer the hello of a session with the reason
// for the refusal and to close the session.
type RefuseSession struct {
	Session SessionID
	Refusal Refusal
}

// CloseSession asks the host to close an accepted session. The host does not
// report SessionClosed for it.
type CloseSession struct {
	Session SessionID
	Reason  CloseReason
}

// SendHeartbeat asks the host to send a heartbeat on a session. Members is the
// gossip that the heartbeat carries; nil for none.
type SendHeartbeat struct {
	Session SessionID
	Members []Member
}

// PublishPeers replaces the set of live routers. Peers includes this router and
// is ordered by router name.
type PublishPeers struct {
	Peers []scheduler.Peer
}

// ProcessResumed reports that this process did not run for the duration Gap, so
// its knowledge of other routers is at least that old.
type ProcessResumed struct {
	Gap time.Duration
}

func (Dial) action()           {}
func (AcceptSession) action()  {}
func (RefuseSession) action()  {}
func (CloseSession) action()   {}
func (SendHeartbeat) action()  {}
func (PublishPeers) action()   {}
func (ProcessResumed) action() {}
