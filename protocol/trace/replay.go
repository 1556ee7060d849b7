package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// Stepper is a scheduler whose steps can be recorded and replayed.
type Stepper interface {
	Step(now time.Time, event scheduler.Event) []scheduler.Action
}

// RecordSteps returns a Stepper that passes each step to s and records it.
func RecordSteps(s Stepper, r *Recorder) Stepper { return recordingStepper{s, r} }

type recordingStepper struct {
	inner    Stepper
	recorder *Recorder
}

// Step processes the event and records the step.
func (r recordingStepper) Step(now time.Time, event scheduler.Event) []scheduler.Action {
	actions := r.inner.Step(now, event)
	r.recorder.Step(now, event, actions)
	return actions
}

// Run identifies one incarnation of a router in a trace.
type Run struct {
	Router      state.Router
	Incarnation state.Incarnation
}

// Difference is a step whose replayed actions differ from the recorded ones.
type Difference struct {
	Run
	Sequence uint64
	// Event, Recorded and Replayed are JSON.
	Event, Recorded, Replayed string
}

// Gap is a place in a run where steps are missing. The run is not replayed
// beyond it.
type Gap struct {
	Run
	// After is the last step before the gap, and Next the first step after it.
	After, Next uint64
}

// Report is the result of a replay.
type Report struct {
	// Runs and Steps count the replayed runs and steps.
	Runs, Steps int
	// Skipped counts the steps after a gap or difference of their run.
	Skipped int
	// Differences holds only the first difference of each run, because later
	// ones follow from it.
	Differences []Difference
	Gaps        []Gap
	// Truncated is set if the trace ends within a line.
	Truncated bool
}

// Exact reports whether every step was replayed with the same actions.
func (r Report) Exact() bool {
	return len(r.Differences) == 0 && len(r.Gaps) == 0 && r.Skipped == 0
}

// String returns one line with the numbers and one line per difference and gap.
func (r Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "runs=%d steps=%d skipped=%d differences=%d gaps=%d truncated=%t", r.Runs, r.Steps, r.Skipped, len(r.Differences), len(r.Gaps), r.Truncated)
	for _, d := range r.Differences {
		fmt.Fprintf(&out, "\ndifference router=%s incarnation=%d sequence=%d event=%s recorded=%s replayed=%s", d.Router, d.Incarnation, d.Sequence, d.Event, d.Recorded, d.Replayed)
	}
	for _, g := range r.Gaps {
		fmt.Fprintf(&out, "\ngap router=%s incarnation=%d after=%d next=%d", g.Router, g.Incarnation, g.After, g.Next)
	}
	return out.String()
}

// Replay passes the steps of a trace to new schedulers, one per incarnation of
// a router, and compares their actions with the recorded ones. Other records
// are skipped. It returns an error if the trace cannot be read.
func Replay(r io.Reader, factory func(router state.Router, incarnation state.Incarnation) Stepper) (Report, error) {
	p := replayer{factory: factory, runs: make(map[Run]*replayRun)}
	in := NewReader(r)
	for {
		record, err := in.Next()
		switch {
		case errors.Is(err, io.EOF):
			return p.report, nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			p.report.Truncated = true
			return p.report, nil
		case err != nil:
			return p.report, err
		}
		if step, ok := record.(StepRecord); ok {
			if err := p.step(step); err != nil {
				return p.report, err
			}
		}
	}
}

type replayer struct {
	factory func(state.Router, state.Incarnation) Stepper
	runs    map[Run]*replayRun
	report  Report
}

type replayRun struct {
	stepper      Stepper
	lastSequence uint64
	// stopped is set after a gap or difference, because the scheduler's state
	// no longer matches the recording.
	stopped bool
}

func (p *replayer) step(record StepRecord) error {
	id := Run{Router: record.Router, Incarnation: record.Incarnation}
	run, ok := p.runs[id]
	if !ok {
		run = &replayRun{stepper: p.factory(id.Router, id.Incarnation)}
		p.runs[id] = run
		p.report.Runs++
	}
	if !run.stopped && record.Sequence != run.lastSequence+1 {
		run.stopped = true
		p.report.Gaps = append(p.report.Gaps, Gap{Run: id, After: run.lastSequence, Next: record.Sequence})
	}
	if run.stopped {
		p.report.Skipped++
		return nil
	}
	run.lastSequence = record.Sequence
	p.report.Steps++
	difference, err := replayStep(run.stepper, record)
	if difference != nil {
		run.stopped = true
		difference.Run = id
		p.report.Differences = append(p.report.Differences, *difference)
	}
	return err
}

// replayStep compares actions by their JSON form, because the trace contains
// only that.
func replayStep(stepper Stepper, record StepRecord) (*Difference, error) {
	want, err := json.Marshal(record.Actions)
	if err != nil {
		return nil, err
	}
	got, err := json.Marshal(wrapActions(stepper.Step(record.Time, record.Event.Event)))
	if err != nil {
		return nil, err
	}
	if bytes.Equal(want, got) {
		return nil, nil
	}
	event, err := json.Marshal(record.Event)
	return &Difference{Sequence: record.Sequence, Event: string(event), Recorded: string(want), Replayed: string(got)}, err
}
