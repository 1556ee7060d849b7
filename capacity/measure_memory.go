package capacity

import (
	"fmt"
	"time"

	"github.com/figstile/figstile/coordination/fairness"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/metrics"
)

// These slopes measure memory in use, in bytes.
const (
	MemoryWorkspaces    SlopeName = "memory.workspaces"
	MemoryUpstreams     SlopeName = "memory.upstreams"
	MemoryRouters       SlopeName = "memory.routers"
	MemoryMembers       SlopeName = "memory.members"
	MemoryWaiting       SlopeName = "memory.waiting"
	MemoryCounters      SlopeName = "memory.counters"
	MemoryDemand        SlopeName = "memory.demand"
	MemoryTree          SlopeName = "memory.tree"
	MemoryTreeUpstreams SlopeName = "memory.tree-upstreams"
	MemorySeries        SlopeName = "memory.series"
	MemoryShard         SlopeName = "memory.shard"
)

func memoryMeasurements() []measurement {
	return []measurement{
		heapMeasurement(MemoryWorkspaces, "workspaces of one service", []int{630, 2520, 6300}, func(n int) any { return newSchedulerHarness(fleetSize{8, 8, n, 1}) }),
		heapMeasurement(MemoryUpstreams, "upstreams", []int{100, 1000, 10_000}, func(n int) any { return newSchedulerHarness(fleetSize{8, n, 16, 1}) }),
		heapMeasurement(MemoryRouters, "routers", []int{64, 256, 730}, func(n int) any { return newSchedulerHarness(fleetSize{n, 100, 16, 1}) }),
		heapMeasurement(MemoryMembers, "routers", []int{64, 256, 730}, func(n int) any { return newMembershipHarness(n) }),
		heapMeasurement(MemoryWaiting, "waiting requests", []int{500, 2000, 8000}, harnessWithRequests),
		heapMeasurement(MemoryCounters, "counters heard", []int{6300, 63_000, 441_000}, ledgerWithCounters),
		heapMeasurement(MemoryDemand, "lines heard", []int{630, 2520, 6300}, harnessWithDemand),
		heapMeasurement(MemoryTree, "workspaces", []int{630, 2520, 6300}, func(n int) any {
			tree := newTree(n/10, 10, 10)
			return []any{tree, tree.View()}
		}),
		heapMeasurement(MemoryTreeUpstreams, "upstreams", []int{100, 1000, 5000}, func(n int) any {
			tree := newTree(10, 10, n)
			return []any{tree, tree.View()}
		}),
		heapMeasurement(MemorySeries, "pairs of workspace and class", []int{32, 128, 512}, metricsWithSeries),
		heapMeasurement(MemoryShard, "claims in the shard", []int{1000, 10_000, 30_000}, rememberedClaims),
	}
}

// harnessWithRequests returns a harness with n waiting requests. It first advances
// the clock beyond the expiry of load reports, so that no request is dispatched.
func harnessWithRequests(n int) any {
	h := newSchedulerHarness(fleetSize{8, 8, 6300, 1})
	h.now = h.now.Add(time.Minute)
	h.queueRequests(n)
	return h
}

// ledgerWithCounters returns a ledger with n counters: those of 630 workspaces
// for each of n/630 routers.
func ledgerWithCounters(n int) any {
	const workspaces = 630
	ledger := fairness.New(1)
	for i := range workspaces {
		ledger.SetShare(workspaceNamed(i), 1.0/workspaces)
	}
	routers := n / workspaces
	var peers []fairness.Peer
	for i := range routers {
		peer := peerNamed(i)
		origin := fairness.Origin{Router: peer.Router, Incarnation: peer.Incarnation}
		peers = append(peers, fairness.Peer{Origin: origin, Share: 1 / float64(routers)})
	}
	ledger.SetPeers(1, peers)
	for _, peer := range peers {
		ledger.ReceiveCounters(peer.Origin, sampleCounters(workspaces))
	}
	return ledger
}

func sampleCounters(n int) []fairness.Entry {
	entries := make([]fairness.Entry, n)
	for i := range entries {
		entries[i] = fairness.Entry{Workspace: workspaceNamed(i), Counter: fairness.Counter{Charged: state.CostUnit}}
	}
	return entries
}

// harnessWithDemand returns a harness that stores a peer's demand of the given
// number of lines. It first advances the clock beyond the expiry of load reports,
// so that no slot is granted.
func harnessWithDemand(lines int) any {
	h := newSchedulerHarness(fleetSize{8, 8, 6300, 1})
	h.now = h.now.Add(time.Minute)
	d := sampleDemand(lines)
	actions := h.receiveDemand(1, d)
	return []any{h, actions}
}

func metricsWithSeries(n int) any {
	m := metrics.New("router-0001", "sala-01")
	for i := range n {
		s := m.SeriesFor(state.Workspace(fmt.Sprintf("workspace-%05d", i)), "short")
		s.RecordDispatch(time.Millisecond)
		s.RecordFirstByte(time.Millisecond)
		s.RecordEventGap(time.Millisecond)
		s.RecordResult(result.New(result.OK, ""), time.Second, state.CostUnit)
	}
	return m
}
