package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

func demandOf(from state.Router, w state.Workspace, waiting int) DemandHeard {
	return DemandHeard{From: from, Demand: Demand{Service: "draft", Entries: []DemandEntry{{Workspace: w, Waiting: waiting, HeadCost: 100}}}}
}

// A caller waits for a slot that nobody uses: a router was granted it and was
// then cut off. Its peers lose it, or the grant's lifetime passes, and the
// slot must go to the next router's work.
func TestSlotOfALostGrantIsFreed(t *testing.T) {
	for _, lose := range []func(b *bench) []Action{
		func(b *bench) []Action { return b.step(PeersChanged{Peers: livePeers("c")}) },
		func(b *bench) []Action { return b.pass(2100 * time.Millisecond) },
	} {
		b := newBench(t, "b", "c")
		b.service(mine("u1"))
		b.report("u1", 1, 0)
		require.Equal(t, state.Router("b"), only[SendGrant](b.step(demandOf("b", "w", 1)))[0].To)
		require.Empty(t, only[SendGrant](b.step(demandOf("c", "v", 1))))
		again := only[SendGrant](lose(b))
		require.NotEmpty(t, again)
		require.Equal(t, state.Router("c"), again[0].To)
		require.Zero(t, b.s.Status(b.now).Services[0].Workspaces[1].Reserved)
	}
}

// An engine gets too much work: the router that was running a request on it
// died, and its slot is given away although the engine still generates. The
// next load report shows the request, and the owner counts it.
func TestStartedWorkOfALostRouterHoldsItsSlot(t *testing.T) {
	b := newBench(t, "b", "c")
	b.service(mine("u1"))
	b.report("u1", 1, 0)
	g := only[SendGrant](b.step(demandOf("b", "w", 1)))[0].Grant
	b.step(ProgressHeard{From: "b", Sequence: g.Sequence, Upstream: "u1", Service: "draft", Workspace: "w", Started: true})
	b.step(demandOf("c", "v", 3))
	b.report("u1", 1, 1)
	b.step(PeersChanged{Peers: livePeers("c")})
	b.report("u1", 1, 2)
	require.Empty(t, only[SendGrant](b.pass(100*time.Millisecond)))
	require.NotEmpty(t, only[SendGrant](b.report("u1", 1, 0)))
}

// Work counts for nobody and its workspace is served twice: the owner that
// granted it is replaced while it runs. The cost goes to the present owner,
// here this router itself.
func TestCostFollowsTheOwner(t *testing.T) {
	b := newBench(t, "b")
	b.service(theirs("u2"))
	b.arrive(1, "w")
	b.step(GrantHeard{Grant: Grant{Owner: "b", Sequence: 5, Service: "draft", Workspace: "w", Upstream: "u2", Lifetime: time.Second}})
	require.Equal(t, state.Router("b"), only[SendProgress](b.step(Progressed{ID: 1, Cost: 30}))[0].To)
	b.step(PeersChanged{Peers: nil})
	require.Empty(t, b.step(Ended{ID: 1, Cost: 40, Outcome: OutcomeServed}))
	require.Equal(t, state.Cost(40), b.s.Status(b.now).Services[0].Workspaces[1].Charged)
}

// A guardian's request runs although its slot was given to another: the
// router was paused, and resumes with a grant from before the pause in its
// socket. It must decline it, and grant nothing on load reports that old.
func TestPausedRouterTrustsNothingOld(t *testing.T) {
	b := newBench(t, "b")
	b.service(mine("u1"), theirs("u2"))
	b.pass(time.Second)
	b.report("u1", 0, 0)
	b.arrive(1, "w")
	b.now = b.now.Add(5 * time.Second)
	old := b.step(GrantHeard{Grant: Grant{Owner: "b", Sequence: 5, Service: "draft", Workspace: "w", Upstream: "u2", Lifetime: time.Second}})
	require.Len(t, only[SendDecline](old), 1)
	require.Empty(t, only[Dispatch](b.report("u1", 4, 0)))
	b.pass(time.Second)
	require.Len(t, only[Dispatch](b.report("u1", 4, 0)), 1)
}

