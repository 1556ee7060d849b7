package overlay

import (
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// Kind says what a Message is for. The numbers are those of the peer protocol.
type Kind uint8

// The kinds of messages.
const (
	// Contacts are the live routers that the sender knows; it is the first
	// message on every session.
	Contacts Kind = iota
	// Attach asks the receiver to be the sender's parent.
	Attach
	// Accept makes the sender the receiver's parent.
	Accept
	// Change tells what changed on the sender's side of a link.
	Change
	// Detach ends a link, or refuses one.
	Detach
	// Visit is Contacts from a router that knows of no parent. It is answered by
	// Contacts.
	Visit
)

// Message is what two routers tell each other of the fleet. In Attach and
// Accept, Present is everything on the sender's side of the link.
type Message struct {
	Kind    Kind
	Present []membership.Member
	// Gone are the routers that are no longer on the sender's side.
	Gone []state.Router
	// Tree says that the sender holds links instead of sessions with all.
	Tree bool
}

// Action is something the host must do. Actions are performed in order.
type Action interface{ action() }

// Send queues a message for a peer with a session.
type Send struct {
	To      state.Router
	Message Message
}

// Select replaces the routers that sessions are wanted with.
type Select struct {
	Members []membership.Member
	// Fleet are the live routers: no seed that leads to one is dialled.
	Fleet []state.Router
	// Seeds says that seeds are dialled.
	Seeds bool
}

// Drop closes the session with a peer.
type Drop struct {
	Router state.Router
}

// Linked says that a link was established: the peer knows nothing of this
// side's sums yet.
type Linked struct {
	Router state.Router
}

// Unlinked says that a link ended: what came over it no longer counts.
type Unlinked struct {
	Router state.Router
}

func (Send) action()     {}
func (Select) action()   {}
func (Drop) action()     {}
func (Linked) action()   {}
func (Unlinked) action() {}
