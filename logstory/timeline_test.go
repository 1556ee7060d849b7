package logstory

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	attemptLostLine = `time=2026-08-01T16:36:17.065Z level=warn event="attempt ended" attempt=1 cause="upstream: attempt ended sent: read: connection reset by peer" code=3002 fate=3 id=a1 last_event="" upstream=i-1`
	servedLine      = `time=2026-08-01T16:36:17.140Z level=info event=request attempts=2 code=0 decision=admitted first_ms=130 id=a1 limit_ms=500 own_ms=60 ran=yes route=r1 service=s share_used=0 total_ms=900 upstream=i-2 wait_ms=12 workspace=w`
	overShareLine   = `time=2026-08-01T16:36:18.000Z level=warn event=request attempts=0 code=2011 decision=over-share id=b2 limit_ms=30 own_ms=60 ran=no retry_after_ms=210 share_used=1.3 total_ms=0 upstream=i-2 wait_ms=90 workspace=w`
)

func collectTimeline(t *testing.T, id string, logs ...string) Timeline {
	t.Helper()
	readers := make(map[string]io.Reader)
	for i, text := range logs {
		readers[string(rune('a'+i))+".log"] = strings.NewReader(text)
	}
	timeline, err := Collect(id, readers)
	require.NoError(t, err)
	return timeline
}

func TestTimelineMergesTwoLogs(t *testing.T) {
	timeline := collectTimeline(t, "a1", servedLine+"\n"+overShareLine+"\n", "  1.1025 edge-7 "+attemptLostLine+"\n")
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	require.Equal(t, `16:36:17.065  b.log  attempt 1 at i-1 ended: upstream: attempt ended sent: read: connection reset by peer
16:36:17.140  a.log  ended with 0 ok after 900 ms, 2 attempt(s), upstream i-2
Served: first byte after 130 ms; expected 12 ms of waiting and 60 ms of its own.
`, out.String())
}

func TestExplanations(t *testing.T) {
	require.Contains(t, collectTimeline(t, "b2", overShareLine).Explanation(), "workspace w had 1.3 of its fair share")
	aboveIdleShare := strings.NewReplacer("share_used=1.3", "share_here=1.4 share_used=0.8", "wait_ms=90", "wait_ms=0").Replace(overShareLine)
	require.Contains(t, collectTimeline(t, "b2", aboveIdleShare).Explanation(), "had 0.8 of its fair share, and 1.4 of it here, too much for an idle engine")
	require.Contains(t, collectTimeline(t, "none", overShareLine).Explanation(), "No line bears the id")
	require.Contains(t, collectTimeline(t, "a1", attemptLostLine).Explanation(), "no final line")
}

func TestMalformedLinesAreCounted(t *testing.T) {
	timeline := collectTimeline(t, "a1", servedLine+"\nrubbish\n"+attemptLostLine[:90]+"\n")
	require.Len(t, timeline.Lines, 1)
	require.Equal(t, 2, timeline.MalformedLines)
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	require.Contains(t, out.String(), "2 of 3 lines could not be read.")
}

func FuzzParseLine(f *testing.F) {
	f.Add(servedLine)
	f.Add(`event="a`)
	f.Fuzz(func(_ *testing.T, text string) { ParseLine("f", text) })
}
