package logstory

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	lost = `time=2026-08-01T16:36:17.065Z level=warn event="attempt ended" attempt=1 cause="upstream: attempt ended sent: read: connection reset by peer" code=3002 fate=3 id=a1 last_event="" upstream=i-1`
	end  = `time=2026-08-01T16:36:17.140Z level=info event=request attempts=2 code=0 decision=admitted first_ms=130 id=a1 limit_ms=500 own_ms=60 ran=yes route=r1 service=s share_used=0 total_ms=900 upstream=i-2 wait_ms=12 workspace=w`
	over = `time=2026-08-01T16:36:18.000Z level=warn event=request attempts=0 code=2011 decision=over-share id=b2 limit_ms=30 own_ms=60 ran=no retry_after_ms=210 share_used=1.3 total_ms=0 upstream=i-2 wait_ms=90 workspace=w`
)

func collect(t *testing.T, id string, logs ...string) Story {
	t.Helper()
	readers := make(map[string]io.Reader)
	for i, text := range logs {
		readers[string(rune('a'+i))+".log"] = strings.NewReader(text)
	}
	story, err := Collect(id, readers)
	require.NoError(t, err)
	return story
}

func TestStoryOfTwoRouters(t *testing.T) {
	story := collect(t, "a1", end+"\n"+over+"\n", "  1.1025 edge-7 "+lost+"\n")
	var out strings.Builder
	require.NoError(t, story.Write(&out))
	require.Equal(t, `16:36:17.065  b.log  attempt 1 at i-1 ended: upstream: attempt ended sent: read: connection reset by peer
16:36:17.140  a.log  ended with 0 ok after 900 ms, 2 attempt(s), upstream i-2
Served: first byte after 130 ms; expected 12 ms of waiting and 60 ms of its own.
`, out.String())
}

func TestVerdicts(t *testing.T) {
	require.Contains(t, collect(t, "b2", over).Verdict(), "workspace w had 1.3 of its fair share")
	beyond := strings.NewReplacer("share_used=1.3", "share_here=1.4 share_used=0.8", "wait_ms=90", "wait_ms=0").Replace(over)
	require.Contains(t, collect(t, "b2", beyond).Verdict(), "had 0.8 of its fair share, and 1.4 of it here, too much for an idle engine")
	require.Contains(t, collect(t, "none", over).Verdict(), "No line bears the id")
	require.Contains(t, collect(t, "a1", lost).Verdict(), "no final line")
}

func TestDamagedLinesAreCounted(t *testing.T) {
	story := collect(t, "a1", end+"\nrubbish\n"+lost[:90]+"\n")
	require.Len(t, story.Lines, 1)
	require.Equal(t, 2, story.Damaged)
	var out strings.Builder
	require.NoError(t, story.Write(&out))
	require.Contains(t, out.String(), "2 of 3 lines could not be read.")
}

func FuzzParseLine(f *testing.F) {
	f.Add(end)
	f.Add(`event="a`)
	f.Fuzz(func(_ *testing.T, text string) { ParseLine("f", text) })
}
