package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const smallVM = 0.2

var start = time.Unix(1000, 0)

// takenOn returns how many connections a budget takes on at once.
func takenOn(t *testing.T, b *Budget, now time.Time) int {
	t.Helper()
	n := 0
	for b.Accept(now) {
		n++
		require.Less(t, n, 10000)
	}
	return n
}

// Guards against a VM that is sent two hundred streams at once, none of which has
// begun, and takes on more than it can relay.
func TestBudgetChargesStreamsBeforeTheyBegin(t *testing.T) {
	b := NewBudget(smallVM)
	stream := (requestTime + initialEvents*eventTime).Seconds()
	require.InDelta(t, budgetPart*smallVM*budgetBurst.Seconds()/stream, takenOn(t, b, start), 1)
	require.False(t, b.Accept(start))
	taken := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for b.Accept(now) {
			b.Release(now)
			b.Stream(now)
			taken++
		}
	}
	require.InDelta(t, 10*budgetPart*smallVM/stream, taken, 2, "steadily what the share bears")
}

// Guards against accepted connections that are in nobody's count until they are read.
func TestBudgetHoldsRoomForUnreadConnections(t *testing.T) {
	b := NewBudget(smallVM)
	require.Positive(t, takenOn(t, b, start))
	for range 3 {
		b.Release(start)
		b.Refusal(start)
	}
	require.GreaterOrEqual(t, takenOn(t, b, start), 2, "three refusals take less than a stream")
}

// Guards against a flood that is over and has left the router in debt for seconds.
func TestBudgetDebtIsBounded(t *testing.T) {
	b := NewBudget(smallVM)
	for range 100_000 {
		b.Shed(start)
	}
	require.InDelta(t, -1, b.Left(start), 1e-9)
	require.False(t, b.Accept(start))
	require.True(t, b.Accept(start.Add(2*budgetBurst)))
	require.InDelta(t, 1, b.Left(start.Add(time.Hour)), 1e-9)
}

func TestBudgetLearnsTheLengthOfStreams(t *testing.T) {
	short, long := NewBudget(smallVM), NewBudget(smallVM)
	for range 500 {
		short.Ended(3)
		long.Ended(60)
	}
	require.Greater(t, takenOn(t, short, start), 3*takenOn(t, long, start))
}

func TestUnknownShareHasNoBudget(t *testing.T) {
	b := NewBudget(0)
	require.False(t, b.Known())
	for range 1000 {
		require.True(t, b.Accept(start))
		b.Stream(start)
	}
	require.InDelta(t, 1, b.Left(start), 0)
}

// Guards against a VM that takes no stream on any more since they were long.
func TestBudgetTakesOnStreamsOfAnyLength(t *testing.T) {
	b := NewBudget(0.05)
	for range 2000 {
		b.Ended(5000)
	}
	require.True(t, b.Accept(start))
}

// Guards against time that accrues twice when readings of the clock overtake each other.
func TestBudgetIgnoresOlderReadings(t *testing.T) {
	b := NewBudget(smallVM)
	_ = takenOn(t, b, start)
	_ = b.Left(start.Add(100 * time.Millisecond))
	left := b.Left(start)
	require.InDelta(t, left, b.Left(start.Add(100*time.Millisecond)), 1e-9)
}

// Guards against upstreams that are down and use up a router's processor in its books.
func TestBudgetGivesBackStreamsThatDidNotBegin(t *testing.T) {
	b := NewBudget(smallVM)
	before := b.Left(start)
	b.Stream(start)
	b.Unbegun(start)
	require.InDelta(t, requestTime.Seconds()/b.most(), before-b.Left(start), 1e-9)
}
