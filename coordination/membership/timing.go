package membership

import "time"

const (
	// TickInterval is the period at which the host sends Tick.
	TickInterval = 250 * time.Millisecond
	// HeartbeatInterval is the period of heartbeats on each session. With one
	// second, an idle session sends about 20 bytes per second and a silent peer
	// is detected within a few seconds.
	HeartbeatInterval = time.Second
	// MaxMissedHeartbeats is the number of consecutive heartbeat intervals
	// during which a peer may stay silent. With fewer, a garbage collection
	// that coincides with a lost TCP segment would count as a failure. With
	// more, grants would stay with a dead owner for longer.
	MaxMissedHeartbeats = 4
	// SessionTimeout is how long a session may be silent before it is closed.
	SessionTimeout = MaxMissedHeartbeats * HeartbeatInterval
	// ReconnectGrace is how long a member without a session still counts as
	// live. It covers an immediate redial and a second one after the first
	// back-off.
	ReconnectGrace = 2 * time.Second
	// StaleSessionAfter is the silence after which an existing session is no
	// longer preferred over a new one. A live peer would have sent a heartbeat
	// within this time.
	StaleSessionAfter = 3 * HeartbeatInterval / 2
	// GossipInterval is the period at which this router sends the list of all
	// live members to one of its peers, in turn. Each new session carries this
	// list anyway; the periodic gossip restores what was lost with a dropped
	// session.
	GossipInterval = 10 * time.Second
	// ForgetAfter is how long a router keeps dialling an address without
	// success if it is not a seed, and how long it remembers the incarnation of
	// a departed member. Replaced VMs never return, so their addresses must not
	// be dialled for ever.
	ForgetAfter = 10 * time.Minute
	// DialDelay is how long the router with the greater name waits before it
	// dials a known peer. The other router dials at once, so most pairs dial
	// only once.
	DialDelay = 500 * time.Millisecond
	// FreezeThreshold is the gap between two steps above which the machine
	// reports ProcessResumed to the host.
	FreezeThreshold = 2 * time.Second

	// minBackOff and maxBackOff bound the wait between two dials to the same
	// address. The upper bound limits how often a large fleet dials a removed
	// VM, and still finds routers again within seconds after a network
	// partition heals.
	minBackOff = 250 * time.Millisecond
	maxBackOff = 8 * time.Second
	// backOffJitter is the fraction by which each wait is randomly shortened or
	// lengthened, so that routers that were cut off together do not all redial
	// at the same moment.
	backOffJitter = 0.5

	// MaxAddresses bounds the number of stored addresses, however many the
	// peers gossip.
	MaxAddresses = 4096
)
