package ingress

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any division of a stream into reads, complete events are returned once
// and in order, and the rest is the partial event.
func TestEventsAreSplitAtAnyReadBoundary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		events := rapid.SliceOf(rapid.StringMatching(`(id: [0-9]{1,4}|data: [a-z ]{0,9})`)).Draw(t, "lines")
		var text strings.Builder
		for _, line := range events {
			text.WriteString(line + newline + newline)
		}
		complete := text.String()
		torn := rapid.SampledFrom([]string{"", "data: x", "id: 7" + newline}).Draw(t, "torn")
		stream := []byte(complete + torn)
		var s eventSplitter
		var out strings.Builder
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "read")
			complete, err := s.add(stream[:n])
			require.NoError(t, err)
			out.Write(complete)
			stream = stream[n:]
		}
		if out.String() != complete {
			t.Fatalf("got %q, want %q", out.String(), complete)
		}
		if s.hasPartial() != (torn != "") {
			t.Fatalf("torn is %v after %q", s.hasPartial(), torn)
		}
		want := ""
		for _, line := range events {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				want = id
			}
		}
		if s.lastID != want {
			t.Fatalf("last id %q, want %q", s.lastID, want)
		}
	})
}

func TestEventIDAmongOtherFields(t *testing.T) {
	var s eventSplitter
	complete, err := s.add([]byte("event: e\nid: 12\ndata: a\n\nid: 13\nda"))
	require.NoError(t, err)
	require.NotEmpty(t, complete)
	require.Equal(t, "12", s.lastID)
}
