package trace

import (
	"bufio"
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC)

// TestRegistryIsComplete reads the scheduler's source code. A new event or
// action that is not registered must fail this test instead of being absent
// from traces.
func TestRegistryIsComplete(t *testing.T) {
	found := map[string][]string{}
	files, err := filepath.Glob("../../coordination/scheduler/*.go")
	require.NoError(t, err)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if ok && f.Recv != nil && (f.Name.Name == "event" || f.Name.Name == "action") {
				found[f.Name.Name] = append(found[f.Name.Name], f.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
	}
	require.NotEmpty(t, found["event"])
	require.ElementsMatch(t, found["event"], names(events))
	require.ElementsMatch(t, found["action"], names(actions))
}

func names[T any](r registry[T]) (list []string) {
	for name := range r {
		list = append(list, name)
	}
	return list
}

// fill sets all fields of a value to values other than zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(start))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
		fill(v.Index(1))
	case reflect.String:
		v.SetString("ñandú")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(1<<31 - 1)
	case reflect.Uint64:
		v.SetUint(1<<64 - 1)
	case reflect.Uint8, reflect.Uint16:
		v.SetUint(3)
	case reflect.Float64:
		v.SetFloat(1.0 / 3)
	default:
		panic("fill does not support type " + v.Type().String())
	}
}

func TestEveryTypeRoundTrips(t *testing.T) {
	var want []Record
	for _, typ := range events {
		v := reflect.New(typ).Elem()
		fill(v)
		want = append(want, StepRecord{Router: "r", Incarnation: 1, Time: start, Event: Event{v.Interface().(scheduler.Event)}, Actions: []Action{}})
	}
	for _, typ := range actions {
		v := reflect.New(typ).Elem()
		fill(v)
		want = append(want, StepRecord{Router: "r", Incarnation: 1, Time: start, Event: Event{scheduler.Tick{}}, Actions: []Action{{v.Interface().(scheduler.Action)}}})
	}
	for _, record := range []Record{&CallerRecord{}, &UpstreamRecord{}, &LeavingRecord{}, &ConfigRecord{}} {
		v := reflect.ValueOf(record).Elem()
		fill(v)
		want = append(want, v.Interface().(Record))
	}
	var file bytes.Buffer
	recorder := NewRecorder(&file, "r", 1)
	for _, record := range want {
		recorder.Record(record)
	}
	require.NoError(t, recorder.Close())
	require.Zero(t, recorder.Dropped())
	in := NewReader(&file)
	for _, record := range want {
		got, err := in.Next()
		require.NoError(t, err)
		require.Equal(t, record, got)
	}
	_, err := in.Next()
	require.ErrorIs(t, err, io.EOF)
}

// refusalCounter refuses each arriving request. The retry time in the refusal
// is the number of arrivals so far.
type refusalCounter struct{ seen, bias int }

func (c *refusalCounter) Step(_ time.Time, event scheduler.Event) []scheduler.Action {
	arrived, ok := event.(scheduler.Arrived)
	if !ok {
		return nil
	}
	c.seen++
	return []scheduler.Action{scheduler.Refuse{ID: arrived.Request.ID, Result: result.New(result.QueueFull, "").WithRetryAfter(time.Duration(c.seen+c.bias) * time.Second)}}
}

func recordCounter(t *testing.T) string {
	var file bytes.Buffer
	for _, router := range []state.Router{"a", "b"} {
		recorder := NewRecorder(&file, router, 1)
		stepper := RecordSteps(&refusalCounter{}, recorder)
		for i := range 5 {
			stepper.Step(start, scheduler.Tick{})
			stepper.Step(start, scheduler.Arrived{Request: scheduler.Request{ID: state.RequestID(i)}})
		}
		recorder.Record(CallerRecord{})
		require.NoError(t, recorder.Close())
	}
	return file.String()
}

func TestReplay(t *testing.T) {
	trace := recordCounter(t)
	same := func(state.Router, state.Incarnation) Stepper { return &refusalCounter{} }
	report, err := Replay(strings.NewReader(trace), same)
	require.NoError(t, err)
	require.True(t, report.Exact(), report)
	require.Equal(t, Report{Runs: 2, Steps: 20}, report)

	report, err = Replay(strings.NewReader(trace), func(r state.Router, _ state.Incarnation) Stepper {
		return &refusalCounter{bias: map[state.Router]int{"b": 1}[r]}
	})
	require.NoError(t, err)
	require.Len(t, report.Differences, 1)
	require.Equal(t, Run{Router: "b", Incarnation: 1}, report.Differences[0].Run)
	require.EqualValues(t, 2, report.Differences[0].Sequence)
	require.Equal(t, 8, report.Skipped)

	lines := strings.SplitAfter(trace, "\n")
	report, err = Replay(strings.NewReader(strings.Join(lines[:2], "")+strings.Join(lines[3:7], "")+lines[7][:10]), same)
	require.NoError(t, err)
	require.Equal(t, []Gap{{Run: Run{Router: "a", Incarnation: 1}, After: 2, Next: 4}}, report.Gaps)
	require.True(t, report.Truncated)
	require.False(t, report.Exact())

	_, err = Replay(strings.NewReader(`{"kind":"step","record":{"event":{"type":"Unheard","value":{}}}}`), same)
	var unknown *TypeError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "Unheard", unknown.Name)
}

// blockedWriter is a disk that blocks until it is released and then fails.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write([]byte) (int, error) {
	<-s.release
	return 0, errors.New("no space")
}

// Writing the trace file blocks, as on a network disk. The scheduler must not
// block: records are dropped, and both Dropped and the error of Close must
// report the loss.
func TestBlockedWriterDoesNotBlockTheScheduler(t *testing.T) {
	disk := blockedWriter{make(chan struct{})}
	recorder := NewRecorder(disk, "r", 1)
	for range 3 * maxQueuedRecords {
		recorder.Step(start, scheduler.Tick{}, nil)
	}
	require.GreaterOrEqual(t, recorder.Dropped(), uint64(maxQueuedRecords))
	close(disk.release)
	require.Error(t, recorder.Close())
	recorder.Step(start, scheduler.Tick{}, nil)
}

// BenchmarkRecord measures the cost of recording a step on the scheduler's
// goroutine.
func BenchmarkRecord(b *testing.B) {
	recorder := NewRecorder(io.Discard, "r", 1)
	event := scheduler.Arrived{Request: scheduler.Request{ID: 1, Service: "drafts", Workspace: "guias"}}
	actions := []scheduler.Action{scheduler.Dispatch{ID: 1, Upstream: "u1", Attempt: 1}}
	for b.Loop() {
		recorder.Step(start, event, actions)
	}
	require.NoError(b, recorder.Close())
	b.ReportMetric(float64(recorder.Dropped())/float64(b.N), "dropped/op")
}

// BenchmarkWriteLine measures the cost of writing a step on the recorder's
// goroutine.
func BenchmarkWriteLine(b *testing.B) {
	out := bufio.NewWriter(io.Discard)
	event := Event{scheduler.Arrived{Request: scheduler.Request{ID: 1, Service: "drafts", Workspace: "guias"}}}
	record := StepRecord{Router: "r", Incarnation: 1, Sequence: 1, Time: start, Event: event, Actions: wrapActions([]scheduler.Action{scheduler.Dispatch{ID: 1, Upstream: "u1", Attempt: 1}})}
	for b.Loop() {
		require.NoError(b, writeLine(out, record))
	}
}
