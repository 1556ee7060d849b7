package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// ProtocolVersion is the version of the peer protocol. Routers ignore unknown
// fields and bodies, so the version is raised only when routers could otherwise
// misunderstand each other.
const ProtocolVersion = 3

// Peer identifies the sender of a message.
type Peer struct {
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
}

// Session describes a session that was opened.
type Session struct {
	Peer
	// Address is the IP address and port where the peer listens.
	Address string
	// Dialled is set if this router dialled.
	Dialled bool
	// Capacity is the CPU share of the peer's VM; see Self.Capacity.
	Capacity uint32
}

// Self describes this router to its peers.
type Self struct {
	Peer
	// Fleet is the name of the fleet. Routers of different fleets refuse each
	// other's sessions.
	Fleet string
	// Capacity is the CPU share of the VM in hundredths of a core; 0 if it is
	// unknown.
	Capacity uint32
}

// Clock is the mesh's source of time.
type Clock interface {
	Now() time.Time
	// Ticker returns a channel that receives about every d, and a function that
	// stops the ticker.
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Options holds the settings of a Mesh.
type Options struct {
	Self Self
	// Listen is the TCP address to listen on.
	Listen string
	// Advertise is the address that peers dial; empty means the address of the
	// listener.
	Advertise string
	// Seeds are the addresses to dial first. One live seed is enough to find
	// the fleet.
	Seeds []string
	// SoleProcess states that at most one process runs under a name at any
	// time, whatever its clock shows. A new process may then raise its
	// incarnation above an earlier, greater one that a peer remembers.
	SoleProcess bool
	// TLS secures the sessions if set. It must require and verify client
	// certificates.
	TLS *tls.Config
	// Dial opens a connection to a peer; nil means plain TCP. Tests use it to
	// simulate links that fail.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handler receives the messages of peers. It is called concurrently for
	// different peers, and for the two streams of one peer. sentAfter is a time
	// of the mesh's clock before which the peer cannot have sent the message;
	// it is zero if none is known. Only messages sent with SendTimed have it.
	Handler func(from Peer, env *peerpb.Envelope, sentAfter time.Time)
	// OnPeers receives the live routers, including this one, on each change.
	// The first message of a new peer is handled after OnPeers has returned.
	OnPeers func(peers []scheduler.Peer)
	// OnSession is called, if set, after OnPeers for every new session,
	// including a session that replaces a broken one while the peer stayed
	// live. Messages may have been lost with the old session, so the callback
	// should send full state.
	OnSession func(opened Session)
	// OnSessionEnd is called, if set, when a session that was announced by
	// OnSession has ended.
	OnSessionEnd func(peer Peer)
	// SelectiveDialing restricts dialling to seeds until SelectPeers names
	// other routers.
	SelectiveDialing bool
	Log              zerolog.Logger
	// FlushTimeout limits how long a stop waits for peers. The last counters of
	// a drained router should reach its peers, but a peer that does not read
	// must not delay the stop. Zero means one second.
	FlushTimeout time.Duration
	// Clock is the source of time; nil means the system clock.
	Clock Clock
	// Seed is the seed of the jitter between dials; zero means the incarnation.
	Seed uint64
}

// OptionError reports an option with an invalid value.
type OptionError struct {
	Option string
	Reason string
}

// Error returns the option and the reason.
func (e *OptionError) Error() string {
	return fmt.Sprintf("peer: option %s: %s", e.Option, e.Reason)
}

// validate checks the options and sets defaults.
func (o *Options) validate() error {
	switch {
	case o.Self.Router == "" || len(o.Self.Router) > wire.MaxNameBytes:
		return &OptionError{"Self.Router", "missing or too long"}
	case len(o.Self.DataCentre) > wire.MaxNameBytes || len(o.Self.Fleet) > wire.MaxNameBytes:
		return &OptionError{"Self", "data centre or fleet too long"}
	case o.Self.Incarnation == 0:
		return &OptionError{"Self.Incarnation", "missing"}
	case o.Handler == nil || o.OnPeers == nil:
		return &OptionError{"Handler, OnPeers", "missing"}
	case o.TLS != nil && o.TLS.ClientAuth != tls.RequireAndVerifyClientCert:
		return &OptionError{"TLS.ClientAuth", "peers must be verified both ways"}
	}
	if o.Advertise != "" && !validAddress(o.Advertise) {
		return &OptionError{"Advertise", "not an IP address and port"}
	}
	for _, seed := range o.Seeds {
		if !validAddress(seed) {
			return &OptionError{"Seeds", seed + " is not an IP address and port"}
		}
	}
	if o.Dial == nil {
		o.Dial = connectTo
	}
	if o.OnSession == nil {
		o.OnSession = func(Session) {}
	}
	if o.OnSessionEnd == nil {
		o.OnSessionEnd = func(Peer) {}
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.FlushTimeout == 0 {
		o.FlushTimeout = flushTimeout
	}
	if o.Seed == 0 {
		o.Seed = uint64(o.Self.Incarnation)
	}
	return nil
}

// validAddress accepts an IP address with a port other than 0.
func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(d)
	return ticker.C, ticker.Stop
}
