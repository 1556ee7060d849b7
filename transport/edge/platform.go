package edge

import (
	"context"
	"errors"
	"time"

	"github.com/figstile/figstile/coordination/coldstart"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
)

// The errors of an ObjectStore.
var (
	// ErrHistoryExpired reports that the store no longer holds the changes
	// since a revision. The caller has to list all objects again.
	ErrHistoryExpired = errors.New("edge: the store's history has expired")
	// ErrUnavailable reports that the store did not perform a call or that its
	// answer was lost.
	ErrUnavailable = errors.New("edge: the store is unavailable")
	// ErrInvalidColdTime reports that an upstream's entry is usable but for the
	// time for which the upstream stays cold.
	ErrInvalidColdTime = errors.New("edge: the entry's cold time is invalid")
)

// Kind is the kind of an object in the store.
type Kind uint8

// The kinds of objects that a router follows.
const (
	// KindConfig is the kind of the operators' configuration, a single object.
	KindConfig Kind = iota
	// KindUpstream is the kind of the upstreams' entries, one object per
	// upstream.
	KindUpstream
	// KindEvacuation is the kind of the operators' evacuations, one object per
	// evacuated data centre, which is its name.
	KindEvacuation
)

// kindNames are the names of the kinds in log lines and in messages between
// routers.
var kindNames = [...]string{KindConfig: "config", KindUpstream: "upstream", KindEvacuation: "evacuation"}

// String returns the kind's name in log lines and in messages between routers.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the store's revision of the last change.
	Revision uint64
	// Removed is set in change events for objects that were removed.
	Removed bool
	// Spec is the encoded content.
	Spec []byte
}

// ObjectStore is the interface of the platform's store.
type ObjectStore interface {
	// List returns all objects of a kind and the revision at which they were
	// read.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Watch waits up to wait for changes after a revision. It returns the
	// changes and the revision from which to continue.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Platform is the store together with its formats.
type Platform interface {
	ObjectStore
	ingress.Dialect
	// DecodeConfig decodes a configuration. It calls yield between the parts of
	// a large one. It is not called concurrently.
	DecodeConfig(spec []byte, yield func()) (routing.Config, error)
	// DecodeUpstream decodes an upstream's entry. It returns an error if the
	// entry does not describe a usable upstream. If only the cold time is
	// invalid, it returns the upstream with an error that wraps
	// ErrInvalidColdTime.
	DecodeUpstream(name string, spec []byte) (directory.Upstream, error)
}

// Addresses are the addresses that a router listens on.
type Addresses struct {
	// Callers is the address for callers, Ready that for readiness probes, and
	// Peers that for other routers.
	Callers, Ready, Peers string
	// Metrics is the address of the metrics endpoint. If empty, no metrics are
	// served.
	Metrics string
}

// Settings are a router's settings, as read by its platform.
type Settings struct {
	Router     state.Router
	DataCentre state.DataCentre
	Addresses  Addresses
	// Seeds are the addresses of peers through which the router joins the
	// fleet.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time, some
	// seconds before callers send requests.
	FirstStart bool
	// MemoryBytes is the memory limit of the process; 0 means no limit.
	MemoryBytes int64
	// MaxFiles is the maximum number of open file descriptors; 0 means no
	// limit.
	MaxFiles int
	// CPUCores is the VM's CPU share in cores; 0 means no limit.
	CPUCores float64
	// GracePeriod is the longest time that a stop may take.
	GracePeriod time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of the whole
	// fleet.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ConfigLimit is the time within which a change of the configuration must be
	// in force; 0 means defaultConfigLimit.
	ConfigLimit time.Duration
	// LeaveLimit is the time after which a leaving upstream must get no new
	// requests; 0 means defaultLeaveLimit.
	LeaveLimit time.Duration
	// UpstreamHeartbeat is the interval at which upstreams write their entries; 0
	// means defaultUpstreamHeartbeat. An entry expires after three of them.
	UpstreamHeartbeat time.Duration
	// EvacuationLimit is the time within which an evacuation of a data centre
	// must be in force; 0 if data centres are never evacuated. Otherwise the
	// router serves callers only once it knows which ones are.
	EvacuationLimit time.Duration
	// ColdLimit bounds the requests of the whole fleet to a cold upstream.
	ColdLimit coldstart.Limit
	// Regions holds the region of each data centre.
	Regions map[state.DataCentre]state.Region
}
