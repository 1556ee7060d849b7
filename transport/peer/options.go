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

// ProtocolVersion is the version of the peer protocol. Unknown fields and
// bodies are ignored, so it only grows when routers could misunderstand each
// other.
const ProtocolVersion = 2

// Peer identifies the sender of a message.
type Peer struct {
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
}

// Session is a session that was opened.
type Session struct {
	Peer
	// Address is where the peer listens.
	Address string
	// Dialled says that this router opened it.
	Dialled bool
	// Capacity is that of the peer's Self.
	Capacity uint32
}

// Self is what this router says of itself.
type Self struct {
	Peer
	// Fleet keeps the routers of different fleets apart.
	Fleet string
	// Capacity is the processor share of the VM in hundredths of a core; 0 if
	// not known.
	Capacity uint32
}

// Clock is the mesh's source of time.
type Clock interface {
	Now() time.Time
	// Ticker returns a channel that receives about every d, and a function
	// that stops it.
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Options configure a Mesh.
type Options struct {
	Self Self
	// Listen is the TCP address to listen on.
	Listen string
	// Advertise is the address peers dial; empty means the listener's own.
	Advertise string
	// Seeds are addresses to dial first. One live seed suffices.
	Seeds []string
	// SoleProcess says that no two processes live under one name, whatever their
	// clocks say: a new run may then pass a later incarnation of its own that
	// a peer remembers.
	SoleProcess bool
	// TLS secures the sessions if set. It must verify peers both ways.
	TLS *tls.Config
	// Dial opens a connection to a peer; nil means plain TCP. Tests put links
	// that fail here.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handler receives the messages of peers. It is called concurrently for
	// different peers, and for the two streams of one peer.
	Handler func(from Peer, env *peerpb.Envelope)
	// OnPeers receives the live routers, this one included, on each change.
	// The first message of a new peer is handled after OnPeers has returned.
	OnPeers func(peers []scheduler.Peer)
	// OnSession is called, if set, after OnPeers for every new session, also
	// one that replaces a broken one without the peer having been gone.
	// Messages may have been lost with the old one: send full state.
	OnSession func(opened Session)
	// OnSessionEnd is called, if set, once a session that was announced by
	// OnSession has ended.
	OnSessionEnd func(peer Peer)
	// SelectiveDialing says that only seeds are dialled until Select names others.
	SelectiveDialing bool
	Log              zerolog.Logger
	// FlushTimeout bounds a stop: the last counters of a drained router should
	// reach its peers, but one that does not read must not hold it. Zero means a
	// second.
	FlushTimeout time.Duration
	// Clock defaults to the system's.
	Clock Clock
	// Seed of the jitter; zero takes the incarnation.
	Seed uint64
}

// OptionError is an option that cannot be used.
type OptionError struct {
	Option string
	Reason string
}

// Error names the option and the reason.
func (e *OptionError) Error() string {
	return fmt.Sprintf("peer: option %s: %s", e.Option, e.Reason)
}

// validate checks the options and fills in defaults.
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

// validAddress accepts an IP number with a port other than 0.
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
