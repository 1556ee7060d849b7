package overlay

import (
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// Kind says what a Message is for. The numbers are those of the peer protocol.
type Kind uint8

// The kinds of messages.
const (
	// KindContacts are the live routers that the sender knows; it is the first
	// message on every session.
	KindContacts Kind = iota
	// KindAttach asks the receiver to be the sender's parent.
	KindAttach
	// KindAccept makes the sender the receiver's parent.
	KindAccept
	// KindChange tells what changed on the sender's side of a link.
	KindChange
	// KindDetach ends a link, or refuses one.
	KindDetach
	// KindIntroduction is Contacts from a router that knows of no parent. It is answered by
	// Contacts.
	KindIntroduction
)

// Message is what two routers tell each other of the fleet. In Attach and
// Accept, Present is everything on the sender's side of the link.
type Message struct {
	Kind    Kind
	Present []membership.Member
	// Removed are the routers that are no longer on the sender's side.
	Removed []state.Router
	// TreeMode says that the sender holds links instead of sessions with all.
	TreeMode bool
}

// Action is something the host must do. Actions are performed in order.
type Action interface{ action() }

// Send queues a message for a peer with a session.
type Send struct {
	To      state.Router
	Message Message
}

// SelectPeers replaces the routers that sessions are wanted with.
type SelectPeers struct {
	Members []membership.Member
	// LiveRouters are the live routers: no seed that leads to one is dialled.
	LiveRouters []state.Router
	// DialSeeds says that seeds are dialled.
	DialSeeds bool
}

// DropSession closes the session with a peer.
type DropSession struct {
	Router state.Router
}

// LinkEstablished says that a link was established: the peer knows nothing of this
// side's sums yet.
type LinkEstablished struct {
	Router state.Router
}

// LinkEnded says that a link ended: what came over it no longer counts.
type LinkEnded struct {
	Router state.Router
}

func (Send) action()            {}
func (SelectPeers) action()     {}
func (DropSession) action()     {}
func (LinkEstablished) action() {}
func (LinkEnded) action()       {}
