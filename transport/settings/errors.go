package settings

import (
	"fmt"
	"time"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// retryAfter is the time after which a client should retry when the platform
// failed to answer. Short outages usually end within it.
const retryAfter = 2 * time.Second

// ConflictError reports that another change of the object was written first.
// The write that returns it changed nothing.
type ConflictError struct {
	Key      string
	Expected uint64
	// Version is the version found; zero if the object does not exist.
	Version uint64
	// Winner is the change that produced this version. Its ID is empty if the
	// change could not be read from the platform.
	Winner config.Change
}

// Error names the object, the versions and the winner.
func (e *ConflictError) Error() string {
	if e.Winner.ID == "" {
		return fmt.Sprintf("%s is at version %d, not %d", e.Key, e.Version, e.Expected)
	}
	return fmt.Sprintf("%s is at version %d, not %d: changed by %s (change %s)", e.Key, e.Version, e.Expected, e.Winner.By, e.Winner.ID)
}

// Result returns ConfigConflict.
func (e *ConflictError) Result() result.Result {
	return result.New(result.ConfigConflict, e.Error())
}

// UnavailableError reports that the platform did not answer and that nothing
// was changed.
type UnavailableError struct {
	Err error
}

// Error contains the platform's error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform does not answer: %v", e.Err)
}

// Unwrap returns the platform's error.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// Result returns PlatformUnavailable.
func (e *UnavailableError) Result() result.Result {
	return result.New(result.PlatformUnavailable, e.Error()).WithRetryAfter(retryAfter)
}

// UnknownOutcomeError reports that a write was sent, but that its outcome could
// not be determined in time. Repeating it with the same change ID and expected
// version is safe.
type UnknownOutcomeError struct {
	Key      string
	ChangeID string
	Err      error
}

// Error names the change whose outcome is unknown.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s of %s may or may not have taken effect: %v", e.ChangeID, e.Key, e.Err)
}

// Unwrap returns the platform's last error.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// Result returns ConfigUnknown.
func (e *UnknownOutcomeError) Result() result.Result {
	return result.New(result.ConfigUnknown, e.Error()).WithRetryAfter(retryAfter)
}

// NotFoundError reports that the platform has no object with this key.
type NotFoundError struct {
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no %s", e.Key)
}

// Result returns NotFound.
func (e *NotFoundError) Result() result.Result {
	return result.New(result.NotFound, e.Error())
}
