package capacity

import (
	"context"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// Slopes of what one decider sends over a minute of its own clock. They hold
// the periods that the deciders keep to themselves.
const (
	UsageBytes      Name = "traffic.usage"
	DemandBytes     Name = "traffic.demand"
	DemandMessages  Name = "traffic.demand-messages"
	BeatBytes       Name = "traffic.heartbeats"
	IntroduceBytes  Name = "traffic.introduce"
	IntroduceRelays Name = "traffic.introduce-relays"
	ClaimWait       Name = "claims.wait"
)

// observed is how much of a decider's clock a traffic measurement lets pass:
// a multiple of every period that it has.
const observed = time.Minute

// trafficPeers are the routers of a measured scheduler, itself included.
const trafficPeers = 8

func trafficMeasurements() []measurement {
	lines := []int{10, 100, 630}
	return []measurement{
		traffic(UsageBytes, "B/s to each peer", "workspaces served a second", []int{16, 160, 630}, usageTraffic),
		traffic(DemandBytes, "B/s to each owner", "lines waiting", lines, func(n int) (float64, error) {
			sum, err := demandTraffic(n)
			return sum.bytes, err
		}),
		traffic(DemandMessages, "messages/s to each owner", "lines waiting", lines, func(n int) (float64, error) {
			sum, err := demandTraffic(n)
			return sum.messages, err
		}),
		traffic(BeatBytes, "B/s to each peer", "routers", []int{8, 64, 256, 730}, beatTraffic),
		traffic(IntroduceBytes, "B to a new peer", "workspaces served", []int{63, 630, 6300}, introduceTraffic),
		traffic(IntroduceRelays, "B to a new peer", "incarnations that are gone", []int{4, 16, 64}, relayTraffic),
		traffic(ClaimWait, "s", "routers", []int{73, 256, 730}, claimWait),
	}
}

func traffic(name Name, unit, against string, sizes []int, value func(int) (float64, error)) measurement {
	return measurement{
		name: name, unit: unit, against: against, sizes: sizes,
		value: func(_ context.Context, n int) (float64, error) { return value(n) },
	}
}

// sent counts messages to peers.
type sent struct{ messages, bytes float64 }

func (s *sent) add(actions []scheduler.Action, wanted func(scheduler.Action) bool) error {
	for _, a := range actions {
		if !wanted(a) {
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

// usageTraffic serves every workspace once a second. Usage goes to all peers
// alike, so that one message is what one peer gets.
func usageTraffic(workspaces int) (float64, error) {
	r := newRig(size{trafficPeers, 100, workspaces, 1})
	var sum sent
	perTick := float64(workspaces) * scheduler.TickInterval.Seconds()
	due := 0.0
	for range int(observed / scheduler.TickInterval) {
		for due += perTick; due >= 1; due-- {
			r.serve()
		}
		if err := sum.add(r.tick(), isUsage); err != nil {
			return 0, err
		}
		r.report()
	}
	return sum.bytes / observed.Seconds(), nil
}

// demandTraffic keeps requests of so many workspaces waiting for upstreams
// that others own, and is the mean over the owners.
func demandTraffic(lines int) (sent, error) {
	r := newRig(size{trafficPeers, 100, lines, 1})
	r.now = r.now.Add(observed)
	var sum sent
	if err := sum.add(r.wait(lines), isDemand); err != nil {
		return sent{}, err
	}
	for range int(observed / scheduler.TickInterval) {
		if err := sum.add(r.tick(), isDemand); err != nil {
			return sent{}, err
		}
	}
	scale := observed.Seconds() * (trafficPeers - 1)
	return sent{messages: sum.messages / scale, bytes: sum.bytes / scale}, nil
}

// beatTraffic is heartbeats and gossip, as a mean over the peers.
func beatTraffic(routers int) (float64, error) {
	m := newMembers(routers)
	total := 0.0
	for range int(observed / membership.TickInterval) {
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
	return total / observed.Seconds() / float64(routers-1), nil
}

// introduceTraffic is what one router tells another that newly appears.
func introduceTraffic(workspaces int) (float64, error) {
	r := newRig(size{trafficPeers, 100, workspaces, 1})
	for range workspaces {
		r.serve()
	}
	return r.introduce()
}

// relayWorkspaces is the workspaces that each gone incarnation has served.
const relayWorkspaces = 630

// relayTraffic is the same with counters of incarnations that are gone.
func relayTraffic(gone int) (float64, error) {
	r := newRig(size{trafficPeers, 100, relayWorkspaces, 1})
	for i := range gone {
		r.step(scheduler.UsageHeard{
			Origin: peerNamed(1).Router, Incarnation: state.Incarnation(1 + i), Entries: usageOf(relayWorkspaces, 1e9),
		})
	}
	return r.introduce()
}

func (r *rig) introduce() (float64, error) {
	all := peersOf(r.routers)
	r.step(scheduler.PeersChanged{Peers: all[:len(all)-1]})
	var sum sent
	err := sum.add(r.step(scheduler.PeersChanged{Peers: all}), isUsage)
	return sum.bytes, err
}

// claimWait is the mean time from a claim to its decision with a platform
// that answers at once and claims of every shard: what is left is the pace of
// one router's rounds.
func claimWait(routers int) (float64, error) {
	const (
		step      = 5 * time.Millisecond
		perClaim  = 100 * time.Millisecond
		watchedIn = 5 * observed
	)
	m := claims.NewMachine("router-0001", rigIncarnation)
	now := time.Unix(1_800_000_000, 0)
	m.Step(now, claims.FleetResized{Routers: routers})
	run := claimRun{machine: m, asked: make(map[state.AttemptID]time.Time)}
	for i := range int(watchedIn / step) {
		now = now.Add(step)
		if i%int(perClaim/step) == 0 {
			run.ask(now)
		}
		run.step(now, claims.Tick{})
	}
	return run.waited.Seconds() / float64(max(run.decided, 1)), nil
}

// claimRun answers a claims machine at once.
type claimRun struct {
	machine *claims.Machine
	asked   map[state.AttemptID]time.Time
	version claims.Version
	waited  time.Duration
	decided int
}

func (c *claimRun) ask(now time.Time) {
	attempt := state.AttemptID{Router: "router-0001", Incarnation: rigIncarnation, Sequence: uint64(len(c.asked) + c.decided)}
	c.asked[attempt] = now
	c.step(now, claims.ClaimWanted{Request: claims.Request{
		Workspace: workspaceNamed(0), Service: serviceNamed(0), Key: attempt.String(), Attempt: attempt,
	}})
}

func (c *claimRun) step(now time.Time, ev claims.Event) {
	var answers []claims.Event
	for _, a := range c.machine.Step(now, ev) {
		switch a := a.(type) {
		case claims.Read:
			answers = append(answers, claims.ReadDone{Shard: a.Shard, Outcome: claims.ReadOK, Version: c.version, Value: emptyShard()})
		case claims.Write:
			c.version++
			answers = append(answers, claims.WriteDone{Shard: a.Shard, Outcome: claims.WriteOK, Version: c.version})
		case claims.Decide:
			c.waited += now.Sub(c.asked[a.Attempt])
			c.decided++
			delete(c.asked, a.Attempt)
		}
	}
	for _, answer := range answers {
		c.step(now, answer)
	}
}

func emptyShard() []byte {
	value, err := (&claims.Segment{}).Encode()
	if err != nil {
		panic(err)
	}
	return value
}
