package config

import (
	"fmt"
	"strings"
)

// Fault describes one error in an object of the tree.
type Fault struct {
	// Path is the path of the invalid value, for example teams[2].share.
	Path string `json:"path"`
	// Reason describes the error.
	Reason string `json:"reason"`
}

// String formats the fault as "path: reason".
func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// Error lists all faults found in one pass, so that an operator can fix them
// together.
type Error struct {
	Faults []Fault
}

// maxShownFaults bounds the number of faults in one log line. An object of one
// megabyte can have a hundred thousand faults.
const maxShownFaults = 20

// Error joins the first maxShownFaults faults into one line.
func (e *Error) Error() string {
	shownFaults := e.Faults[:min(len(e.Faults), maxShownFaults)]
	lines := make([]string, len(shownFaults))
	for i, f := range shownFaults {
		lines[i] = f.String()
	}
	text := fmt.Sprintf("config: %d faults: %s", len(e.Faults), strings.Join(lines, "; "))
	if len(shownFaults) < len(e.Faults) {
		text += "; ..."
	}
	return text
}

// faults collects the faults that a check finds.
type faults []Fault

func (fs *faults) add(path, format string, args ...any) {
	*fs = append(*fs, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// addUnlessPathKnown adds the faults whose path has no fault yet. Otherwise a
// value of the wrong type would also be reported as empty.
func (fs *faults) addUnlessPathKnown(added faults) {
	knownPaths := make(map[string]bool, len(*fs))
	for _, f := range *fs {
		knownPaths[f.Path] = true
	}
	for _, f := range added {
		if !knownPaths[f.Path] {
			*fs = append(*fs, f)
		}
	}
}

// err returns the faults as an *Error, or nil if there are none.
func (fs faults) err() error {
	if len(fs) == 0 {
		return nil
	}
	return &Error{Faults: fs}
}

// maxQuotedBytes bounds the length of a value that a fault quotes from an
// object.
const maxQuotedBytes = 100

// clip shortens a value to maxQuotedBytes for a fault.
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
