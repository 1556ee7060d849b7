package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// bench steps one scheduler, "a", of a fleet with peers "b" and "c".
type bench struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
}

func newBench(t *testing.T, peers ...state.Router) *bench {
	b := &bench{t: t, s: New(Options{Self: Peer{Router: "a", DataCentre: "x", Incarnation: 7}}), now: time.Unix(1000, 0)}
	b.step(PeersChanged{Peers: livePeers(peers...)})
	return b
}

func livePeers(names ...state.Router) []Peer {
	var list []Peer
	for _, p := range names {
		list = append(list, Peer{Router: p, DataCentre: "y", Incarnation: 3})
	}
	return list
}

// service configures "draft" with engines of data centre x, owned by a, and y,
// owned by a peer.
func (b *bench) service(ups ...config.Upstream) {
	svc := config.Service{Name: "draft", Upstreams: ups, Limits: config.Limits{QueueRequests: 3, QueueBytes: 100, DeadlineMillis: 10_000}}
	b.step(Configured{Settings: config.Settings{
		Services:   []config.Service{svc},
		Workspaces: []config.WorkspaceSettings{{Name: "w", Share: 0.5}, {Name: "v", Share: 0.5}},
	}})
}

func mine(name state.Upstream) config.Upstream { return config.Upstream{Name: name, DataCentre: "x"} }

func theirs(name state.Upstream) config.Upstream { return config.Upstream{Name: name, DataCentre: "y"} }

func (b *bench) step(ev Event) []Action { return b.s.Step(b.now, ev) }

// pass lets time go by in ticks and collects what happens.
func (b *bench) pass(d time.Duration) []Action {
	var all []Action
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(TickInterval)
		all = append(all, b.step(Tick{})...)
	}
	return all
}

func (b *bench) report(u state.Upstream, slots, running int) []Action {
	return b.step(Reported{Report: state.LoadReport{Upstream: u, Boot: "1", Slots: slots, Running: running}})
}

func (b *bench) arrive(id state.RequestID, w state.Workspace) []Action {
	return b.step(Arrived{Request: Request{ID: id, Service: "draft", Workspace: w, Repeatable: true, Bytes: 10, Fingerprint: state.Fingerprint(id)}})
}

// only returns the actions of one type.
func only[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func codes(actions []Action) []result.Code {
	var out []result.Code
	for _, r := range only[Refuse](actions) {
		out = append(out, r.Result.Code)
	}
	return out
}

func TestUncontendedRequestNeedsNoMessage(t *testing.T) {
	b := newBench(t, "b")
	b.service(mine("u1"), theirs("u2"))
	b.report("u1", 1, 0)
	require.Equal(t, []Action{Dispatch{ID: 1, Upstream: "u1", Attempt: 1}}, b.arrive(1, "w"))
}

func TestGrantIsUsedOrDeclinedAtOnce(t *testing.T) {
	b := newBench(t, "b")
	b.service(theirs("u2"))
	sent := only[SendDemand](b.arrive(1, "w"))
	require.Len(t, sent, 1)
	require.Equal(t, 1, sent[0].Demand.Entries[0].Waiting)
	grant := Grant{Owner: "b", Sequence: 5, Service: "draft", Workspace: "w", Upstream: "u2", Lifetime: time.Second, Reserved: 10}
	require.Len(t, only[Dispatch](b.step(GrantHeard{Grant: grant})), 1)
	require.Empty(t, b.step(GrantHeard{Grant: grant}), "the same grant again")
	grant.Sequence++
	require.Len(t, only[SendDecline](b.step(GrantHeard{Grant: grant})), 1)
}

func TestOwnerGrantsToTheRouterThatHoldsTheWork(t *testing.T) {
	b := newBench(t, "b")
	b.service(mine("u1"))
	b.report("u1", 1, 0)
	heard := DemandHeard{From: "b", Demand: Demand{Service: "draft", Entries: []DemandEntry{{Workspace: "v", Waiting: 4, HeadCost: 300}}}}
	sent := only[SendGrant](b.step(heard))
	require.Len(t, sent, 1)
	require.Equal(t, state.Cost(300), sent[0].Grant.Reserved)
	b.step(ProgressHeard{From: "b", Sequence: sent[0].Grant.Sequence, Upstream: "u1", Service: "draft", Workspace: "v", Started: true})
	ended := EndedHeard{From: "b", Sequence: sent[0].Grant.Sequence, Upstream: "u1", Service: "draft", Workspace: "v", Cost: 700, Outcome: OutcomeServed}
	require.Len(t, only[SendGrant](b.step(ended)), 1, "the slot goes on to the next request")
	usage := only[SendUsage](b.pass(time.Second))
	require.Equal(t, state.Cost(700), usage[0].Entries[0].Charged)
}

func TestRefusals(t *testing.T) {
	b := newBench(t, "b")
	require.Equal(t, []result.Code{result.NotReady}, codes(b.arrive(1, "w")))
	b.service(theirs("u2"))
	for id := range state.RequestID(3) {
		require.Empty(t, codes(b.arrive(10+id, "w")))
	}
	require.Equal(t, []result.Code{result.QueueFull}, codes(b.arrive(20, "w")))
	b.step(Left{ID: 10})
	large := Arrived{Request: Request{ID: 21, Service: "draft", Workspace: "w", Bytes: 90}}
	require.Equal(t, []result.Code{result.QueueBytesFull}, codes(b.step(large)))
	require.Equal(t, []result.Code{result.DeadlinePassed, result.DeadlinePassed}, codes(b.pass(11*time.Second)))
	b.step(Drain{})
	refused := only[Refuse](b.arrive(30, "w"))
	require.Equal(t, result.Draining, refused[0].Result.Code)
	require.GreaterOrEqual(t, refused[0].Result.RetryAfter, minRetryAfter)
}
