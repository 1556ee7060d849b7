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

// LeavingGrace is how long after its announcement an upstream may still get
// work: "a few seconds" of the stated outcome.
const LeavingGrace = 5 * time.Second

// ErrNoTrace says that a directory holds no trace.
var ErrNoTrace = errors.New("replay: no trace found")

// Report is the verdict on one directory.
type Report struct {
	// Lines has one line per trace and per stated outcome.
	Lines  []string
	Passed int
	Failed int
}

// String returns the lines and the counts.
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

// CheckDir replays every trace of a directory and checks the outcomes over all of
// them. The error is one of reading.
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

// replayTrace feeds one trace to today's scheduler. A trace of callers or
// upstreams has no steps.
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

// checkOutcomes verifies the stated outcomes over the records of all files.
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
