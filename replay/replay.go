package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/protocol/trace/outcome"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/daemon"
)

// LeavingGrace is how long an upstream may still receive requests after it
// announced that it leaves. The stated outcome allows "a few seconds".
const LeavingGrace = 5 * time.Second

// ErrNoTrace is returned if a directory contains no trace.
var ErrNoTrace = errors.New("replay: no trace found")

// Report is the result of all checks of one directory.
type Report struct {
	// Lines has one line per replayed trace and one per stated outcome.
	Lines []string
	// Passed and Failed are the numbers of lines that passed and failed.
	Passed int
	Failed int
}

// String returns the lines, followed by the numbers of passed and failed checks.
func (r Report) String() string {
	return fmt.Sprintf("%s\n%d passed, %d failed", strings.Join(r.Lines, "\n"), r.Passed, r.Failed)
}

func (r *Report) add(name string, passed bool, detail string) {
	verdict := "passed"
	if passed {
		r.Passed++
	} else {
		verdict = "FAILED"
		r.Failed++
	}
	r.Lines = append(r.Lines, fmt.Sprintf("%s %s: %s", verdict, name, detail))
}

// CheckDir replays every trace of a directory and checks the stated outcomes over
// the records of all traces. It returns an error only if the traces cannot be
// found or read; failed checks are counted in the report.
func CheckDir(dir string) (Report, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+daemon.TraceSuffix))
	if err != nil {
		return Report{}, err
	}
	if len(files) == 0 {
		return Report{}, fmt.Errorf("%w in %s", ErrNoTrace, dir)
	}
	var report Report
	for _, file := range files {
		if err := report.replayTrace(file); err != nil {
			return report, fmt.Errorf("%s: %w", file, err)
		}
	}
	return report, report.checkOutcomes(files)
}

// replayTrace replays one trace through the current scheduler. It skips a trace
// without an options file: a trace of callers or upstreams contains no steps of a
// scheduler.
func (r *Report) replayTrace(file string) error {
	options, err := readOptions(strings.TrimSuffix(file, daemon.TraceSuffix) + daemon.TraceOptionsSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	comparison, err := trace.Replay(in, func(state.Router, state.Incarnation) trace.Stepper {
		return scheduler.New(options)
	})
	if err != nil {
		return err
	}
	r.add(filepath.Base(file), comparison.Exact() && comparison.Steps > 0, comparison.String())
	return nil
}

func readOptions(file string) (scheduler.Options, error) {
	var options scheduler.Options
	encoded, err := os.ReadFile(file)
	if err != nil {
		return options, err
	}
	return options, json.Unmarshal(encoded, &options)
}

// checkOutcomes checks the stated outcomes over the merged records of all files.
func (r *Report) checkOutcomes(files []string) error {
	var readers []io.Reader
	for _, file := range files {
		in, err := os.Open(file)
		if err != nil {
			return err
		}
		defer in.Close()
		readers = append(readers, in)
	}
	records, err := outcome.Read(io.MultiReader(readers...))
	if err != nil {
		return err
	}
	for _, c := range outcome.RunChecks(records, LeavingGrace) {
		r.add(c.Name, c.Passed(), c.String())
	}
	return nil
}
