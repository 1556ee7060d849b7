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

// Slopes of processor time and allocations in the deciders.
const (
	ChoiceBacklogged    Name = "choice.backlogged"
	ChoiceIdle          Name = "choice.idle"
	ChoiceAllocs        Name = "choice.allocs"
	RequestUpstreams    Name = "request.upstreams"
	RequestOwned        Name = "request.owned"
	RequestBacklogged   Name = "request.backlogged"
	RequestAllocs       Name = "request.allocs"
	TickWorkspaces      Name = "tick.workspaces"
	TickLines           Name = "tick.lines"
	TickUpstreams       Name = "tick.upstreams"
	TickServices        Name = "tick.services"
	TickRouters         Name = "tick.routers"
	TickAllocs          Name = "tick.allocs"
	ConfigureWorkspaces Name = "configure.workspaces"
	ConfigureUpstreams  Name = "configure.upstreams"
	ConfigureRouters    Name = "configure.routers"
	TreeWorkspaces      Name = "tree.workspaces"
	PeersRouters        Name = "peers.routers"
	PeersUpstreams      Name = "peers.upstreams"
	UsageEntries        Name = "usage.entries"
	UsageMoved          Name = "usage.moved"
	DemandLines         Name = "demand.lines"
	MembershipTick      Name = "membership.tick"
	MembershipBeat      Name = "membership.beat"
	ClaimsRound         Name = "claims.round"
	VMsDecode           Name = "vms.decode"
	DeadOrigins         Name = "usage.dead"
)

func deciderMeasurements() []measurement {
	var (
		workspaces = []int{630, 2520, 6300}
		backlogged = []int{63, 630, 6300}
		upstreams  = []int{100, 1000, 10_000}
		routers    = []int{8, 64, 256, 730}
	)
	return []measurement{
		timed(ChoiceBacklogged, "backlogged workspaces", backlogged, func(n int) func() { return choice(6300, n) }),
		timed(ChoiceIdle, "known workspaces", []int{630, 6300, 63_000}, func(n int) func() { return choice(n, 630) }),
		allocated(ChoiceAllocs, "backlogged workspaces", backlogged, func(n int) func() { return choice(6300, n) }),
		timed(RequestUpstreams, "upstreams", []int{1000, 3000, 10_000}, func(n int) func() { return newRig(size{256, n, 64, 1}).serve }),
		timed(RequestOwned, "upstreams owned", []int{8, 32, 128, 512}, func(n int) func() { return newRig(size{rigCentres, n * rigCentres, 64, 1}).serve }),
		timed(RequestBacklogged, "backlogged workspaces", backlogged, func(n int) func() { return saturated(size{32, 100, 6300, 1}, n) }),
		allocated(RequestAllocs, "upstreams", upstreams, func(n int) func() { return newRig(size{32, n, 64, 1}).serve }),
		ticks(TickWorkspaces, "workspaces", workspaces, func(n int) (size, int) { return size{tickRouters, 100, n, 1}, 0 }),
		ticks(TickLines, "lines waiting, for each owner", backlogged, func(n int) (size, int) { return size{tickRouters, 100, 6300, 1}, n }),
		ticks(TickUpstreams, "upstreams", upstreams, func(n int) (size, int) { return size{tickRouters, n, 64, 1}, 0 }),
		ticks(TickServices, "services", []int{1, 4, 16, 64}, func(n int) (size, int) { return size{tickRouters, 100, 64, n}, 0 }),
		ticks(TickRouters, "routers", routers, func(n int) (size, int) { return size{n, 100, 64, 1}, 0 }),
		allocated(TickAllocs, "upstreams", upstreams, func(n int) func() {
			r := newRig(size{tickRouters, n, 64, 1})
			return func() { r.tick() }
		}),
		timed(ConfigureWorkspaces, "workspaces", workspaces, func(n int) func() { return configuring(size{32, 100, n, 1}) }),
		timed(ConfigureUpstreams, "upstreams", upstreams, func(n int) func() { return configuring(size{32, n, 64, 1}) }),
		timed(ConfigureRouters, "routers", routers, func(n int) func() { return configuring(size{n, 1000, 64, 1}) }),
		timed(TreeWorkspaces, "workspaces", workspaces, treeChange),
		timed(PeersRouters, "routers", routers, func(n int) func() { return rejoining(size{n, 1000, 64, 1}) }),
		timed(PeersUpstreams, "upstreams", upstreams, func(n int) func() { return rejoining(size{32, n, 64, 1}) }),
		timed(UsageEntries, "entries", []int{10, 100, 1000}, func(n int) func() { return hearingUsage(n, 0) }),
		timed(UsageMoved, "workspaces granted to", backlogged, func(n int) func() { return hearingUsage(1, n) }),
		timed(DemandLines, "lines", []int{1, 10, 100, 630}, hearingDemand),
		timed(MembershipTick, "routers", routers, membershipTick),
		timed(MembershipBeat, "routers", routers, membershipBeat),
		timed(ClaimsRound, "entries in the open segment", openSizes, claimsRound),
		timed(VMsDecode, "VMs", []int{100, 1000, 10_000}, decodingVMs),
		{name: DeadOrigins, unit: "incarnations", against: "incarnations that were heard", sizes: []int{1000, 2000, 4000}, value: deadOrigins},
	}
}

