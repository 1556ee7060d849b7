package settings

import (
	"fmt"
	"time"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// retryAfter is when a caller may come back after the platform failed to
// answer: about the time in which short outages end.
const retryAfter = 2 * time.Second

// ConflictError says that somebody else changed the object first. Nothing was
// changed by the write that lost.
type ConflictError struct {
	Key      string
	Expected uint64
	// Version is the one found; zero if the object does not exist.
	Version uint64
	// Winner is the change that produced it; its ID is empty if the platform
	// could not be asked.
	Winner config.Change
}

// Error names the winner.
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

// UnavailableError says that the platform did not answer and that nothing was
// changed.
type UnavailableError struct {
	Err error
}

// Error repeats the platform's failure.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform does not answer: %v", e.Err)
}

// Unwrap returns the platform's failure.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// Result returns PlatformUnavailable.
func (e *UnavailableError) Result() result.Result {
	return result.New(result.PlatformUnavailable, e.Error()).WithRetryAfter(retryAfter)
}

// UnknownOutcomeError says that a write was sent and that nobody could tell in time
// whether it took effect. Repeating it with the same change id and expected
// version is safe.
type UnknownOutcomeError struct {
	Key      string
	ChangeID string
	Err      error
}

// Error names the change to look for.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s of %s may or may not have taken effect: %v", e.ChangeID, e.Key, e.Err)
}

// Unwrap returns the platform's last failure.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// Result returns ConfigUnknown.
func (e *UnknownOutcomeError) Result() result.Result {
	return result.New(result.ConfigUnknown, e.Error()).WithRetryAfter(retryAfter)
}

// NotFoundError says that the platform holds no object of this key.
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
