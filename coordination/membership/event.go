package membership

import "github.com/figstile/figstile/state"

// SessionID numbers the sessions of one process, starting at 1.
type SessionID uint64

// Hello is the description of itself that a peer sends when a session begins.
type Hello struct {
	Fleet       string
	Version     uint32
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
	// Address is the IP address and port where the peer listens.
	Address  string
	Draining bool
	// Capacity is the CPU share of the peer's VM in hundredths of a core; 0 if
	// it is unknown.
	Capacity uint32
}

// Member is a router with which a peer has a session.
type Member struct {
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
	Address     string
	// Capacity has the same meaning as Hello.Capacity.
	Capacity uint32
}

// Event is something that happened to the sessions of this router.
type Event interface{ event() }

// SeedsAdded adds addresses from the settings or from the platform's list of
// VMs.
type SeedsAdded struct {
	Addresses []string
}

// HelloReceived reports that a peer's hello was read on a new session.
type HelloReceived struct {
	Session SessionID
	// DialledAddress is the address that this router dialled; empty if the peer
	// dialled.
	DialledAddress string
	Hello          Hello
}

// DialFailed reports that a Dial led to no session. The host answers every Dial
// with either DialFailed or HelloReceived.
type DialFailed struct {
	Address string
	// Refusal is the reason that the peer gave, if it answered. Router and
	// Incarnation identify that peer.
	Refusal     Refusal
	Router      state.Router
	Incarnation state.Incarnation
}

// SessionClosed reports that an accepted session ended for any reason.
type SessionClosed struct {
	Session SessionID
}

// MessageReceived reports that at least one message arrived on a session since
// the previous MessageReceived for it.
type MessageReceived struct {
	Session SessionID
}

// HeartbeatReceived reports a peer's heartbeat.
type HeartbeatReceived struct {
	Session  SessionID
	Draining bool
	Members  []Member
}

// IncarnationRaised raises this router's incarnation.
type IncarnationRaised struct {
	Incarnation state.Incarnation
}

// DrainingChanged changes whether this router announces that it is draining.
type DrainingChanged struct {
	Draining bool
}

// SelectionChanged replaces the routers that a machine with SelectiveDialing
// dials.
type SelectionChanged struct {
	Members []Member
	// DialSeeds enables dialling of seeds, except those that lead to one of
	// LiveRouters.
	DialSeeds   bool
	LiveRouters []state.Router
}

// SessionUnneeded closes the session with a peer because it is not needed.
type SessionUnneeded struct {
	Router state.Router
}

// Tick makes the state machine check its time limits. The host sends a Tick
// every TickInterval.
type Tick struct{}

func (SeedsAdded) event()        {}
func (HelloReceived) event()     {}
func (DialFailed) event()        {}
func (SessionClosed) event()     {}
func (MessageReceived) event()   {}
func (HeartbeatReceived) event() {}
func (IncarnationRaised) event() {}
func (DrainingChanged) event()   {}
func (SelectionChanged) event()  {}
func (SessionUnneeded) event()   {}
func (Tick) event()              {}