// choice grants one slot: the next workspace, its reservation, its charge.
func choice(known, backlogged int) func() {
	now := time.Unix(1_800_000_000, 0)
	l := fairness.New(1)
	for i := range known {
		l.SetShare(workspaceNamed(i), 1/float64(known))
		if i < backlogged {
			l.SetBacklog(now, workspaceNamed(i), "", true)
		}
	}
	return func() {
		w, _ := l.Next(nil)
		l.Reserve(w, state.CostUnit)
		l.Charge(w, state.CostUnit, -state.CostUnit)
	}
}

// saturated ends one request and lets a waiting one take its slot; an arrival
// keeps the backlog as long as it was.
func saturated(s size, backlogged int) func() {
	r := newRig(s)
	running := dispatched(r.wait(len(r.owned)*rigSlots + backlogged))
	return func() {
		r.lastID++
		actions := r.step(scheduler.Arrived{Request: r.request(int(r.lastID))})
		actions = append(actions, r.step(scheduler.Ended{ID: running[0], Cost: state.CostUnit, Outcome: scheduler.OutcomeServed})...)
		running = append(running[1:], dispatched(actions)...)
	}
}

func dispatched(actions []scheduler.Action) []state.RequestID {
	var ids []state.RequestID
	for _, a := range actions {
		if d, ok := a.(scheduler.Dispatch); ok {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// tickRouters is the fleet in which ticks are measured against other sizes.
const tickRouters = 32

// ticks measures one tick as a mean over half a minute, which holds every
// periodic work of a scheduler: exchanges, batches, refreshes. With lines
// waiting nearly all of it is demand sent, and it is divided by the owners.
func ticks(name Name, against string, sizes []int, of func(n int) (size, int)) measurement {
	const perRun = int(30 * time.Second / scheduler.TickInterval)
	return measurement{
		name: name, unit: "ns", against: against, machine: true, sizes: sizes,
		value: func(_ context.Context, n int) (float64, error) {
			s, lines := of(n)
			r := newRig(s)
			r.wait(lines)
			ns := nanoseconds(func() {
				for range perRun {
					r.tick()
				}
			}) / float64(perRun)
			if lines > 0 {
				ns /= tickRouters - 1
			}
			return ns, nil
		},
	}
}

func configuring(s size) func() {
	r := newRig(s)
	settings := s.settings()
	return func() { r.step(scheduler.Configured{Settings: settings}) }
}

// treeChange takes one changed object into the tree and derives the view.
func treeChange(workspaces int) func() {
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

// rejoining takes one router away and brings it back, as the daemon does for
// every new session.
func rejoining(s size) func() {
	r := newRig(s)
	all := peersOf(s.routers)
	return func() {
		r.step(scheduler.PeersChanged{Peers: all[:len(all)-1]})
		r.step(scheduler.PeersChanged{Peers: all})
	}
}

// hearingUsage takes in one peer's counters. Every call takes them from the
// next peer, and some workspaces were granted to since each was last heard.
func hearingUsage(entries, moved int) func() {
	const routers = 32
	r := newRig(size{routers, 100, 6300, 1})
	charged := state.Cost(0)
	peer := 0
	return func() {
		r.grantTo(moved)
		charged += state.CostUnit
		peer = peer%(routers-1) + 1
		r.step(scheduler.UsageHeard{
			Origin: peerNamed(peer).Router, Incarnation: rigIncarnation, Entries: usageOf(entries, charged),
		})
	}
}

// grantTo serves a request of so many workspaces, once.
func (r *rig) grantTo(workspaces int) {
	if r.lastID > 0 {
		return
	}
	for range workspaces {
		r.serve()
	}
}

func usageOf(n int, charged state.Cost) []scheduler.UsageEntry {
	entries := make([]scheduler.UsageEntry, n)
	for i := range entries {
		entries[i] = scheduler.UsageEntry{
			Service: serviceNamed(0), Workspace: workspaceNamed(i), Charged: charged, Reserved: state.CostUnit,
		}
	}
	return entries
}

func hearingDemand(lines int) func() {
	r := newRig(size{32, 100, 6300, 1})
	demand := demandOf(lines)
	for range len(r.owned) * rigSlots {
		r.lastID++
		r.step(scheduler.Arrived{Request: r.request(0)})
	}
	return func() {
		r.step(scheduler.DemandHeard{From: peerNamed(1).Router, Demand: demand})
	}
}

func demandOf(lines int) scheduler.Demand {
	d := scheduler.Demand{Service: serviceNamed(0), Full: true}
	for i := range lines {
		d.Entries = append(d.Entries, scheduler.DemandEntry{
			Workspace: workspaceNamed(i), Waiting: 8, HeadAge: time.Second, HeadCost: 1000 * state.CostUnit,
		})
	}
	return d
}

// members is a membership machine with a session to every other router.
type members struct {
	*membership.Machine
	now time.Time
}

func newMembers(routers int) *members {
	m := &members{now: time.Unix(1_800_000_000, 0), Machine: membership.New(membership.Config{Self: helloOf(0), Seed: 1})}
	for i := 1; i < routers; i++ {
		m.Step(m.now, membership.HelloReceived{Session: membership.SessionID(i), Hello: helloOf(i)})
	}
	return m
}

func helloOf(i int) membership.Hello {
	peer := peerNamed(i)
	return membership.Hello{
		Fleet: "figstile", Version: 1, Router: peer.Router, DataCentre: peer.DataCentre, Incarnation: peer.Incarnation,
		Address: fmt.Sprintf("10.0.%d.%d:8082", i>>8, i&0xff),
	}
}

// tick lets one tick pass in which every peer was heard of.
func (m *members) tick(routers int) []membership.Action {
	m.now = m.now.Add(membership.TickInterval)
	for i := 1; i < routers; i++ {
		m.Step(m.now, membership.MessageReceived{Session: membership.SessionID(i)})
	}
	return m.Step(m.now, membership.Tick{})
}

func membershipTick(routers int) func() {
	m := newMembers(routers)
	return func() { m.tick(routers) }
}

func membershipBeat(routers int) func() {
	m := newMembers(routers)
	return func() { m.Step(m.now, membership.HeartbeatReceived{Session: 1}) }
}

func decodingVMs(n int) func() {
	list := vmList(n)
	return func() {
		var answer objectstore.VMsAnswer
		if err := json.Unmarshal(list, &answer); err != nil {
			panic(err)
		}
	}
}

// deadOrigins is how many incarnations that are gone a ledger remembers.
func deadOrigins(_ context.Context, n int) (float64, error) {
	l := fairness.New(1)
	for i := range n {
		l.ReceiveCounters(fairness.Origin{Router: "router-0001", Incarnation: state.Incarnation(1 + i)}, countersOf(1))
	}
	return float64(len(l.RemovedOrigins())), nil
}

// openSizes are the entries an open segment may hold.
var openSizes = []int{50, 250, 500}

// claimsRound reads, extends and writes an open segment, as a contended round
// does.
func claimsRound(entries int) func() {
	segment := segmentOf(entries)
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

// claimsRemembered is a machine that has read a shard's chain of sealed
// segments.
func claimsRemembered(n int) any {
	const perSegment = 500
	m := claims.NewMachine("router-0001", rigIncarnation)
	now := time.Unix(1_800_000_000, 0)
	attempt := state.AttemptID{Router: "router-0001", Incarnation: rigIncarnation, Sequence: 1}
	actions := m.Step(now, claims.ClaimWanted{Request: claims.Request{
		Workspace: workspaceNamed(0), Service: serviceNamed(0), Key: "key", Attempt: attempt,
	}})
	for _, a := range actions {
		if read, ok := a.(claims.Read); ok {
			m.Step(now, chainOf(read.Shard, n, perSegment))
		}
	}
	return m
}

// chainOf answers the read of a whole chain.
func chainOf(shard, entries, perSegment int) claims.ReadDone {
	done := claims.ReadDone{Shard: shard, Outcome: claims.ReadOK}
	all := segmentOf(entries).Entries
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

// segmentOf holds claims of some hundred incarnations, as a day in a large
// fleet leaves them.
func segmentOf(entries int) *claims.Segment {
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
