package capacity

import (
	"fmt"
	"time"

	"github.com/figstile/figstile/coordination/fairness"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/metrics"
)

// Slopes of memory.
const (
	MemoryWorkspaces Name = "memory.workspaces"
	MemoryUpstreams  Name = "memory.upstreams"
	MemoryRouters    Name = "memory.routers"
	MemoryMembers    Name = "memory.members"
	MemoryWaiting    Name = "memory.waiting"
	MemoryCounters   Name = "memory.counters"
	MemoryDemand     Name = "memory.demand"
	MemoryTree       Name = "memory.tree"
	MemoryTreeUp     Name = "memory.tree-upstreams"
	MemorySeries     Name = "memory.series"
	MemoryShard      Name = "memory.shard"
)

func memoryMeasurements() []measurement {
	return []measurement{
		held(MemoryWorkspaces, "workspaces of one service", []int{630, 2520, 6300}, func(n int) any { return newRig(size{8, 8, n, 1}) }),
		held(MemoryUpstreams, "upstreams", []int{100, 1000, 10_000}, func(n int) any { return newRig(size{8, n, 16, 1}) }),
		held(MemoryRouters, "routers", []int{64, 256, 730}, func(n int) any { return newRig(size{n, 100, 16, 1}) }),
		held(MemoryMembers, "routers", []int{64, 256, 730}, func(n int) any { return newMembers(n) }),
		held(MemoryWaiting, "waiting requests", []int{500, 2000, 8000}, waitingRig),
		held(MemoryCounters, "counters heard", []int{6300, 63_000, 441_000}, countersHeard),
		held(MemoryDemand, "lines heard", []int{630, 2520, 6300}, demandHeard),
		held(MemoryTree, "workspaces", []int{630, 2520, 6300}, func(n int) any {
			tree := newTree(n/10, 10, 10)
			return []any{tree, tree.View()}
		}),
		held(MemoryTreeUp, "upstreams", []int{100, 1000, 5000}, func(n int) any {
			tree := newTree(10, 10, n)
			return []any{tree, tree.View()}
		}),
		held(MemorySeries, "pairs of workspace and class", []int{32, 128, 512}, seriesOf),
		held(MemoryShard, "claims in the shard", []int{1000, 10_000, 30_000}, claimsRemembered),
	}
}

func waitingRig(n int) any {
	r := newRig(size{8, 8, 6300, 1})
	r.now = r.now.Add(time.Minute)
	r.wait(n)
	return r
}

// countersHeard holds the counters of 630 workspaces for so many routers as
// the number asks for.
func countersHeard(n int) any {
	const workspaces = 630
	l := fairness.New(1)
	for i := range workspaces {
		l.SetShare(workspaceNamed(i), 1.0/workspaces)
	}
	routers := n / workspaces
	var peers []fairness.Peer
	for i := range routers {
		peer := peerNamed(i)
		origin := fairness.Origin{Router: peer.Router, Incarnation: peer.Incarnation}
		peers = append(peers, fairness.Peer{Origin: origin, Share: 1 / float64(routers)})
	}
	l.SetPeers(1, peers)
	for _, peer := range peers {
		l.ReceiveCounters(peer.Origin, countersOf(workspaces))
	}
	return l
}

func countersOf(n int) []fairness.Entry {
	entries := make([]fairness.Entry, n)
	for i := range entries {
		entries[i] = fairness.Entry{Workspace: workspaceNamed(i), Counter: fairness.Counter{Charged: state.CostUnit}}
	}
	return entries
}

func demandHeard(lines int) any {
	r := newRig(size{8, 8, 6300, 1})
	r.now = r.now.Add(time.Minute)
	d := demandOf(lines)
	hearing := r.hearDemandFrom(1, d)
	return []any{r, hearing}
}

func seriesOf(n int) any {
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
