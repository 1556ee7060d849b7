package capacity

import (
	"context"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// The measured scheduler must serve and queue requests. Otherwise a slope would
// contain the cost of refusing them.
func TestHarnessServesAndQueues(t *testing.T) {
	h := newSchedulerHarness(fleetSize{routers: 4, upstreams: 16, workspaces: 64, services: 1})
	require.NotEmpty(t, h.owned)
	served := dispatchedIDs(h.queueRequests(len(h.owned) * slotsPerUpstream))
	require.Len(t, served, len(h.owned)*slotsPerUpstream)
	require.Empty(t, dispatchedIDs(h.queueRequests(10)), "all slots are in use")
	actions := h.step(scheduler.Ended{ID: served[0], Cost: state.CostUnit, Outcome: scheduler.OutcomeServed})
	require.Len(t, dispatchedIDs(actions), 1, "a waiting request takes the free slot")
}

func TestTrafficGrowsWithChangedCounters(t *testing.T) {
	few, err := usageTraffic(16)
	require.NoError(t, err)
	many, err := usageTraffic(160)
	require.NoError(t, err)
	require.Greater(t, many, 9*few)
	demand, err := demandTraffic(10)
	require.NoError(t, err)
	require.Positive(t, demand.bytes)
}

// The fleet has a limited number of rounds per second, which all routers share.
// The claims of one router therefore wait longer in a fleet with more routers.
func TestClaimsWaitLongerInLargerFleets(t *testing.T) {
	small, err := meanClaimWait(73)
	require.NoError(t, err)
	large, err := meanClaimWait(730)
	require.NoError(t, err)
	require.Greater(t, large, 5*small)
}

func TestMessageCostExcludesHeartbeats(t *testing.T) {
	cost, err := messageCost(context.Background(), 10)
	require.NoError(t, err)
	const header = 12.0
	extraHeaders := (cost.bytes - header) * countedMessages / header
	require.Contains(t, []float64{0, 1}, math.Round(extraHeaders*1e6)/1e6, "yamux adds 12 bytes to each message, and one frame to open the bulk stream")
}

// A starting router receives all counters of a peer at once. If they do not fit
// into the queue of the session, the session ends, and the next session starts
// by sending the same counters.
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
