package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/fairness"
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
)

// These slopes measure CPU time and allocations of the state machines:
// scheduler, fairness, membership, claims and settings.
const (
	ChoiceBacklogged    SlopeName = "choice.backlogged"
	ChoiceIdle          SlopeName = "choice.idle"
	ChoiceAllocs        SlopeName = "choice.allocs"
	RequestUpstreams    SlopeName = "request.upstreams"
	RequestOwned        SlopeName = "request.owned"
	RequestBacklogged   SlopeName = "request.backlogged"
	RequestAllocs       SlopeName = "request.allocs"
	TickWorkspaces      SlopeName = "tick.workspaces"
	TickLines           SlopeName = "tick.lines"
	TickUpstreams       SlopeName = "tick.upstreams"
	TickServices        SlopeName = "tick.services"
	TickRouters         SlopeName = "tick.routers"
	TickAllocs          SlopeName = "tick.allocs"
	ConfigureWorkspaces SlopeName = "configure.workspaces"
	ConfigureUpstreams  SlopeName = "configure.upstreams"
	ConfigureRouters    SlopeName = "configure.routers"
	TreeWorkspaces      SlopeName = "tree.workspaces"
	PeersRouters        SlopeName = "peers.routers"
	PeersUpstreams      SlopeName = "peers.upstreams"
	UsageEntries        SlopeName = "usage.entries"
	UsageMoved          SlopeName = "usage.moved"
	DemandLines         SlopeName = "demand.lines"
	MembershipTick      SlopeName = "membership.tick"
	MembershipHeartbeat SlopeName = "membership.beat"
	ClaimsRound         SlopeName = "claims.round"
	VMsDecode           SlopeName = "vms.decode"
	RemovedOrigins      SlopeName = "usage.dead"
)

func stateMachineMeasurements() []measurement {
	var (
		workspaces = []int{630, 2520, 6300}
		backlogged = []int{63, 630, 6300}
		upstreams  = []int{100, 1000, 10_000}
		routers    = []int{8, 64, 256, 730}
	)
	return []measurement{
		timeMeasurement(ChoiceBacklogged, "backlogged workspaces", backlogged, func(n int) func() { return grantSlot(6300, n) }),
		timeMeasurement(ChoiceIdle, "known workspaces", []int{630, 6300, 63_000}, func(n int) func() { return grantSlot(n, 630) }),
		allocMeasurement(ChoiceAllocs, "backlogged workspaces", backlogged, func(n int) func() { return grantSlot(6300, n) }),
		timeMeasurement(RequestUpstreams, "upstreams", []int{1000, 3000, 10_000}, func(n int) func() { return newSchedulerHarness(fleetSize{256, n, 64, 1}).serveRequest }),
		timeMeasurement(RequestOwned, "upstreams owned", []int{8, 32, 128, 512}, func(n int) func() {
			return newSchedulerHarness(fleetSize{harnessCentres, n * harnessCentres, 64, 1}).serveRequest
		}),
		timeMeasurement(RequestBacklogged, "backlogged workspaces", backlogged, func(n int) func() { return saturatedScheduler(fleetSize{32, 100, 6300, 1}, n) }),
		allocMeasurement(RequestAllocs, "upstreams", upstreams, func(n int) func() { return newSchedulerHarness(fleetSize{32, n, 64, 1}).serveRequest }),
		tickMeasurement(TickWorkspaces, "workspaces", workspaces, func(n int) (fleetSize, int) { return fleetSize{tickRouters, 100, n, 1}, 0 }),
		tickMeasurement(TickLines, "lines waiting, for each owner", backlogged, func(n int) (fleetSize, int) { return fleetSize{tickRouters, 100, 6300, 1}, n }),
		tickMeasurement(TickUpstreams, "upstreams", upstreams, func(n int) (fleetSize, int) { return fleetSize{tickRouters, n, 64, 1}, 0 }),
		tickMeasurement(TickServices, "services", []int{1, 4, 16, 64}, func(n int) (fleetSize, int) { return fleetSize{tickRouters, 100, 64, n}, 0 }),
		tickMeasurement(TickRouters, "routers", routers, func(n int) (fleetSize, int) { return fleetSize{n, 100, 64, 1}, 0 }),
		allocMeasurement(TickAllocs, "upstreams", upstreams, func(n int) func() {
			h := newSchedulerHarness(fleetSize{tickRouters, n, 64, 1})
			return func() { h.tick() }
		}),
		timeMeasurement(ConfigureWorkspaces, "workspaces", workspaces, func(n int) func() { return reconfigure(fleetSize{32, 100, n, 1}) }),
		timeMeasurement(ConfigureUpstreams, "upstreams", upstreams, func(n int) func() { return reconfigure(fleetSize{32, n, 64, 1}) }),
		timeMeasurement(ConfigureRouters, "routers", routers, func(n int) func() { return reconfigure(fleetSize{n, 1000, 64, 1}) }),
		timeMeasurement(TreeWorkspaces, "workspaces", workspaces, changeTree),
		timeMeasurement(PeersRouters, "routers", routers, func(n int) func() { return rejoinPeer(fleetSize{n, 1000, 64, 1}) }),
		timeMeasurement(PeersUpstreams, "upstreams", upstreams, func(n int) func() { return rejoinPeer(fleetSize{32, n, 64, 1}) }),
		timeMeasurement(UsageEntries, "entries", []int{10, 100, 1000}, func(n int) func() { return receiveUsageOperation(n, 0) }),
		timeMeasurement(UsageMoved, "workspaces granted to", backlogged, func(n int) func() { return receiveUsageOperation(1, n) }),
		timeMeasurement(DemandLines, "lines", []int{1, 10, 100, 630}, receiveDemandOperation),
		timeMeasurement(MembershipTick, "routers", routers, membershipTick),
		timeMeasurement(MembershipHeartbeat, "routers", routers, membershipHeartbeat),
		timeMeasurement(ClaimsRound, "entries in the open segment", openSegmentSizes, claimsRound),
		timeMeasurement(VMsDecode, "VMs", []int{100, 1000, 10_000}, decodeVMs),
		{name: RemovedOrigins, unit: "incarnations", sizeUnit: "incarnations that were heard", sizes: []int{1000, 2000, 4000}, measure: countRemovedOrigins},
	}
}

