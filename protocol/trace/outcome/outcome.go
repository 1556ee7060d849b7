package outcome

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/trace"
)

const (
	// maxEvidence bounds the number of violations that a failed check prints.
	maxEvidence = 5
	// attemptsPerSend is how often an idempotent request may be dispatched per
	// send: one attempt and one retry.
	attemptsPerSend = 2
)

// Check is the result of checking one guarantee.
type Check struct {
	Name string
	// Examined counts the records that the check applied to. If it is zero, a
	// passed check proves nothing.
	Examined int
	// Failures counts the violations. Evidence describes the first of them.
	Failures int
	Evidence []string
}

// Passed reports whether there was no violation.
func (c Check) Passed() bool { return c.Failures == 0 }

// String returns the result as one line.
func (c Check) String() string {
	verdict := "passed"
	if !c.Passed() {
		verdict = "failed"
	}
	text := fmt.Sprintf("%s %s examined=%d failures=%d", verdict, c.Name, c.Examined, c.Failures)
	if len(c.Evidence) > 0 {
		text += " evidence: " + strings.Join(c.Evidence, "; ")
	}
	return text
}

func (c *Check) fail(format string, args ...any) {
	c.Failures++
	if len(c.Evidence) < maxEvidence {
		c.Evidence = append(c.Evidence, fmt.Sprintf(format, args...))
	}
}

// Records holds the records of a trace by kind, each in the order of the trace.
type Records struct {
	Callers   []trace.CallerRecord
	Upstreams []trace.UpstreamRecord
	Leaving   []trace.LeavingRecord
	Config    []trace.ConfigRecord
}

// Read collects the records of merged traces. Announcements that a scheduler
// received count like those of the platform.
func Read(in io.Reader) (Records, error) {
	var records Records
	reader := trace.NewReader(in)
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, err
		}
		records.add(record)
	}
}

func (r *Records) add(record trace.Record) {
	switch v := record.(type) {
	case trace.CallerRecord:
		r.Callers = append(r.Callers, v)
	case trace.UpstreamRecord:
		r.Upstreams = append(r.Upstreams, v)
	case trace.LeavingRecord:
		r.Leaving = append(r.Leaving, v)
	case trace.ConfigRecord:
		r.Config = append(r.Config, v)
	case trace.StepRecord:
		if leaving, ok := v.Event.Event.(scheduler.UpstreamLeaving); ok {
			r.Leaving = append(r.Leaving, trace.LeavingRecord{Upstream: leaving.Upstream, Boot: leaving.Boot, At: v.Time})
		}
	}
}

// RunChecks returns the results of all checks. An upstream may receive work for
// leavingGrace after it was announced as leaving.
func RunChecks(r Records, leavingGrace time.Duration) []Check {
	return []Check{
		CheckNotRun(r),
		CheckAtMostOnce(r),
		CheckWholeAnswers(r),
		CheckLeaving(r, leavingGrace),
		CheckConfig(r),
	}
}
