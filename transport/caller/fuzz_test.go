package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzEvents feeds a stream to one scanner as a whole and to another in two
// parts. The split must not change the counts, because otherwise the charge
// would depend on how the network splits the stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[]}\n\ndata: [DONE]\n\n"), 9)
	f.Add([]byte("data:{\"usage\": {\"prompt_tokens\":3,\"completion_tokens\":-1}}\r\n\r\n"), 30)
	f.Add([]byte("event: x\rdata: {\"content\":\"\\\"usage\\\":{\"}\r\rdata:[DONE]"), 17)
	f.Fuzz(func(t *testing.T, stream []byte, at int) {
		var whole, parts eventScanner
		whole.feed(stream)
		at = min(max(at, 0), len(stream))
		parts.feed(stream[:at])
		parts.feed(stream[at:])
		require.Equal(t, whole.tokens, parts.tokens)
		require.Equal(t, whole.usage, parts.usage)
		require.Equal(t, whole.doneSeen, parts.doneSeen)
		require.GreaterOrEqual(t, whole.tokens, int64(0))
	})
}

// FuzzHeaders checks the limits on the headers that callers send.
func FuzzHeaders(f *testing.F) {
	f.Add("1500", "long", "k-1", "close, X-Trace")
	f.Add("2026-03-02T08:00:00+01:00", "", "", "")
	f.Add("-1", "a b", "\x00", ",")
	f.Fuzz(func(t *testing.T, deadline, class, key, connection string) {
		now := time.Unix(1_772_000_000, 0)
		header := http.Header{
			HeaderDeadline:       {deadline},
			HeaderClass:          {class},
			HeaderIdempotencyKey: {key},
			"Connection":         {connection},
			"Authorization":      {"Bearer " + key},
			"X-Trace":            {"1"},
		}
		h, err := parseHints(header, now)
		if err == nil {
			require.LessOrEqual(t, h.deadline.Sub(now), maxDeadline)
			require.LessOrEqual(t, len(h.class), maxClassBytes)
			require.NotEmpty(t, h.key)
		}
		passed := upstreamHeader(header, true)
		for _, name := range []string{"Authorization", "Connection", HeaderDeadline, HeaderClass} {
			require.NotContains(t, passed, name)
		}
	})
}
