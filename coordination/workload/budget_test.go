package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const smallVM = 0.2

var start = time.Unix(1000, 0)

// acceptedConnections returns how many connections a budget accepts at once.
func acceptedConnections(t *testing.T, b *CPUBudget, now time.Time) int {
	t.Helper()
	n := 0
	for b.TryAccept(now) {
		n++
		require.Less(t, n, 10000)
	}
	return n
}

// Guards against a VM that is sent two hundred streams at once, none of which
// has started, and accepts more than it can relay.
func TestBudgetChargesStreamsBeforeTheyStart(t *testing.T) {
	b := NewCPUBudget(smallVM)
	stream := (requestCPUTime + initialStreamEvents*eventCPUTime).Seconds()
	require.InDelta(t, callerCPUFraction*smallVM*budgetBurst.Seconds()/stream, acceptedConnections(t, b, start), 1)
	require.False(t, b.TryAccept(start))
	accepted := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for b.TryAccept(now) {
			b.ReleaseConnection(now)
			b.ChargeStream(now)
			accepted++
		}
	}
	require.InDelta(t, 10*callerCPUFraction*smallVM/stream, accepted, 2, "the steady rate is what the CPU share supports")
}

// Guards against accepted connections that are not counted until they are read.
func TestBudgetReservesCapacityForUnreadConnections(t *testing.T) {
	b := NewCPUBudget(smallVM)
	require.Positive(t, acceptedConnections(t, b, start))
	for range 3 {
		b.ReleaseConnection(start)
		b.ChargeRefusal(start)
	}
	require.GreaterOrEqual(t, acceptedConnections(t, b, start), 2, "three refusals cost less than a stream")
}

// Guards against a flood that leaves the router in debt for seconds after it
// has ended.
func TestBudgetDebtIsBounded(t *testing.T) {
	b := NewCPUBudget(smallVM)
	for range 100_000 {
		b.ChargeShed(start)
	}
	require.InDelta(t, -1, b.RemainingFraction(start), 1e-9)
	require.False(t, b.TryAccept(start))
	require.True(t, b.TryAccept(start.Add(2*budgetBurst)))
	require.InDelta(t, 1, b.RemainingFraction(start.Add(time.Hour)), 1e-9)
}

func TestBudgetLearnsTheLengthOfStreams(t *testing.T) {
	short, long := NewCPUBudget(smallVM), NewCPUBudget(smallVM)
	for range 500 {
		short.LearnStreamEvents(3)
		long.LearnStreamEvents(60)
	}
	require.Greater(t, acceptedConnections(t, short, start), 3*acceptedConnections(t, long, start))
}

func TestUnknownShareIsUnbounded(t *testing.T) {
	b := NewCPUBudget(0)
	require.False(t, b.Bounded())
	for range 1000 {
		require.True(t, b.TryAccept(start))
		b.ChargeStream(start)
	}
	require.InDelta(t, 1, b.RemainingFraction(start), 0)
}

// Guards against a VM that accepts no streams any more because previous ones
// were long.
func TestBudgetAcceptsStreamsOfAnyLength(t *testing.T) {
	b := NewCPUBudget(0.05)
	for range 2000 {
		b.LearnStreamEvents(5000)
	}
	require.True(t, b.TryAccept(start))
}

// Guards against time that accrues twice when concurrent clock readings arrive
// out of order.
func TestBudgetIgnoresOlderReadings(t *testing.T) {
	b := NewCPUBudget(smallVM)
	_ = acceptedConnections(t, b, start)
	_ = b.RemainingFraction(start.Add(100 * time.Millisecond))
	remaining := b.RemainingFraction(start)
	require.InDelta(t, remaining, b.RemainingFraction(start.Add(100*time.Millisecond)), 1e-9)
}

// Guards against unavailable upstreams that use up a router's CPU budget
// although their streams have no events to relay.
func TestBudgetRefundsStreamsWithoutEvents(t *testing.T) {
	b := NewCPUBudget(smallVM)
	before := b.RemainingFraction(start)
	b.ChargeStream(start)
	b.RefundStream(start)
	require.InDelta(t, requestCPUTime.Seconds()/b.capacity(), before-b.RemainingFraction(start), 1e-9)
}