// grantSlot returns an operation that grants one slot: it selects the next
// workspace, reserves the cost and charges it.
func grantSlot(known, backlogged int) func() {
	now := time.Unix(1_800_000_000, 0)
	ledger := fairness.New(1)
	for i := range known {
		ledger.SetShare(workspaceNamed(i), 1/float64(known))
		if i < backlogged {
			ledger.SetBacklog(now, workspaceNamed(i), "", true)
		}
	}
	return func() {
		workspace, _ := ledger.Next(nil)
		ledger.Reserve(workspace, state.CostUnit)
		ledger.Charge(workspace, state.CostUnit, -state.CostUnit)
	}
}

// saturatedScheduler returns an operation that ends one request, so that a
// waiting one takes its slot. It also adds one request, so that the backlog
// keeps its length.
func saturatedScheduler(s fleetSize, backlogged int) func() {
	h := newSchedulerHarness(s)
	runningIDs := dispatchedIDs(h.queueRequests(len(h.owned)*slotsPerUpstream + backlogged))
	return func() {
		h.lastID++
		actions := h.step(scheduler.Arrived{Request: h.newRequest(int(h.lastID))})
		actions = append(actions, h.step(scheduler.Ended{ID: runningIDs[0], Cost: state.CostUnit, Outcome: scheduler.OutcomeServed})...)
		runningIDs = append(runningIDs[1:], dispatchedIDs(actions)...)
	}
}

