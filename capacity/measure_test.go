package capacity

import (
	"context"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// The measured scheduler must do what its name says: otherwise a slope would
// be that of refusals.
func TestHarnessServesAndQueues(t *testing.T) {
	h := newSchedulerHarness(fleetSize{routers: 4, upstreams: 16, workspaces: 64, services: 1})
	require.NotEmpty(t, h.owned)
	served := dispatchedIDs(h.queueRequests(len(h.owned) * slotsPerUpstream))
	require.Len(t, served, len(h.owned)*slotsPerUpstream)
	require.Empty(t, dispatchedIDs(h.queueRequests(10)), "full")
	actions := h.step(scheduler.Ended{ID: served[0], Cost: state.CostUnit, Outcome: scheduler.OutcomeServed})
	require.Len(t, dispatchedIDs(actions), 1, "the slot goes to one that waited")
}

func TestTrafficGrowsWithChangedCounters(t *testing.T) {
	few, err := usageTraffic(16)
	require.NoError(t, err)
	many, err := usageTraffic(160)
	require.NoError(t, err)
	require.Greater(t, many, 9*few)
	lone, err := demandTraffic(10)
	require.NoError(t, err)
	require.Positive(t, lone.bytes)
}

// Rounds are shared out over the fleet, so that one router's claims wait
// longer the more routers there are.
func TestClaimsWaitLongerInALargerFleet(t *testing.T) {
	small, err := meanClaimWait(73)
	require.NoError(t, err)
	large, err := meanClaimWait(730)
	require.NoError(t, err)
	require.Greater(t, large, 5*small)
}

func TestSessionsAreCountedWithoutHeartbeats(t *testing.T) {
	cost, err := messageCost(context.Background(), 10)
	require.NoError(t, err)
	const header = 12.0
	further := (cost.bytes - header) * countedMessages / header
	require.Contains(t, []float64{0, 1}, math.Round(further*1e6)/1e6, "yamux puts 12 bytes before each message, and opens the bulk stream once")
}

// A router that starts is told everything at once. What a session's queue does
// not hold ends the session, and the next one begins with the same.
func TestFullQueueEndsTheSession(t *testing.T) {
	queued, err := sessionQueue(context.Background(), 6000)
	require.NoError(t, err)
	require.Positive(t, queued)
}

func TestProgressReportsAreCounted(t *testing.T) {
	reports, err := countProgressReports(context.Background(), 0)
	require.NoError(t, err)
	require.Positive(t, reports)
}
