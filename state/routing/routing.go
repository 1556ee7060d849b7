package routing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once. It is the zero value: what is
	// not known to be repeatable is not repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events and count as
	// non-idempotent unless their route is resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non-idempotent"
	}
}

// Backend is one service behind a route with its part of the traffic.
type Backend struct {
	Service state.Service
	// Weight is relative to the other backends of the route.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another upstream after an event.
	Resumable bool
	// Timeout is the longest time a request may be kept; zero means the
	// caller's own deadline alone.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer, or a stream's first
	// event, is on time.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream with which it
	// is still on time; zero means none.
	MaxEventGap time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	Backends []Backend
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Repeatable says whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests an engine runs at once.
	Slots int
	// CacheTokens is the memory of an engine, in tokens.
	CacheTokens int64
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Service is a group of upstreams.
type Service struct {
	Name       state.Service
	HealthPath string
	// MaxConnections is what one upstream accepts from all routers together.
	MaxConnections int
	// Engine is nil for services of application workers.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Throughput is what all engines together produce, in cost units a
	// second: each token read counts once, each generated one twice.
	Throughput float64
}

// Workspace is a tenant with its keys.
type Workspace struct {
	Name state.Workspace
	Keys []string
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version only grows.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
