package membership

import "time"

const (
	// TickInterval is the host's period for Tick.
	TickInterval = 250 * time.Millisecond
	// HeartbeatInterval is the period of heartbeats on each session. One
	// second keeps an idle session near twenty bytes a second and lets a
	// silent peer be found within a few seconds.
	HeartbeatInterval = time.Second
	// MaxMissedHeartbeats is how many intervals in a row a peer may stay silent.
	// Fewer would take a garbage collection and a lost segment together for
	// a failure; more would leave grants with a dead owner for longer.
	MaxMissedHeartbeats = 4
	// SessionTimeout is the silence after which a session is given up.
	SessionTimeout = MaxMissedHeartbeats * HeartbeatInterval
	// ReconnectGrace is how long a member without a session is still taken for
	// live. It covers one redial at once and one after the first back-off.
	ReconnectGrace = 2 * time.Second
	// StaleSessionAfter is the silence after which an existing session no longer
	// wins against a new one: a live peer would have sent a heartbeat.
	StaleSessionAfter = 3 * HeartbeatInterval / 2
	// GossipInterval is the period at which one peer, in turn, is told all
	// live members again. A new session carries them anyway; this heals
	// what a dropped session lost.
	GossipInterval = 10 * time.Second
	// ForgetAfter is how long an address that is no seed is dialled in vain,
	// and how long the incarnation of a gone member is remembered. VMs are
	// replaced for good, and their addresses must not be dialled for ever.
	ForgetAfter = 10 * time.Minute
	// DialDelay is how long the router with the greater name waits before it
	// dials a known peer, so that most pairs dial once only.
	DialDelay = 500 * time.Millisecond
	// FreezeThreshold is the gap between two steps above which the host is
	// told that this process stood still.
	FreezeThreshold = 2 * time.Second

	// minBackOff and maxBackOff bound the wait between dials to one
	// address. The upper bound keeps the dials of a large fleet to a VM that
	// is gone few, and finds a healed partition within seconds.
	minBackOff = 250 * time.Millisecond
	maxBackOff = 8 * time.Second
	// backOffJitter spreads each wait by this part in both directions, so
	// that routers cut off together do not return together.
	backOffJitter = 0.5

	// MaxAddresses bounds the addresses kept, whatever peers gossip.
	MaxAddresses = 4096
)
