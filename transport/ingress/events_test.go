package ingress

import (
	"slices"
	"strconv"
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
		events := rapid.SliceOf(rapid.StringMatching(`(data: [a-z ]{0,9}|event: [a-z]{1,9}|:[a-z ]{0,9})`)).Draw(t, "lines")
		ids := rapid.SliceOfNDistinct(rapid.IntRange(1, 9999), len(events), len(events), rapid.ID).Draw(t, "ids")
		slices.Sort(ids)
		numbered := rapid.Bool().Draw(t, "numbered")
		want := ""
		var text strings.Builder
		for i, line := range events {
			if isField := line[0] != ':'; isField && numbered {
				want = strconv.Itoa(ids[i])
				text.WriteString("id: " + want + newline)
			}
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

// Bytes that belong to no answer arrive within a stream, with ends of events
// among them. They were passed on as events of the stream.
func TestEventsOutOfOrderEndTheStream(t *testing.T) {
	const sound = "id: 4\ndata: a\n\n"
	for name, c := range map[string]struct {
		events string
		err    error
	}{
		"zeros":                   {"\x00\x00\n\n", errNoEvent},
		"random bytes":            {"\xfe\x81\n\n", errNoEvent},
		"text":                    {"HTTP/1.1 200 OK\r\n\r\n", errEventOrder},
		"event without a number":  {"data: b\n\n", errEventOrder},
		"the same event":          {sound, errEventOrder},
		"an earlier event":        {"id: 3\ndata: a\n\n", errEventOrder},
		"empty lines without end": {strings.Repeat("\n", maxEventBytes+1), errEventTooLong},
		"comments without end":    {strings.Repeat(":\n\n", maxEventBytes), errEventTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			var s eventSplitter
			complete, err := s.add([]byte(sound + c.events + "id: 5\ndata: a\n\n"))
			require.ErrorIs(t, err, c.err)
			require.True(t, strings.HasPrefix(string(complete), sound), "the events before are passed on")
			require.NotContains(t, string(complete), "id: 5")
			require.Equal(t, "4", s.lastID)
		})
	}
}

// Ids that are no numbers have no order, and servers may send comments to keep a
// connection open.
func TestEventsThatAreInOrder(t *testing.T) {
	for _, events := range []string{"id: b\n\nid: a\n\n", "data: a\n\ndata: b\n\n", ": wait\n\nid: 3\n\n:\n\n\n\nid: 9\n\n", "weight-versions: 2\nid: 1\ndata: a\n\n"} {
		var s eventSplitter
		complete, err := s.add([]byte(events))
		require.NoError(t, err)
		require.Equal(t, events, string(complete))
	}
}