// dispatchedIDs returns the IDs of the requests that the actions dispatch.
func dispatchedIDs(actions []scheduler.Action) []state.RequestID {
	var ids []state.RequestID
	for _, a := range actions {
		if d, ok := a.(scheduler.Dispatch); ok {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// tickRouters is the number of routers of the fleet in which ticks are measured
// against other sizes.
const tickRouters = 32

// tickMeasurement returns a measurement of the time of one tick, averaged over
// half a minute, which includes all periodic work of a scheduler: exchanges,
// batches of demand and refreshes. If requests are waiting, almost all of the
// time is spent on sending demand, so the time is divided by the number of
// owners that receive it.
func tickMeasurement(name SlopeName, sizeUnit string, sizes []int, sizeFor func(n int) (fleetSize, int)) measurement {
	const perRun = int(30 * time.Second / scheduler.TickInterval)
	return measurement{
		name: name, unit: "ns", sizeUnit: sizeUnit, machineDependent: true, sizes: sizes,
		measure: func(_ context.Context, n int) (float64, error) {
			s, lines := sizeFor(n)
			h := newSchedulerHarness(s)
			h.queueRequests(lines)
			ns := nanosecondsPerCall(func() {
				for range perRun {
					h.tick()
				}
			}) / float64(perRun)
			if lines > 0 {
				ns /= tickRouters - 1
			}
			return ns, nil
		},
	}
}

func reconfigure(s fleetSize) func() {
	h := newSchedulerHarness(s)
	settings := s.settings()
	return func() { h.step(scheduler.Configured{Settings: settings}) }
}

// changeTree returns an operation that applies one changed object to the
// settings tree and derives the view.
func changeTree(workspaces int) func() {
	const team = 10
	tree := newTree(workspaces/team, team, 100)
	version := uint64(1)
	value := teamObject(0, team)
	return func() {
		version++
		if _, err := tree.Apply(config.Object{Key: config.TeamKey(teamNamed(0)), Version: version, Value: value}); err != nil {
			panic(err)
		}
		tree.View().Settings()
	}
}

func newTree(teams, workspaces, upstreams int) *config.Tree {
	tree := config.NewTree()
	objects := []config.Object{{Key: config.RootKey, Version: 1, Value: rootObject(teams, upstreams)}}
	for i := range teams {
		objects = append(objects, config.Object{Key: config.TeamKey(teamNamed(i)), Version: 1, Value: teamObject(i, workspaces)})
	}
	for _, o := range objects {
		if _, err := tree.Apply(o); err != nil {
			panic(err)
		}
	}
	return tree
}

// rejoinPeer returns an operation that removes one router from the peers and
// adds it again, as the daemon does for every new session.
func rejoinPeer(s fleetSize) func() {
	h := newSchedulerHarness(s)
	all := samplePeers(s.routers)
	return func() {
		h.step(scheduler.PeersChanged{Peers: all[:len(all)-1]})
		h.step(scheduler.PeersChanged{Peers: all})
	}
}

// receiveUsageOperation returns an operation that processes the counters of one peer.
// Each call uses the next peer. The argument grantedWorkspaces is the number of
// workspaces that have been granted requests since the counters of each peer
// were last received.
func receiveUsageOperation(entries, grantedWorkspaces int) func() {
	const routers = 32
	h := newSchedulerHarness(fleetSize{routers, 100, 6300, 1})
	charged := state.Cost(0)
	peer := 0
	return func() {
		h.serveWorkspacesOnce(grantedWorkspaces)
		charged += state.CostUnit
		peer = peer%(routers-1) + 1
		h.step(scheduler.UsageHeard{
			Origin: peerNamed(peer).Router, Incarnation: sampleIncarnation, Entries: sampleUsage(entries, charged),
		})
	}
}

// serveWorkspacesOnce serves one request for each of the given number of
// workspaces on the first call. Later calls do nothing.
func (h *schedulerHarness) serveWorkspacesOnce(workspaces int) {
	if h.lastID > 0 {
		return
	}
	for range workspaces {
		h.serveRequest()
	}
}

func sampleUsage(n int, charged state.Cost) []scheduler.UsageEntry {
	entries := make([]scheduler.UsageEntry, n)
	for i := range entries {
		entries[i] = scheduler.UsageEntry{
			Service: serviceNamed(0), Workspace: workspaceNamed(i), Charged: charged, Reserved: state.CostUnit,
		}
	}
	return entries
}

func receiveDemandOperation(lines int) func() {
	h := newSchedulerHarness(fleetSize{32, 100, 6300, 1})
	demand := sampleDemand(lines)
	for range len(h.owned) * slotsPerUpstream {
		h.lastID++
		h.step(scheduler.Arrived{Request: h.newRequest(0)})
	}
	return func() {
		h.step(scheduler.DemandHeard{From: peerNamed(1).Router, Demand: demand})
	}
}

func sampleDemand(lines int) scheduler.Demand {
	d := scheduler.Demand{Service: serviceNamed(0), Full: true}
	for i := range lines {
		d.Entries = append(d.Entries, scheduler.DemandEntry{
			Workspace: workspaceNamed(i), Waiting: 8, HeadAge: time.Second, HeadCost: 1000 * state.CostUnit,
		})
	}
	return d
}

// membershipHarness runs a membership state machine that has a session with
// every other router.
type membershipHarness struct {
	*membership.Machine
	now time.Time
}

func newMembershipHarness(routers int) *membershipHarness {
	m := &membershipHarness{now: time.Unix(1_800_000_000, 0), Machine: membership.New(membership.Config{Self: sampleHello(0), Seed: 1})}
	for i := 1; i < routers; i++ {
		m.Step(m.now, membership.HelloReceived{Session: membership.SessionID(i), Hello: sampleHello(i)})
	}
	return m
}

func sampleHello(i int) membership.Hello {
	peer := peerNamed(i)
	return membership.Hello{
		Fleet: "figstile", Version: 1, Router: peer.Router, DataCentre: peer.DataCentre, Incarnation: peer.Incarnation,
		Address: fmt.Sprintf("10.0.%d.%d:8082", i>>8, i&0xff),
	}
}

// tick advances the clock by one tick, in which a message of every peer is
// received.
func (m *membershipHarness) tick(routers int) []membership.Action {
	m.now = m.now.Add(membership.TickInterval)
	for i := 1; i < routers; i++ {
		m.Step(m.now, membership.MessageReceived{Session: membership.SessionID(i)})
	}
	return m.Step(m.now, membership.Tick{})
}

func membershipTick(routers int) func() {
	m := newMembershipHarness(routers)
	return func() { m.tick(routers) }
}

func membershipHeartbeat(routers int) func() {
	m := newMembershipHarness(routers)
	return func() { m.Step(m.now, membership.HeartbeatReceived{Session: 1}) }
}

func decodeVMs(n int) func() {
	list := vmList(n)
	return func() {
		var answer objectstore.VMsAnswer
		if err := json.Unmarshal(list, &answer); err != nil {
			panic(err)
		}
	}
}

// countRemovedOrigins returns how many of n incarnations that are no longer
// live a ledger stores.
func countRemovedOrigins(_ context.Context, n int) (float64, error) {
	ledger := fairness.New(1)
	for i := range n {
		ledger.ReceiveCounters(fairness.Origin{Router: "router-0001", Incarnation: state.Incarnation(1 + i)}, sampleCounters(1))
	}
	return float64(len(ledger.RemovedOrigins())), nil
}

// openSegmentSizes are numbers of entries that an open segment may have.
var openSegmentSizes = []int{50, 250, 500}

// claimsRound returns an operation that encodes and decodes an open segment, as
// a contended round does to read, extend and write it.
func claimsRound(entries int) func() {
	segment := sampleSegment(entries)
	return func() {
		value, err := segment.Encode()
		if err != nil {
			panic(err)
		}
		if _, err := claims.Decode(value); err != nil {
			panic(err)
		}
	}
}

// rememberedClaims returns a claims state machine that has read the chain of
// sealed segments of one shard.
func rememberedClaims(n int) any {
	const perSegment = 500
	m := claims.NewMachine("router-0001", sampleIncarnation)
	now := time.Unix(1_800_000_000, 0)
	attempt := state.AttemptID{Router: "router-0001", Incarnation: sampleIncarnation, Sequence: 1}
	actions := m.Step(now, claims.ClaimWanted{Request: claims.Request{
		Workspace: workspaceNamed(0), Service: serviceNamed(0), Key: "key", Attempt: attempt,
	}})
	for _, a := range actions {
		if read, ok := a.(claims.Read); ok {
			m.Step(now, sealedChain(read.Shard, n, perSegment))
		}
	}
	return m
}

// sealedChain returns the result of reading a whole chain of segments.
func sealedChain(shard, entries, perSegment int) claims.ReadDone {
	done := claims.ReadDone{Shard: shard, Outcome: claims.ReadOK}
	all := sampleSegment(entries).Entries
	for number := 0; number*perSegment < entries; number++ {
		segment := &claims.Segment{
			Number:  uint64(number),
			Sealed:  true,
			Entries: all[number*perSegment : min((number+1)*perSegment, entries)],
		}
		value, err := segment.Encode()
		if err != nil {
			panic(err)
		}
		if number == 0 {
			done.Version, done.Value = 1, value
			continue
		}
		done.Others = append(done.Others, claims.StoredSegment{Slot: number, Version: 1, Value: value})
	}
	return done
}

// sampleSegment returns a segment with claims of several hundred incarnations,
// which a large fleet accumulates within the retention time of claims.
func sampleSegment(entries int) *claims.Segment {
	const claimers = 256
	segment := &claims.Segment{}
	for i := range entries {
		var digest claims.Digest
		copy(digest[:], fmt.Sprintf("%016d", i))
		peer := peerNamed(i % claimers)
		segment.Entries = append(segment.Entries, claims.Entry{
			Digest: digest, Status: claims.StatusCompleted, ClaimedAt: time.Unix(1_800_000_000, 0),
			Claim: state.AttemptID{Router: peer.Router, Incarnation: peer.Incarnation, Sequence: uint64(i)},
		})
	}
	return segment
}
