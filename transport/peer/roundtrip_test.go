package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A message waits on its way, in a socket or at a router that stands still. The
// receiver must not take it for newer than it is, whatever the peer's clock
// shows.
func TestEchoBoundsTheAgeOfAMessage(t *testing.T) {
	const clockDifference = 1000 * time.Hour
	begin := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// out and back are the transit times of the heartbeat and the message,
		// and held the time between both at the peer.
		out, held, back time.Duration
	}{
		"quick":             {time.Millisecond, 700 * time.Millisecond, time.Millisecond},
		"message delayed":   {time.Millisecond, 10 * time.Millisecond, 3 * time.Second},
		"heartbeat delayed": {3 * time.Second, 10 * time.Millisecond, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var own, peer roundTrip
			sequence, _, _ := own.nextHeartbeat(begin)
			peer.receiveHeartbeat(begin.Add(c.out+clockDifference), sequence, 0, 0)
			echo, held := peer.echo(begin.Add(c.out + c.held + clockDifference))
			sentAt := begin.Add(c.out + c.held)
			receivedAt := sentAt.Add(c.back)
			sentAfter := own.sentAfter(receivedAt, echo, held)
			require.False(t, sentAfter.After(sentAt))
			require.Equal(t, c.out+c.back, receivedAt.Sub(sentAfter))
		})
	}
}

// A peer echoes nothing yet, or nonsense. Nothing is known of the message's age.
func TestUnknownEchoBoundsNothing(t *testing.T) {
	begin := time.Unix(1000, 0)
	var own roundTrip
	own.nextHeartbeat(begin)
	for range rememberedHeartbeats {
		own.nextHeartbeat(begin.Add(time.Second))
	}
	latest := own.sequence
	for name, c := range map[string]struct {
		echo uint64
		held time.Duration
	}{
		"no echo":          {0, 0},
		"never sent":       {latest + 1, 0},
		"forgotten":        {latest - rememberedHeartbeats, 0},
		"held before sent": {latest, -time.Second},
		"held too long":    {latest, time.Hour},
	} {
		require.Zero(t, own.sentAfter(begin.Add(2*time.Second), c.echo, c.held), name)
	}
	require.NotZero(t, own.sentAfter(begin.Add(2*time.Second), latest, time.Second))
}
