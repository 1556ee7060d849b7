package objectstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/figstile/figstile/state"
)

// Version is a number that increases with every write to the store. Zero means
// that an object does not exist.
type Version uint64

// Object is one stored value with its key and version.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// MaxValueBytes is the size in bytes of the largest value that the platform
// stores.
const MaxValueBytes = 1 << 20

// These errors are the kinds of failure that callers distinguish. In addition,
// a conflict is returned as a ConflictError.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("objectstore: not found")
	// ErrUnavailable reports that the platform rejected the call or could not be
	// reached, and that the call had no effect.
	ErrUnavailable = errors.New("objectstore: unavailable")
	// ErrUnknownOutcome reports that a write was sent and no answer arrived.
	// The write may or may not have taken effect; read the object to find out.
	ErrUnknownOutcome = errors.New("objectstore: outcome unknown")
	// ErrTooOld reports that a watch asked for changes that the platform no
	// longer keeps.
	ErrTooOld = errors.New("objectstore: version too old")
	// ErrInvalid reports that the call itself is invalid, for example because a
	// value is too large or the token is rejected. It had no effect, and
	// repeating it cannot help.
	ErrInvalid = errors.New("objectstore: invalid call")
)

// ConflictError reports that the object of a conditional write has another
// version than expected.
type ConflictError struct {
	Key string
	// Current is the version found; zero if the object does not exist.
	Current Version
}

// Error names the object and the version found.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("objectstore: conflict on %s: current version %d", e.Key, e.Current)
}

// VM is an entry of the platform's VM list. The list lags behind the actual
// state.
type VM struct {
	Name       string           `json:"name"`
	Address    string           `json:"address"`
	Role       string           `json:"role"`
	DataCentre state.DataCentre `json:"data_centre"`
	Leaving    bool             `json:"leaving"`
}

// Store is the part of the platform's object API that routers use. All methods
// are safe for concurrent use and respect the context.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects under a prefix in key order, and the version of
	// the store to which the list corresponds.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put writes value if the object's version equals expected; zero means that
	// the object must not exist. It returns the new version, a *ConflictError,
	// ErrUnavailable or ErrUnknownOutcome.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Watch blocks until an object under the prefix has a version greater than
	// after, or the context ends, and returns the changed objects in version
	// order. If the platform's own timeout ends first, it returns no objects.
	Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error)
	// VMs returns the platform's list of VMs that run or are leaving.
	VMs(ctx context.Context) ([]VM, error)
}
