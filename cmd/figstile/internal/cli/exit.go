package cli

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/admin"
)

// Exit codes. They are documented in docs/OPERATIONS.md and in --help, and
// scripts rely on them.
const (
	exitOK          = 0
	exitInternal    = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
	exitDiffers     = 7
)

// exitCoder is an error that determines the exit code of the process.
type exitCoder interface {
	error
	exitCode() int
}

// usageError reports a mistake in the command line that the parser cannot
// detect.
type usageError string

func (e usageError) Error() string { return string(e) }

func (e usageError) exitCode() int { return exitUsage }

// differsError reports that two objects differ. Its text is empty, because the
// differences have already been printed.
type differsError struct{}

func (differsError) Error() string { return "" }

func (differsError) exitCode() int { return exitDiffers }

// unavailableError reports that no router could be reached and that nothing was
// changed.
type unavailableError struct {
	server string
	err    error
}

func (e *unavailableError) Error() string {
	return fmt.Sprintf("%s does not answer, nothing was changed: %v", e.server, e.err)
}

func (e *unavailableError) Unwrap() error { return e.err }

func (e *unavailableError) exitCode() int { return exitUnavailable }

// unknownOutcomeError reports that a change was sent but that it is unknown
// whether it took effect.
type unknownOutcomeError struct {
	changeID   string
	repeatable bool
	err        error
}

func (e *unknownOutcomeError) Error() string {
	text := fmt.Sprintf("the change may or may not be in force: %v\n"+
		"  figstile config history shows whether change %s is", e.err, e.changeID)
	if e.repeatable {
		text += ";\n  repeated with --change-id=" + e.changeID + " the command takes effect once at most"
	}
	return text
}

func (e *unknownOutcomeError) Unwrap() error { return e.err }

func (e *unknownOutcomeError) exitCode() int { return exitUnknown }

// problemError is the problem document with which a router refused a request.
type problemError struct {
	admin.Problem
}

// exitCodes maps result codes to exit codes. All other result codes map to
// exitRefused.
var exitCodes = map[result.Code]int{
	result.ConfigConflict:      exitConflict,
	result.PlatformUnavailable: exitUnavailable,
	result.NotReady:            exitUnavailable,
	result.Draining:            exitUnavailable,
	result.ConfigUnknown:       exitUnknown,
	result.Internal:            exitInternal,
}

func (e *problemError) exitCode() int {
	if code, ok := exitCodes[result.Code(e.Code)]; ok {
		return code
	}
	return exitRefused
}

// Error describes the refusal. It lists all faults if there are several. For a
// conflict it adds the change that is in force instead of the refused one.
func (e *problemError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%d): %s", e.Title, e.Code, e.Detail)
	if len(e.Faults) > 1 {
		writeFaults(&b, e.Faults)
	}
	if e.Conflict != nil {
		b.WriteString(describeWinner(e.Conflict))
	}
	return b.String()
}

func writeFaults(b *strings.Builder, faults []config.Fault) {
	for _, f := range faults {
		fmt.Fprintf(b, "\n  %s", f)
	}
}

// describeWinner describes the change with which a refused change conflicted.
func describeWinner(c *admin.Conflict) string {
	text := fmt.Sprintf("\n  in force: %s version %d (expected %d)", c.Key, c.Version, c.Expected)
	if c.Winner == nil {
		return text
	}
	return text + fmt.Sprintf("\n  changed by %s at %s: %s\n  change %s",
		c.Winner.By, c.Winner.At.Format(time.RFC3339), c.Winner.Summary, c.Winner.ID)
}

// isUnknownOutcome reports whether an error means that a change was sent and may
// have taken effect.
func isUnknownOutcome(err error) bool {
	var unknown *unknownOutcomeError
	return errors.As(err, &unknown)
}
