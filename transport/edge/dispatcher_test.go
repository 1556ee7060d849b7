package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
	"github.com/figstile/figstile/transport/metrics"
)

func blocks(f *fixture, fingerprint state.Fingerprint) bool {
	verdict, _ := f.dispatcher.CheckSuspect(fingerprint)
	return verdict == quarantine.Blocked
}

// Guards against blocking a popular request because engines that ran it crashed,
// while other routers have it answered.
func TestAnswerAtAnotherRouterClearsASuspect(t *testing.T) {
	f, g := newFixture(), newFixture()
	f.dispatcher.onServed = func(fp state.Fingerprint) { g.dispatcher.receiveSuspicion(fp, true, false) }
	lose := func(upstream state.Upstream) {
		g.clock.advance(10 * time.Second)
		for _, x := range []*fixture{f, g} {
			loss := quarantine.Loss{StartedAt: g.clock.now(), LostAt: g.clock.now()}
			x.dispatcher.receiveLost(lostRequest{7, quarantine.Run{Upstream: upstream, Boot: "1"}, loss})
		}
	}
	lose("a")
	f.dispatcher.ReportServed(7)
	lose("b")
	require.False(t, blocks(g, 7))
	lose("c")
	require.True(t, blocks(g, 7))
	f.dispatcher.ReportServed(7)
	require.False(t, blocks(f, 7))
	require.False(t, blocks(g, 7))
}

// Guards against a request that crashes one worker after another because each
// retry reaches another router.
func TestCrashingRequestIsQuarantinedAcrossRouters(t *testing.T) {
	f, g := newFixture(), newFixture()
	f.dispatcher.onLostRequest = g.dispatcher.receiveLost
	g.dispatcher.onLostRequest = f.dispatcher.receiveLost
	for _, name := range []string{"a", "b"} {
		for _, x := range []*fixture{f, g} {
			x.catalogue.applyObject(KindUpstream, upstreamObject(name, 1, false), sourceStore)
		}
	}
	loseConnection := func(x *fixture, excluded ...state.Upstream) {
		_, ticket := x.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", Excluded: excluded}}, true)
		x.dispatcher.ReportLost(7, ticket)
		x.dispatcher.End(ticket, placement.Broken)
		x.catalogue.applyObject(KindUpstream, removal(string(ticket.Upstream()), 2), sourceStore)
	}
	loseConnection(f, "a")
	require.False(t, blocks(g, 7))
	loseConnection(g, "b")
	require.True(t, blocks(f, 7))
	require.True(t, blocks(g, 7))
}

// Guards against quarantining a popular page because its answers are lost in
// the network.
func TestLostAnswersDoNotQuarantine(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, upstreamObject("a", 1, false), sourceStore)
	f.catalogue.applyObject(KindUpstream, upstreamObject("b", 2, false), sourceStore)
	for range 6 {
		_, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}}, true)
		f.dispatcher.ReportLost(7, ticket)
		f.dispatcher.End(ticket, placement.Broken)
	}
	f.catalogue.applyObject(KindUpstream, upstreamObject("a", 3, true), sourceStore)
	require.False(t, blocks(f, 7))
}

// Guards against a small VM that admits too many requests because streams are
// only counted at their end.
func TestRequestsCountAsLoadOnArrival(t *testing.T) {
	f := newFixture()
	f.dispatcher.pressure = newPressure(0, 0.2, frozen)
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 100_000}, true)
	for range 30 {
		for range 45 {
			f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}}, false)
		}
		f.dispatcher.pressure.observe(0, tickInterval)
	}
	require.True(t, f.dispatcher.pressure.overloaded.Load())
}

// Guards against a router that eventually refuses all requests, or none,
// because it miscounts running streams.
func TestRunningStreamsAreCounted(t *testing.T) {
	f := newFixture()
	f.dispatcher.pressure = newPressure(0, 0.1, frozen)
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 64}, true)
	admit := func() *placement.Ticket {
		verdict, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}}, false)
		require.True(t, verdict.IsAdmitted())
		return ticket
	}
	idle := f.dispatcher.pressure.cpuEstimate.ExpectedLoad()
	tickets := []*placement.Ticket{admit(), admit(), admit()}
	require.Greater(t, f.dispatcher.pressure.cpuEstimate.ExpectedLoad(), idle)
	f.dispatcher.ReportOutput(tickets[0], true)
	f.dispatcher.ReportOutput(tickets[0], false)
	f.dispatcher.End(tickets[0], placement.Answered)
	f.dispatcher.End(tickets[1], placement.Withdrawn)
	f.dispatcher.ReportOutput(tickets[2], true)
	f.dispatcher.End(tickets[2], placement.Broken)
	require.InDelta(t, idle, f.dispatcher.pressure.cpuEstimate.ExpectedLoad(), 1e-9)
}

