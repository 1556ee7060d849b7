package membership

import "github.com/figstile/figstile/state"

// SessionID numbers the sessions of one process, from 1.
type SessionID uint64

// Hello is what a peer says of itself when a session begins.
type Hello struct {
	Fleet       string
	Version     uint32
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
	// Address is where the peer listens.
	Address  string
	Draining bool
	// Capacity is the processor share of the peer's VM in hundredths of a core;
	// 0 if not known.
	Capacity uint32
}

// Member is a router that a peer has a session with.
type Member struct {
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
	Address     string
	// Capacity is that of Hello.
	Capacity uint32
}

// Event is something that happened to the sessions of this router.
type Event interface{ event() }

// SeedsAdded adds addresses from the settings or the platform's list of VMs.
type SeedsAdded struct {
	Addresses []string
}

// HelloReceived says that a peer's hello was read on a new session.
type HelloReceived struct {
	Session SessionID
	// DialledAddress is the address this router dialled; empty if the peer did.
	DialledAddress string
	Hello          Hello
}

// DialFailed says that no session came of a Dial. Every Dial is answered by
// DialFailed or by Greeted.
type DialFailed struct {
	Address string
	// Refusal is the reason the peer gave, if it answered, and Router and
	// Incarnation who it was.
	Refusal     Refusal
	Router      state.Router
	Incarnation state.Incarnation
}

// SessionClosed says that an accepted session ended, for whatever reason.
type SessionClosed struct {
	Session SessionID
}

// MessageReceived says that any message arrived on a session since the last Heard.
type MessageReceived struct {
	Session SessionID
}

// HeartbeatReceived is a peer's heartbeat.
type HeartbeatReceived struct {
	Session  SessionID
	Draining bool
	Members  []Member
}

// IncarnationRaised gives this router a greater incarnation.
type IncarnationRaised struct {
	Incarnation state.Incarnation
}

// DrainingChanged changes whether this router announces that it drains.
type DrainingChanged struct {
	Draining bool
}

// SelectionChanged replaces what a selective machine dials.
type SelectionChanged struct {
	Members []Member
	// DialSeeds says that seeds are dialled, but for those that lead to one of
	// Fleet.
	DialSeeds   bool
	LiveRouters []state.Router
}

// SessionUnneeded ends the session with a peer.
type SessionUnneeded struct {
	Router state.Router
}

// Tick lets limits pass. The host sends one every TickInterval.
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