// A leaving engine gets new work and drops it. Whoever says first that it
// leaves, a report, an announcement or silence, ends its grants; only another
// run of it gets new ones.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	for _, leave := range []func(b *bench){
		func(b *bench) { b.step(UpstreamLeaving{Upstream: "u1"}) },
		func(b *bench) { b.step(UpstreamLeaving{Upstream: "u1", Boot: "1"}) },
		func(b *bench) { b.step(Unreachable{Upstream: "u1"}) },
		func(b *bench) { b.pass(4 * time.Second) },
		func(b *bench) {
			draining := Reported{Report: state.LoadReport{Upstream: "u1", Boot: "1", Slots: 4, Draining: true}}
			require.Len(b.t, only[SendLeaving](b.step(draining)), 1)
		},
	} {
		b := newBench(t, "b")
		b.service(mine("u1"))
		b.report("u1", 4, 0)
		leave(b)
		require.Empty(t, only[Dispatch](b.arrive(1, "w")))
		restarted := Reported{Report: state.LoadReport{Upstream: "u1", Boot: "2", Slots: 4}}
		require.Len(t, only[Dispatch](b.step(restarted)), 1)
	}
	b := newBench(t, "b")
	b.service(mine("u1"))
	b.report("u1", 4, 0)
	b.step(UpstreamLeaving{Upstream: "u1", Boot: "0"})
	require.Len(t, only[Dispatch](b.arrive(1, "w")), 1, "an earlier run left")
}

// The caller hears "not run" of work that may have run, or a booking runs
// twice: a connection broke and the request was tried again, or not. The
// answer depends on whether anything was ever sent.
func TestLostDispatches(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		outcomes   []Outcome
		code       result.Code
		ran        result.Ran
	}{
		{"never sent", false, []Outcome{OutcomeNotSent}, result.UpstreamUnreachable, result.RanNo},
		{"lost", false, []Outcome{OutcomeLost}, result.UpstreamLost, result.RanUnknown},
		{"twice not sent", true, []Outcome{OutcomeNotSent, OutcomeNotSent}, result.UpstreamUnreachable, result.RanNo},
		{"lost, then not sent", true, []Outcome{OutcomeLost, OutcomeNotSent}, result.UpstreamLost, result.RanUnknown},
		{"not sent, then lost", true, []Outcome{OutcomeNotSent, OutcomeLost}, result.UpstreamLost, result.RanUnknown},
	} {
		b := newBench(t)
		b.service(mine("u1"), mine("u2"))
		b.report("u1", 1, 0)
		b.report("u2", 1, 0)
		actions := b.step(Arrived{Request: Request{ID: 1, Service: "draft", Workspace: "w", Repeatable: c.repeatable}})
		used := map[state.Upstream]int{}
		for i, o := range c.outcomes {
			d := only[Dispatch](actions)
			require.Len(t, d, 1, c.name)
			require.Equal(t, i+1, d[0].Attempt)
			used[d[0].Upstream]++
			actions = b.step(Ended{ID: 1, Outcome: o})
		}
		refused := only[Refuse](actions)
		require.Len(t, refused, 1, c.name)
		require.Equal(t, c.code, refused[0].Result.Code, c.name)
		require.Equal(t, c.ran, refused[0].Result.Ran, c.name)
		require.Len(t, used, len(c.outcomes), "%s: the retry goes elsewhere", c.name)
		require.Zero(t, b.s.Status(b.now).Granted)
	}
}

