package capacity

import (
	"context"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// These slopes measure the messages that one state machine sends within a
// minute of simulated time. They include the effect of the intervals that are
// private to the state machines.
const (
	UsageBytes      SlopeName = "traffic.usage"
	DemandBytes     SlopeName = "traffic.demand"
	DemandMessages  SlopeName = "traffic.demand-messages"
	HeartbeatBytes  SlopeName = "traffic.heartbeats"
	IntroduceBytes  SlopeName = "traffic.introduce"
	IntroduceRelays SlopeName = "traffic.introduce-relays"
	ClaimWait       SlopeName = "claims.wait"
)

// observedPeriod is the simulated time of a traffic measurement. It is a
// multiple of every interval of the state machines.
const observedPeriod = time.Minute

// trafficPeers is the number of routers in the fleet of a measured scheduler,
// including its own router.
const trafficPeers = 8

func trafficMeasurements() []measurement {
	lines := []int{10, 100, 630}
	return []measurement{
		trafficMeasurement(UsageBytes, "B/s to each peer", "workspaces served a second", []int{16, 160, 630}, usageTraffic),
		trafficMeasurement(DemandBytes, "B/s to each owner", "lines waiting", lines, func(n int) (float64, error) {
			sum, err := demandTraffic(n)
			return sum.bytes, err
		}),
		trafficMeasurement(DemandMessages, "messages/s to each owner", "lines waiting", lines, func(n int) (float64, error) {
			sum, err := demandTraffic(n)
			return sum.messages, err
		}),
		trafficMeasurement(HeartbeatBytes, "B/s to each peer", "routers", []int{8, 64, 256, 730}, heartbeatTraffic),
		trafficMeasurement(IntroduceBytes, "B to a new peer", "workspaces served", []int{63, 630, 6300}, introductionTraffic),
		trafficMeasurement(IntroduceRelays, "B to a new peer", "incarnations that are gone", []int{4, 16, 64}, relayTraffic),
		trafficMeasurement(ClaimWait, "s", "routers", []int{73, 256, 730}, meanClaimWait),
	}
}

func trafficMeasurement(name SlopeName, unit, sizeUnit string, sizes []int, measure func(int) (float64, error)) measurement {
	return measurement{
		name: name, unit: unit, sizeUnit: sizeUnit, sizes: sizes,
		measure: func(_ context.Context, n int) (float64, error) { return measure(n) },
	}
}

// sentTraffic counts messages to peers and their bytes.
type sentTraffic struct{ messages, bytes float64 }

// add counts the actions that match.
func (s *sentTraffic) add(actions []scheduler.Action, matches func(scheduler.Action) bool) error {
	for _, a := range actions {
		if !matches(a) {
			continue
		}
		n, err := frameBytes(envelope(a))
		if err != nil {
			return err
		}
		s.messages++
		s.bytes += n
	}
	return nil
}

func isUsage(a scheduler.Action) bool {
	_, ok := a.(scheduler.SendUsage)
	return ok
}

func isDemand(a scheduler.Action) bool {
	_, ok := a.(scheduler.SendDemand)
	return ok
}

// usageTraffic returns the bytes per second that one peer receives if every
// workspace is served once per second. The same usage message goes to all
// peers, so the size of one message is what one peer receives.
func usageTraffic(workspaces int) (float64, error) {
	h := newSchedulerHarness(fleetSize{trafficPeers, 100, workspaces, 1})
	var sum sentTraffic
	perTick := float64(workspaces) * scheduler.TickInterval.Seconds()
	dueRequests := 0.0
	for range int(observedPeriod / scheduler.TickInterval) {
		for dueRequests += perTick; dueRequests >= 1; dueRequests-- {
			h.serveRequest()
		}
		if err := sum.add(h.tick(), isUsage); err != nil {
			return 0, err
		}
		h.reportOwned()
	}
	return sum.bytes / observedPeriod.Seconds(), nil
}

// demandTraffic returns the messages and bytes per second that one owner
// receives while requests of the given number of workspaces wait for upstreams
// of other owners. It first advances the clock beyond the expiry of load reports,
// so that no request is dispatched. The result is a mean over the owners.
func demandTraffic(lines int) (sentTraffic, error) {
	h := newSchedulerHarness(fleetSize{trafficPeers, 100, lines, 1})
	h.now = h.now.Add(observedPeriod)
	var sum sentTraffic
	if err := sum.add(h.queueRequests(lines), isDemand); err != nil {
		return sentTraffic{}, err
	}
	for range int(observedPeriod / scheduler.TickInterval) {
		if err := sum.add(h.tick(), isDemand); err != nil {
			return sentTraffic{}, err
		}
	}
	scale := observedPeriod.Seconds() * (trafficPeers - 1)
	return sentTraffic{messages: sum.messages / scale, bytes: sum.bytes / scale}, nil
}

// heartbeatTraffic returns the bytes per second of heartbeats and gossip, as a
// mean over the peers.
func heartbeatTraffic(routers int) (float64, error) {
	m := newMembershipHarness(routers)
	total := 0.0
	for range int(observedPeriod / membership.TickInterval) {
		for _, a := range m.tick(routers) {
			beat, ok := a.(membership.SendHeartbeat)
			if !ok {
				continue
			}
			n, err := frameBytes(heartbeatEnvelope(len(beat.Members)))
			if err != nil {
				return 0, err
			}
			total += n
		}
	}
	return total / observedPeriod.Seconds() / float64(routers-1), nil
}

// introductionTraffic returns the bytes of counters that a router sends to a
// router that it sees for the first time.
func introductionTraffic(workspaces int) (float64, error) {
	h := newSchedulerHarness(fleetSize{trafficPeers, 100, workspaces, 1})
	for range workspaces {
		h.serveRequest()
	}
	return h.introducePeer()
}

// relayWorkspaces is the number of workspaces that each incarnation that is no
// longer live has served.
const relayWorkspaces = 630

// relayTraffic returns the same as introductionTraffic for a router that stores
// counters of incarnations that are no longer live.
func relayTraffic(removed int) (float64, error) {
	h := newSchedulerHarness(fleetSize{trafficPeers, 100, relayWorkspaces, 1})
	for i := range removed {
		h.step(scheduler.UsageHeard{
			Origin: peerNamed(1).Router, Incarnation: state.Incarnation(1 + i), Entries: sampleUsage(relayWorkspaces, 1e9),
		})
	}
	return h.introducePeer()
}

// introducePeer removes the last peer, adds it again and returns the bytes of
// counters that are sent to it.
func (h *schedulerHarness) introducePeer() (float64, error) {
	all := samplePeers(h.routers)
	h.step(scheduler.PeersChanged{Peers: all[:len(all)-1]})
	var sum sentTraffic
	err := sum.add(h.step(scheduler.PeersChanged{Peers: all}), isUsage)
	return sum.bytes, err
}

// meanClaimWait returns the mean time, in seconds, from a claim to its
// decision. The platform answers immediately and claims use every shard, so
// only the pace of the rounds of one router remains.
func meanClaimWait(routers int) (float64, error) {
	const (
		step          = 5 * time.Millisecond
		claimInterval = 100 * time.Millisecond
		simulatedTime = 5 * observedPeriod
	)
	m := claims.NewMachine("router-0001", sampleIncarnation)
	now := time.Unix(1_800_000_000, 0)
	m.Step(now, claims.FleetResized{Routers: routers})
	simulation := claimSimulation{machine: m, claimedAt: make(map[state.AttemptID]time.Time)}
	for i := range int(simulatedTime / step) {
		now = now.Add(step)
		if i%int(claimInterval/step) == 0 {
			simulation.addClaim(now)
		}
		simulation.step(now, claims.Tick{})
	}
	return simulation.totalWait.Seconds() / float64(max(simulation.decidedClaims, 1)), nil
}

// claimSimulation runs a claims state machine and answers its reads and writes
// immediately.
type claimSimulation struct {
	machine       *claims.Machine
	claimedAt     map[state.AttemptID]time.Time
	version       claims.Version
	totalWait     time.Duration
	decidedClaims int
}

func (s *claimSimulation) addClaim(now time.Time) {
	attempt := state.AttemptID{Router: "router-0001", Incarnation: sampleIncarnation, Sequence: uint64(len(s.claimedAt) + s.decidedClaims)}
	s.claimedAt[attempt] = now
	s.step(now, claims.ClaimWanted{Request: claims.Request{
		Workspace: workspaceNamed(0), Service: serviceNamed(0), Key: attempt.String(), Attempt: attempt,
	}})
}

func (s *claimSimulation) step(now time.Time, ev claims.Event) {
	var answers []claims.Event
	for _, a := range s.machine.Step(now, ev) {
		switch a := a.(type) {
		case claims.Read:
			answers = append(answers, claims.ReadDone{Shard: a.Shard, Outcome: claims.ReadOK, Version: s.version, Value: emptyShard()})
		case claims.Write:
			s.version++
			answers = append(answers, claims.WriteDone{Shard: a.Shard, Outcome: claims.WriteOK, Version: s.version})
		case claims.Decide:
			s.totalWait += now.Sub(s.claimedAt[a.Attempt])
			s.decidedClaims++
			delete(s.claimedAt, a.Attempt)
		}
	}
	for _, answer := range answers {
		s.step(now, answer)
	}
}

func emptyShard() []byte {
	value, err := (&claims.Segment{}).Encode()
	if err != nil {
		panic(err)
	}
	return value
}
