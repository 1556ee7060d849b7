package routing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Kind states whether a route's requests may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once. It is the zero value, so
	// requests of unknown kind are not repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a series of events. They count as
	// non-idempotent unless their route is resumable.
	Stream
)

// String returns the name of the kind as used in logs.
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

// Backend is one of the services of a route, with its part of the traffic.
type Backend struct {
	Service state.Service
	// Weight is relative to the weights of the route's other backends.
	Weight int
}

// Route sends requests with a given host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable is set if a stream may continue on another upstream after one
	// of its events.
	Resumable bool
	// Timeout is the longest time that a request may stay in the router; zero
	// means that only the caller's deadline applies.
	Timeout time.Duration
	// TargetLatency is the latency up to which an answer, or the first event of
	// a stream, counts as on time.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream up to
	// which the later event counts as on time; zero means that there is no
	// limit.
	MaxEventGap time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	Backends []Backend
	// MaxAttempts bounds the number of upstreams to which one request is sent.
	MaxAttempts int
	// Public is set if requests of the route need no key.
	Public bool
	// Regions are the only regions whose upstreams may serve the route; empty
	// means all.
	Regions []state.Region
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the capacity of an engine's memory in tokens.
	CacheTokens int64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of upstreams.
type Service struct {
	Name       state.Service
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts
	// from all routers together.
	MaxConnections int
	// Engine is nil for services of application workers.
	Engine *Engine
	// ColdStart is how long an upstream stays cold after its start, and
	// ColdRate the number of requests per second that it tolerates meanwhile.
	// The service has no cold starts if either is zero.
	ColdStart time.Duration
	ColdRate  float64
}

// HasColdStarts reports whether the upstreams of the service tolerate fewer
// requests after their start.
func (s Service) HasColdStarts() bool { return s.ColdStart > 0 && s.ColdRate > 0 }

// Limits bounds the requests that a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Throughput is the work that all engines together can do, in cost units
	// per second. Each prompt token counts as one unit and each generated token
	// as two.
	Throughput float64
}

// Workspace is a tenant with its keys.
type Workspace struct {
	Name state.Workspace
	Keys []string
	// Regions are the only regions whose upstreams may serve the workspace;
	// empty means all.
	Regions []state.Region
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with every change.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
