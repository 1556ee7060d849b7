package edge

import (
	"context"
	"errors"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
)

// Errors of Objects.
var (
	// ErrHistoryGone: the changes since a revision are no longer held; list
	// anew.
	ErrHistoryExpired = errors.New("edge: the store's history is gone")
	// ErrUnavailable: the store did nothing, or its answer did not come.
	ErrUnavailable = errors.New("edge: the store is unavailable")
)

// Kind names a group of objects of the store.
type Kind uint8

// The kinds that a router follows.
const (
	// KindConfig holds the operators' configuration, one object.
	KindConfig Kind = iota
	// KindUpstream holds one object for each upstream.
	KindUpstream
)

// String returns the kind's name in logs and between peers.
func (k Kind) String() string {
	if k == KindConfig {
		return "config"
	}
	return "upstream"
}

// Object is one object of the store.
type Object struct {
	Name string
	// Revision of its last change.
	Revision uint64
	// Removed is set in events for objects that are gone.
	Removed bool
	// Spec is what its writer said, encoded.
	Spec []byte
}

// ObjectStore is the store.
type ObjectStore interface {
	// List returns all objects of a kind and the revision they were read at.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Watch waits for changes after a revision, at most for wait, and returns
	// them with the revision to go on from.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Platform is the store with its formats.
type Platform interface {
	ObjectStore
	ingress.Dialect
	// DecodeConfig reads a configuration. It calls yield between parts of a
	// large one. It is not called concurrently.
	DecodeConfig(spec []byte, yield func()) (routing.Config, error)
	// DecodeUpstream reads what an upstream says of itself. Its error means
	// that the object names no upstream to use.
	DecodeUpstream(name string, spec []byte) (directory.Upstream, error)
}

// Addresses are where a router listens.
type Addresses struct {
	// Callers, Ready and Peers are for callers, for the question whether the
	// router is ready, and for other routers.
	Callers, Ready, Peers string
	// Metrics is for the router's figures; empty serves none.
	Metrics string
}

// Settings are a router's settings as its platform gives them.
type Settings struct {
	Router     state.Router
	DataCentre state.DataCentre
	Addresses  Addresses
	// Seeds are peer addresses to join through.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time, some
	// seconds before its callers come.
	FirstStart bool
	// MemoryBytes is what the process may use; 0 if not limited.
	MemoryBytes int64
	// MaxFiles is the number of descriptors the process may open; 0 if not
	// limited.
	MaxFiles int
	// CPUCores is the VM's share in cores; 0 if not limited.
	CPUCores float64
	// GracePeriod is how long a stop may take.
	GracePeriod time.Duration
	// Retries bound repeats over the fleet.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}