func TestReadinessAndDraining(t *testing.T) {
	f := newFixture()
	require.False(t, f.dispatcher.ready(), "no configuration yet")
	f.catalogue.applyObject(KindConfig, configObject(1, 1), sourceStore)
	require.True(t, f.dispatcher.ready())
	f.dispatcher.settings.GracePeriod = 8 * time.Second
	f.dispatcher.beginDrain()
	require.False(t, f.dispatcher.ready())
	require.True(t, f.dispatcher.Drain().Begun())
	require.True(t, f.dispatcher.Drain().Accepting(f.clock.now()), "callers on open connections are still served")
	f.clock.advance(4 * time.Second)
	require.False(t, f.dispatcher.Drain().Accepting(f.clock.now()))
}

// Guards against a stopping router that admits streams and then cuts them off.
func TestDrainingRouterAdmitsRequestsThatCanFinish(t *testing.T) {
	f := newFixture()
	f.dispatcher.settings.GracePeriod = 8 * time.Second
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 64}, true)
	admits := func(output int) bool {
		verdict, _ := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", ExpectedOutputTokens: output}, Timeout: 15 * time.Second}, false)
		return verdict.IsAdmitted()
	}
	require.True(t, admits(600))
	f.dispatcher.beginDrain()
	f.clock.advance(2 * time.Second)
	require.True(t, admits(50))
	require.False(t, admits(600))
}

// Guards against cancelling streams that cannot resume at another engine.
func TestStalledStreamIsCancelledOnlyIfItCanResumeElsewhere(t *testing.T) {
	f := newFixture()
	f.dispatcher.settings.RetryWindow, f.dispatcher.settings.RetrySlack = 10*time.Second, 2
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("slow", directory.Upstream{ID: "slow", Service: "s", Slots: 64}, true)
	startStream := func() *int {
		_, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", Repeatable: true}}, false)
		require.Equal(t, state.Upstream("slow"), ticket.Upstream())
		f.dispatcher.ReportOutput(ticket, true)
		cancelled := new(int)
		f.dispatcher.OnStall(ticket, func() { *cancelled++ })
		return cancelled
	}
	onlyEngine := startStream()
	f.clock.advance(2 * time.Second)
	f.dispatcher.cancelStalled()
	require.Zero(t, *onlyEngine, "there is no other engine")

	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64}, true)
	f.dispatcher.cancelStalled()
	require.Equal(t, 1, *onlyEngine)

	f.dispatcher.loadView.MarkReachable(f.clock.now(), "slow")
	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64, Leaving: true}, true)
	withoutBudget := startStream()
	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64}, true)
	for f.dispatcher.SpendRetry("s") {
	}
	f.clock.advance(2 * time.Second)
	f.dispatcher.cancelStalled()
	require.Zero(t, *withoutBudget, "the budget for retries is spent")
}

// A request was found to be stalled before the function that cancels it was
// known: the process ended by a call of nil.
func TestStallBeforeItsCallbackIsKnown(t *testing.T) {
	f := newFixture()
	f.dispatcher.settings.RetryWindow, f.dispatcher.settings.RetrySlack = 10*time.Second, 2
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("slow", directory.Upstream{ID: "slow", Service: "s", Slots: 64}, true)
	_, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", Repeatable: true}}, false)
	f.dispatcher.ReportOutput(ticket, true)
	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64}, true)
	f.clock.advance(2 * time.Second)
	require.Equal(t, 1, f.dispatcher.cancelStalled())
	cancelled := 0
	f.dispatcher.OnStall(ticket, func() { cancelled++ })
	require.Equal(t, 1, cancelled)
	f.dispatcher.End(ticket, placement.Broken)
	require.Empty(t, f.dispatcher.stalledEarly)
}

