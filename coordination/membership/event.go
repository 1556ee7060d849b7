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

// Seeded adds addresses from the settings or the platform's list of VMs.
type Seeded struct {
	Addresses []string
}

// Greeted says that a peer's hello was read on a new session.
type Greeted struct {
	Session SessionID
	// Dialled is the address this router dialled; empty if the peer did.
	Dialled string
	Hello   Hello
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

// Closed says that an accepted session ended, for whatever reason.
type Closed struct {
	Session SessionID
}

// Heard says that any message arrived on a session since the last Heard.
type Heard struct {
	Session SessionID
}

// HeartbeatHeard is a peer's heartbeat.
type HeartbeatHeard struct {
	Session  SessionID
	Draining bool
	Members  []Member
}

// Raised gives this router a greater incarnation.
type Raised struct {
	Incarnation state.Incarnation
}

// DrainingSet changes whether this router announces that it drains.
type DrainingSet struct {
	Draining bool
}

// Selected replaces what a selective machine dials.
type Selected struct {
	Members []Member
	// Seeds says that seeds are dialled, but for those that lead to one of
	// Fleet.
	Seeds bool
	Fleet []state.Router
}

// Dropped ends the session with a peer.
type Dropped struct {
	Router state.Router
}

// Tick lets limits pass. The host sends one every TickInterval.
type Tick struct{}

func (Seeded) event()         {}
func (Greeted) event()        {}
func (DialFailed) event()     {}
func (Closed) event()         {}
func (Heard) event()          {}
func (HeartbeatHeard) event() {}
func (Raised) event()         {}
func (DrainingSet) event()    {}
func (Selected) event()       {}
func (Dropped) event()        {}
func (Tick) event()           {}