// The fleet empties engine by engine: one request takes each down that runs
// it, and its caller sends it again. The owner confirms the crash, and after
// the second one the request gets a final refusal, here and at every peer.
func TestRequestThatTakesDownTwoUpstreamsIsQuarantined(t *testing.T) {
	b := newBench(t, "b")
	b.service(mine("u1"), mine("u2"))
	b.report("u1", 1, 0)
	b.report("u2", 1, 0)
	first := only[Dispatch](b.arrive(1, "w"))[0]
	second := only[Dispatch](b.step(Ended{ID: 1, Outcome: OutcomeLost}))[0]
	sent := only[SendCrash](b.step(Unreachable{Upstream: first.Upstream}))
	require.Equal(t, []SendCrash{{Fingerprint: 1, Upstream: first.Upstream, Boot: "1"}}, sent)
	require.Equal(t, []result.Code{result.UpstreamLost}, codes(b.step(Ended{ID: 1, Outcome: OutcomeLost})), "no answer waits for the confirmation")
	b.step(Reported{Report: state.LoadReport{Upstream: second.Upstream, Boot: "2", Slots: 1}})
	require.Equal(t, []result.Code{result.Quarantined}, codes(b.arrive(1, "w")))
	require.Empty(t, codes(b.arrive(2, "w")))

	peer := newBench(t, "a")
	peer.service(theirs("u1"))
	peer.step(CrashHeard{Fingerprint: 1, Upstream: "u1", Boot: "1"})
	require.Empty(t, codes(peer.arrive(1, "w")))
	peer.step(CrashHeard{Fingerprint: 1, Upstream: "u2", Boot: "1"})
	require.Equal(t, []result.Code{result.Quarantined}, codes(peer.arrive(1, "w")))
}

// Every request fails at once: a broken worker refuses connections, always
// looks idle and draws all the work of its owner.
func TestFailingUpstreamCoolsDownButNeverTheLastOne(t *testing.T) {
	b := newBench(t)
	b.service(mine("u1"), mine("u2"))
	b.report("u1", 4, 0)
	b.report("u2", 4, 0)
	failed := map[state.Upstream]int{}
	for id := state.RequestID(1); id <= 20; id++ {
		d := only[Dispatch](b.step(Arrived{Request: Request{ID: id, Service: "draft", Workspace: "w"}}))
		require.Len(t, d, 1, "one upstream always stays")
		failed[d[0].Upstream]++
		b.step(Ended{ID: id, Outcome: OutcomeNotSent})
	}
	require.Equal(t, 3, min(failed["u1"], failed["u2"]))
}

// Callers wait for nothing: every upstream of a service is gone. For a moment
// requests wait, as in a restart; then new ones are refused at once.
func TestServiceWithoutUpstreams(t *testing.T) {
	b := newBench(t, "b")
	b.service(mine("u1"))
	b.report("u1", 1, 0)
	b.pass(4 * time.Second)
	require.Empty(t, codes(b.arrive(1, "w")))
	b.pass(6 * time.Second)
	refused := only[Refuse](b.arrive(2, "w"))
	require.Equal(t, result.NoUpstream, refused[0].Result.Code)
	require.GreaterOrEqual(t, refused[0].Result.RetryAfter, minRetryAfter)
	require.Len(t, only[Dispatch](b.report("u1", 1, 0)), 1)
}

// A planned stop cuts off a draft: the router stops while admitted work still
// waits or runs. It must hand over its upstreams, finish, and only then say
// that it is drained; alone, it keeps its upstreams to finish its own queue.
func TestDrainFinishesAdmittedWork(t *testing.T) {
	for _, peers := range [][]state.Router{{"b"}, nil} {
		b := newBench(t, peers...)
		b.service(mine("u1"))
		b.report("u1", 1, 0)
		b.arrive(1, "w")
		b.arrive(2, "w")
		handed := only[Owned](b.step(Drain{}))
		next := b.step(Ended{ID: 1, Outcome: OutcomeServed})
		if peers == nil {
			require.Empty(t, handed)
			require.Len(t, only[Dispatch](next), 1)
		} else {
			require.Equal(t, []Owned{{}}, handed)
			require.Empty(t, only[Dispatch](next))
			next = b.step(GrantHeard{Grant: Grant{Owner: "b", Sequence: 1, Service: "draft", Workspace: "w", Upstream: "u1", Lifetime: time.Second}})
			require.Len(t, only[Dispatch](next), 1)
		}
		require.Empty(t, only[Drained](b.pass(time.Second)))
		require.Len(t, only[Drained](b.step(Ended{ID: 2, Outcome: OutcomeServed})), 1)
		require.Empty(t, only[Drained](b.pass(time.Second)))
	}
}
