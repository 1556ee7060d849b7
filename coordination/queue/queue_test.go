package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

var now = time.Unix(1000, 0)

func item(id state.RequestID, bytes int64, deadline time.Duration) Item {
	return Item{Key: Key{Service: "s", Workspace: "w"}, ID: id, Bytes: bytes, Deadline: now.Add(deadline)}
}

func TestAdmitRefusesByBound(t *testing.T) {
	s := New(Limits{Requests: 3, Bytes: 100})
	limits := Limits{Requests: 2, Bytes: 50}
	require.Equal(t, result.QueueBytesFull, s.Admit(now, item(1, 51, time.Minute), limits))
	require.Equal(t, result.DeadlineTooShort, s.Admit(now, item(1, 1, 0), limits))
	require.Equal(t, result.OK, s.Admit(now, item(1, 20, time.Minute), limits))
	require.Equal(t, result.QueueBytesFull, s.Admit(now, item(2, 31, time.Minute), limits))
	require.Equal(t, result.OK, s.Admit(now, item(2, 20, time.Minute), limits))
	require.Equal(t, result.QueueFull, s.Admit(now, item(3, 1, time.Minute), limits))
	other := item(3, 1, time.Minute)
	other.Workspace = "v"
	require.Equal(t, result.OK, s.Admit(now, other, limits))
	other.ID, other.Workspace = 4, "u"
	require.Equal(t, result.TooManyRequests, s.Admit(now, other, limits))
}

// TestDeadlineShorterThanEstimatedWait checks that a request whose deadline is
// earlier than the estimated end of its wait is refused on arrival, and that a
// request with no others waiting before it never is.
func TestDeadlineShorterThanEstimatedWait(t *testing.T) {
	now := now
	s := New(Limits{})
	for id := range state.RequestID(20) {
		require.Equal(t, result.OK, s.Admit(now, item(id, 1, time.Hour), Limits{}))
	}
	for range 10 {
		now = now.Add(time.Second)
		require.NotNil(t, s.Take(now, Key{Service: "s", Workspace: "w"}, "u"))
	}
	require.Equal(t, 10*time.Second, s.EstimatedWait(now, "s", "w"))
	require.Equal(t, result.DeadlineTooShort, s.Admit(now, item(30, 1, 19*time.Second), Limits{}))
	require.Equal(t, result.OK, s.Admit(now, item(30, 1, 21*time.Second), Limits{}))
	require.Len(t, s.TakeExpired(now.Add(11*time.Second)), 1)
	require.Greater(t, s.EstimatedWait(now.Add(time.Minute), "s", "w"), time.Minute, "the queue has stalled")
	for s.Take(now, Key{Service: "s", Workspace: "w"}, "u") != nil {
		require.LessOrEqual(t, s.Total(), 9)
	}
	require.Equal(t, result.OK, s.Admit(now, item(40, 1, 20*time.Second), Limits{}))
	require.Equal(t, result.OK, s.Admit(now, item(41, 1, 20*time.Second), Limits{}), "the burst is over and its pace is forgotten")
}

func TestRetryAvoidsFailedUpstream(t *testing.T) {
	s := New(Limits{})
	k := Key{Service: "s", Workspace: "w"}
	s.Admit(now, item(1, 1, time.Hour), Limits{})
	failed := s.Take(now, k, "u")
	failed.LastUpstream = "u"
	s.Requeue(now, failed)
	require.Nil(t, s.Take(now, k, "u"))
	s.Admit(now, item(2, 1, time.Hour), Limits{})
	require.Equal(t, state.RequestID(2), s.Take(now, k, "u").ID)
	require.Equal(t, state.RequestID(1), s.Take(now.Add(avoidanceTime), k, "u").ID)
}

// TestCountsMatchContent checks that the counts of requests and bytes always
// match the content of the queues.
func TestCountsMatchContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Limits{Requests: 10, Bytes: 100})
		content := map[state.RequestID]int64{}
		next := state.RequestID(0)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				next++
				waiting := item(next, rapid.Int64Range(0, 30).Draw(t, "bytes"), time.Hour)
				waiting.Model = rapid.SampledFrom([]state.Model{"", "m"}).Draw(t, "model")
				if s.Admit(now, waiting, Limits{}) == result.OK {
					content[next] = waiting.Bytes
				}
			},
			"take": func(*rapid.T) {
				if waiting := s.Take(now, Key{Service: "s", Workspace: "w"}, "u"); waiting != nil {
					delete(content, waiting.ID)
				}
			},
			"remove": func(t *rapid.T) {
				id := state.RequestID(rapid.Uint64Range(0, uint64(next)).Draw(t, "id"))
				if waiting := s.Remove(id); waiting != nil {
					delete(content, id)
				}
			},
			"": func(t *rapid.T) {
				var bytes int64
				for _, b := range content {
					bytes += b
				}
				require.Equal(t, len(content), s.Total())
				require.Equal(t, len(content), s.Waiting("s", "w"))
				require.Equal(t, bytes, s.bytes)
				require.LessOrEqual(t, bytes, int64(100))
			},
		})
	})
}
