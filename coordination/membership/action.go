package membership

import (
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
)

// Refusal is the reason why a session is not accepted.
type Refusal uint8

// The reasons for a refusal. The numbers are those of the peer protocol.
const (
	RefusalNone Refusal = iota
	// RefusalFleet: the routers belong to different fleets.
	RefusalFleet
	// RefusalVersion: the protocol versions differ.
	RefusalVersion
	// RefusalSelf: the peer bears this router's name.
	RefusalSelf
	// RefusalIncarnation: a later incarnation of the peer is known.
	RefusalIncarnation
	// RefusalDuplicate: the pair keeps another session.
	RefusalDuplicate
	// RefusalMalformed: the hello is malformed.
	RefusalMalformed
)

var refusalNames = [...]string{"none", "fleet", "version", "self", "incarnation", "duplicate", "malformed"}

// String returns the short name used in logs.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown"
}

// CloseReason tells why an accepted session is closed.
type CloseReason string

// The reasons for closing an accepted session.
const (
	// CloseSilent: nothing was heard for LostAfter.
	CloseSilent CloseReason = "silent"
	// CloseReplaced: the pair keeps a newer or preferred session.
	CloseReplaced CloseReason = "replaced"
	// CloseRestarted: the peer is back with a greater incarnation.
	CloseRestarted CloseReason = "restarted"
	// CloseSurplus: the session is no longer needed.
	CloseSurplus CloseReason = "surplus"
)

// Action is something the host must do. Actions are performed in order.
type Action interface{ action() }

// Dial opens a connection to an address.
type Dial struct {
	Address string
}

// AcceptSession keeps a greeted session and answers its hello.
type AcceptSession struct {
	Session SessionID
}

// RefuseSession answers a greeted session with the reason and closes it.
type RefuseSession struct {
	Session SessionID
	Refusal Refusal
}

// CloseSession ends an accepted session. The host reports no Closed for it.
type CloseSession struct {
	Session SessionID
	Reason  CloseReason
}

// SendHeartbeat sends a heartbeat on a session.
type SendHeartbeat struct {
	Session SessionID
	Members []Member
}

// PublishPeers replaces the set of live routers, this one included, in the order
// of their names.
type PublishPeers struct {
	Peers []scheduler.Peer
}

// ProcessResumed says that this process stood still for the given time, so that
// whatever it believes about others is that old.
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
