package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// frozenTime returns the fixed time of these tests.
func frozenTime() time.Time { return time.Unix(1000, 0) }

func writeLines(t *testing.T, a *AsyncWriter, lines int, format string, args ...any) {
	t.Helper()
	for range lines {
		n, err := a.Write(fmt.Appendf(nil, format+"\n", args...))
		require.NoError(t, err)
		require.Positive(t, n)
	}
}

// TestFloodOfOneKindKeepsOtherKinds guards against a burst of refusals that
// fills the log. Without a rate for each kind it would push out the line that
// names the lost dependency, which the engineer on call is looking for, and
// there would be no sign that lines are missing.
func TestFloodOfOneKindKeepsOtherKinds(t *testing.T) {
	var out bytes.Buffer
	a := newAsyncWriter(&out, frozenTime)
	writeLines(t, a, 2*failureLinesPerSecond, "time=x level=warn event=request code=2010")
	writeLines(t, a, routineLinesPerSecond+7, "time=x level=info event=request code=0")
	writeLines(t, a, 1, `time=x level=warn event="store lost" error=refused`)
	a.flush()
	log := out.String()
	require.Equal(t, failureLinesPerSecond, strings.Count(log, "code=2010"))
	require.Equal(t, routineLinesPerSecond, strings.Count(log, "code=0"))
	require.Contains(t, log, `event="store lost"`)
	require.Contains(t, log, `event="log lines dropped" lines=600 of="level=warn event=request"`)
	require.Contains(t, log, `event="log lines dropped" lines=7 of="level=info event=request"`)
	out.Reset()
	a.flush()
	require.Empty(t, out.String())
}

func TestRateRecovers(t *testing.T) {
	var out bytes.Buffer
	now := frozenTime()
	a := newAsyncWriter(&out, func() time.Time { return now })
	writeLines(t, a, 2*routineLinesPerSecond, "time=x level=info event=request")
	now = now.Add(time.Second)
	writeLines(t, a, routineLinesPerSecond, "time=x level=info event=request")
	a.flush()
	require.Equal(t, 2*routineLinesPerSecond, strings.Count(out.String(), "level=info"+" event=request\n"))
}

// TestFullBufferKeepsFailures covers an output whose reader has stopped: the
// pending bytes are limited, and lines of failures are kept after lines of
// successes are dropped.
func TestFullBufferKeepsFailures(t *testing.T) {
	var out bytes.Buffer
	a := newAsyncWriter(&out, frozenTime)
	long := strings.Repeat("x", maxPendingBytes/routineLinesPerSecond)
	writeLines(t, a, routineLinesPerSecond, "time=x level=info event=request detail=%s", long)
	require.LessOrEqual(t, len(a.pending), maxRoutinePendingBytes)
	writeLines(t, a, 10, "time=x level=warn event=request detail=%s", long)
	require.LessOrEqual(t, len(a.pending), maxPendingBytes)
	a.flush()
	require.Equal(t, 10, strings.Count(out.String(), "level=warn event=request"))
	require.Regexp(t, `lines=1[5-9]\d of="level=info event=request"`, out.String())
}

func TestKindOfLine(t *testing.T) {
	for line, want := range map[string]string{
		"time=x level=info event=request id=a":         "level=info event=request",
		`time=x level=warn event="store lost" error=a`: `level=warn event="store lost"`,
		`time=x level=warn event="cut`:                 `level=warn event="cut`,
		"time=x level=info event=stopped\n":            "level=info event=stopped",
		"time=x level=info":                            "level=info",
		"rubbish":                                      otherKind,
		"":                                             otherKind,
	} {
		require.Equal(t, want, string(kindName([]byte(line))), line)
	}
}

func TestKindsAreBounded(t *testing.T) {
	var out bytes.Buffer
	a := newAsyncWriter(&out, frozenTime)
	for i := range 10 * maxKinds {
		writeLines(t, a, 1, "time=x level=info event=invented-%d", i)
	}
	require.LessOrEqual(t, len(a.throttle.kinds), maxKinds+1)
}

// BenchmarkAsyncWriter writes a line of the length of a request's line.
func BenchmarkAsyncWriter(b *testing.B) {
	a := newAsyncWriter(&bytes.Buffer{}, frozenTime)
	line := []byte("time=x level=info event=request " + strings.Repeat("x", 350))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = a.Write(line)
	}
}

// writeRecorder records each write separately.
type writeRecorder [][]byte

func (w *writeRecorder) Write(b []byte) (int, error) {
	*w = append(*w, bytes.Clone(b))
	return len(b), nil
}

// TestBatchesFitAtomicPipeWrites guards against batches that a pipe accepts in
// parts, so that a collector receives lines cut, mixed with those of other
// processes, or not at all.
func TestBatchesFitAtomicPipeWrites(t *testing.T) {
	var out writeRecorder
	a := newAsyncWriter(&out, frozenTime)
	writeLines(t, a, 100, "time=x level=info event=request detail=%s", strings.Repeat("x", 300))
	writeLines(t, a, 1, "time=x level=warn event=long detail=%s", strings.Repeat("y", 2*maxAtomicWriteBytes))
	writeLines(t, a, 1, "time=x level=info event=stopped")
	a.flush()
	lines := 0
	for _, piece := range out {
		require.True(t, bytes.HasSuffix(piece, []byte("\n")), "a line was split")
		n := bytes.Count(piece, []byte("\n"))
		require.True(t, len(piece) <= maxAtomicWriteBytes || n == 1, "%d lines in %d bytes", n, len(piece))
		lines += n
	}
	require.Equal(t, 102, lines)
}
