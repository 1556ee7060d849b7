package config

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with an object of the tree.
type Fault struct {
	// Path leads to the offending value, as in teams[2].share.
	Path string `json:"path"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// String renders the fault as path: reason.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// Error lists every fault found in one pass, so that an operator mends them
// together.
type Error struct {
	Faults []Fault
}

// maxShownFaults bounds the faults in one log line: an object of a megabyte can
// have a hundred thousand.
const maxShownFaults = 20

// Error joins the first faults into one line.
func (e *Error) Error() string {
	shown := e.Faults[:min(len(e.Faults), maxShownFaults)]
	lines := make([]string, len(shown))
	for i, f := range shown {
		lines[i] = f.String()
	}
	text := fmt.Sprintf("config: %d faults: %s", len(e.Faults), strings.Join(lines, "; "))
	if len(shown) < len(e.Faults) {
		text += "; ..."
	}
	return text
}

// faults collects what a check finds.
type faults []Fault

func (fs *faults) add(path, format string, args ...any) {
	*fs = append(*fs, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// addUnlessPathKnown adds later findings, but none below a path that already has a
// fault: a value of the wrong type would else be reported as empty as well.
func (fs *faults) addUnlessPathKnown(added faults) {
	known := make(map[string]bool, len(*fs))
	for _, f := range *fs {
		known[f.Path] = true
	}
	for _, f := range added {
		if !known[f.Path] {
			*fs = append(*fs, f)
		}
	}
}

// err returns the faults as an error, or nil if there are none.
func (fs faults) err() error {
	if len(fs) == 0 {
		return nil
	}
	return &Error{Faults: fs}
}

// maxQuotedBytes bounds what a fault repeats of the object.
const maxQuotedBytes = 100

// clip shortens a value of any length for a fault.
func clip(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}

func indexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

func fieldPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
