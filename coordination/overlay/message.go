package overlay

import (
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// Kind is the purpose of a Message. Its numbers are part of the peer protocol.
type Kind uint8

// The kinds of messages.
const (
	// KindContacts lists the live routers that the sender knows. It is the
	// first message on every session.
	KindContacts Kind = iota
	// KindAttach asks the receiver to become the sender's parent.
	KindAttach
	// KindAccept answers KindAttach: the sender becomes the receiver's parent.
	KindAccept
	// KindChange reports the changes on the sender's side of a link.
	KindChange
	// KindDetach ends a link or rejects a KindAttach.
	KindDetach
	// KindIntroduction has the content of KindContacts and comes from a router
	// that knows no candidate for a parent. The receiver answers with
	// KindContacts.
	KindIntroduction
)

// Message carries membership information between two routers. In KindAttach and
// KindAccept, Present lists all routers on the sender's side of the link.
type Message struct {
	Kind    Kind
	Present []membership.Member
	// Removed lists the routers that are no longer on the sender's side.
	Removed []state.Router
	// TreeMode is set if the sender uses links of a tree instead of sessions
	// with all routers.
	TreeMode bool
}

// Action is something that the host must do. The host performs actions in
// order.
type Action interface{ action() }

// Send asks the host to queue a message for a peer that has a session.
type Send struct {
	To      state.Router
	Message Message
}

// SelectPeers replaces the routers with which this router needs sessions.
type SelectPeers struct {
	Members []membership.Member
	// LiveRouters are the live routers. Seeds that lead to one of them are not
	// dialled.
	LiveRouters []state.Router
	// DialSeeds enables dialling of the other seeds.
	DialSeeds bool
}

// DropSession asks the host to close the session with a peer.
type DropSession struct {
	Router state.Router
}

// LinkEstablished reports a new link. The peer has not yet received the sums of
// this router's side.
type LinkEstablished struct {
	Router state.Router
}

// LinkEnded reports the end of a link. Sums received over it no longer count.
type LinkEnded struct {
	Router state.Router
}

func (Send) action()            {}
func (SelectPeers) action()     {}
func (DropSession) action()     {}
func (LinkEstablished) action() {}
func (LinkEnded) action()       {}