// Guards against closing or keeping connections by a limit that differs from
// the configured one.
func TestIdleTimeoutFollowsTheConfiguration(t *testing.T) {
	f := newFixture()
	require.Equal(t, defaultIdleTimeout, f.dispatcher.idleTimeout())
	f.dispatcher.setTable(routing.NewTable(routing.Config{}))
	require.Equal(t, defaultIdleTimeout, f.dispatcher.idleTimeout())
	f.dispatcher.setTable(routing.NewTable(routing.Config{Limits: routing.Limits{IdleTimeout: 30 * time.Second}}))
	require.Equal(t, 30*time.Second, f.dispatcher.idleTimeout())
}

// Guards against a workspace that has used its share and takes the last
// capacity of a router.
func TestLastCapacityIsKeptForWorkspacesBelowTheirShare(t *testing.T) {
	f := newFixture()
	f.dispatcher.setTable(routing.NewTable(routing.Config{Version: 1, Limits: routing.Limits{Throughput: 100}}))
	f.dispatcher.pressure = newPressure(0, 0.2, frozen)
	now := f.dispatcher.now()
	for _, ws := range []state.Workspace{"served", "starved"} {
		f.dispatcher.ledger.RecordRequested(now, ws, 1000)
	}
	f.dispatcher.ledger.RecordAdmitted(now, "served", 180)
	require.False(t, f.dispatcher.AtCapacityFor("served"), "the router has capacity left")
	applyLoad(f.dispatcher.pressure, 0.8)
	require.True(t, f.dispatcher.AtCapacityFor("served"))
	require.False(t, f.dispatcher.AtCapacityFor("starved"))
	require.False(t, f.dispatcher.AtCapacityFor(""), "requests without a workspace have no share")
	require.False(t, f.dispatcher.AtCapacity())
	applyLoad(f.dispatcher.pressure, 0.9)
	require.True(t, f.dispatcher.AtCapacity())
}

// Guards against refusing a workspace because of attempts at engines that are
// down.
func TestOnlyStartedAttemptsCountAgainstTheShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		started bool
		outcome placement.Outcome
		charged bool
	}{
		{"no connection", false, placement.Unconnected, false},
		{"rejected", false, placement.Rejected, false},
		{"caller disconnected before the answer started", false, placement.Withdrawn, false},
		{"answered", true, placement.Answered, true},
		{"caller disconnected", true, placement.Withdrawn, true},
		{"connection broken", true, placement.Broken, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.dispatcher.setTable(routing.NewTable(routing.Config{
				Limits:   routing.Limits{Throughput: 100},
				Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}},
			}))
			f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 64}, true)
			f.dispatcher.ledger.RecordRequested(f.clock.now(), "other", 1000)
			use := func() float64 { return f.dispatcher.ledger.Standing(f.clock.now(), "w", 100).ShareUse }
			verdict, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}, Workspace: "w", Cost: 200}, false)
			require.True(t, verdict.IsAdmitted())
			require.Positive(t, use(), "charged until the attempt's outcome is known")
			f.clock.advance(500 * time.Millisecond)
			if c.started {
				f.dispatcher.ReportOutput(ticket, true)
			}
			f.dispatcher.End(ticket, c.outcome)
			f.clock.advance(500 * time.Millisecond)
			f.dispatcher.ledger.RecordRequested(f.clock.now(), "other", 1000)
			require.Equal(t, c.charged, use() > 0)
		})
	}
}

// Guards against refusals whose CPU time is not charged to the router's budget.
func TestEveryRefusalIsChargedToTheCPUBudget(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	o := observer{metrics: metrics.New("r", "dc"), pressure: p}
	remaining := p.cpuBudget.RemainingFraction(frozen())
	for _, code := range []result.Code{result.NotReady, result.BadRequest, result.UnknownService, result.Draining, result.OverShare} {
		o.Finished(ingress.Record{Result: result.New(code, "")})
		now := p.cpuBudget.RemainingFraction(frozen())
		require.Less(t, now, remaining, code)
		remaining = now
	}
	o.Finished(ingress.Record{Result: result.New(result.OK, ""), Attempts: 1})
	require.InDelta(t, remaining, p.cpuBudget.RemainingFraction(frozen()), 0)
}
