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
	"github.com/figstile/figstile/state/routing"
)

// A request crashes each worker that begins to run it, and its caller sends it
// again at any router. Two workers are enough to know it, whichever routers
// lost them.
func TestCrashingRequestIsBlockedAcrossRouters(t *testing.T) {
	f, g := newFixture(), newFixture()
	f.dispatcher.onLost = func(fp state.Fingerprint, run quarantine.Run) { g.dispatcher.heardLost(fp, run) }
	g.dispatcher.onLost = func(fp state.Fingerprint, run quarantine.Run) { f.dispatcher.heardLost(fp, run) }
	for _, name := range []string{"a", "b"} {
		for _, x := range []*fixture{f, g} {
			x.catalogue.take(KindUpstream, upstreamObject(name, 1, false), sourceStore)
		}
	}
	lose := func(x *fixture, excluded ...state.Upstream) {
		_, ticket := x.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", Excluded: excluded}}, true)
		x.dispatcher.Lost(7, ticket)
		x.dispatcher.End(ticket, placement.Broken)
		x.catalogue.take(KindUpstream, removal(string(ticket.Upstream()), 2), sourceStore)
	}
	lose(f, "a")
	require.False(t, g.dispatcher.Blocked(7))
	lose(g, "b")
	require.True(t, f.dispatcher.Blocked(7))
	require.True(t, g.dispatcher.Blocked(7))
}

// Answers of a popular page are lost on their way, again and again, while the
// workers live. The page must not be shut out for it.
func TestLostAnswersShutNobodyOut(t *testing.T) {
	f := newFixture()
	f.catalogue.take(KindUpstream, upstreamObject("a", 1, false), sourceStore)
	f.catalogue.take(KindUpstream, upstreamObject("b", 2, false), sourceStore)
	for range 6 {
		_, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}}, true)
		f.dispatcher.Lost(7, ticket)
		f.dispatcher.End(ticket, placement.Broken)
	}
	f.catalogue.take(KindUpstream, upstreamObject("a", 3, true), sourceStore)
	require.False(t, f.dispatcher.Blocked(7))
}

// Traffic begins at a small VM. Its requests stream for seconds, and must count
// as work when they arrive and not when they end.
func TestRequestsCountAsWorkOnArrival(t *testing.T) {
	f := newFixture()
	f.dispatcher.pressure = newPressure(0, 0.2, frozen)
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 100_000}, true)
	for range 30 {
		for range 45 {
			f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}}, false)
		}
		f.dispatcher.pressure.observe(0, scanEvery)
	}
	require.True(t, f.dispatcher.pressure.busy.Load())
}

// Streams count from when they are sent to when they end, whichever way; else
// the router would refuse all in the end, or never.
func TestStreamsUnderWayAreCounted(t *testing.T) {
	f := newFixture()
	f.dispatcher.pressure = newPressure(0, 0.1, frozen)
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 64}, true)
	admit := func() *placement.Ticket {
		verdict, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s"}}, false)
		require.True(t, verdict.Admit())
		return ticket
	}
	idle := f.dispatcher.pressure.work.Expected()
	tickets := []*placement.Ticket{admit(), admit(), admit()}
	require.Greater(t, f.dispatcher.pressure.work.Expected(), idle)
	f.dispatcher.Output(tickets[0], true)
	f.dispatcher.Output(tickets[0], false)
	f.dispatcher.End(tickets[0], placement.Answered)
	f.dispatcher.End(tickets[1], placement.Withdrawn)
	f.dispatcher.Output(tickets[2], true)
	f.dispatcher.End(tickets[2], placement.Broken)
	require.InDelta(t, idle, f.dispatcher.pressure.work.Expected(), 1e-9)
}

func TestReadinessAndClosing(t *testing.T) {
	f := newFixture()
	require.False(t, f.dispatcher.ready(), "no configuration yet")
	f.catalogue.take(KindConfig, configObject(1, 1), sourceStore)
	require.True(t, f.dispatcher.ready())
	f.dispatcher.settings.GracePeriod = 8 * time.Second
	f.dispatcher.beginDrain()
	require.False(t, f.dispatcher.ready())
	require.True(t, f.dispatcher.Drain().Begun())
	require.True(t, f.dispatcher.Drain().Taking(f.clock.now()), "callers on open connections are still served")
	f.clock.advance(4 * time.Second)
	require.False(t, f.dispatcher.Drain().Taking(f.clock.now()))
}

// A router is told to stop and has 7.5 s until it cuts off what has not ended.
// Long streams that arrive in the next seconds were taken like all others; 7.5 s
// after the order their callers saw the stream break off. Nothing asked whether
// a stream could end by then: of 59 that were cut off on four days 43 had been
// taken after the order (stop_age_ms=0 to 2789), and output=242 to 1122 at 8 ms
// a token was known of them.
func TestStoppingRouterTakesWhatCanEnd(t *testing.T) {
	f := newFixture()
	f.dispatcher.settings.GracePeriod = 8 * time.Second
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 64}, true)
	admits := func(output int) bool {
		verdict, _ := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", Output: output}, Timeout: 15 * time.Second}, false)
		return verdict.Admit()
	}
	require.True(t, admits(600))
	f.dispatcher.beginDrain()
	f.clock.advance(2 * time.Second)
	require.True(t, admits(50))
	require.False(t, admits(600))
}

// An engine makes a long pause in a stream, as it reads long prompts, and lives.
// The router took the stream for stalled and gave it up, though no other engine
// took it or the retry budget was spent: the caller, who had read half of it, saw
// it break off where it would have gone on. The router asked for a place and a
// retry only after it had closed the upstream's connection: "stalled requests
// given up requests=1", then code=3002 decision=no-upstream.
func TestStreamIsGivenUpOnlyIfItCanGoOnElsewhere(t *testing.T) {
	f := newFixture()
	f.dispatcher.settings.RetryWindow, f.dispatcher.settings.RetrySlack = 10*time.Second, 2
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.dispatcher.setUpstream("slow", directory.Upstream{ID: "slow", Service: "s", Slots: 64}, true)
	begin := func() *int {
		_, ticket := f.dispatcher.Admit(admission.Request{Work: placement.Work{Service: "s", Repeatable: true}}, false)
		require.Equal(t, state.Upstream("slow"), ticket.Upstream())
		f.dispatcher.Output(ticket, true)
		givenUp := new(int)
		f.dispatcher.Watch(ticket, func() { *givenUp++ })
		return givenUp
	}
	alone := begin()
	f.clock.advance(2 * time.Second)
	f.dispatcher.giveUpStalled()
	require.Zero(t, *alone, "there is no other engine")

	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64}, true)
	f.dispatcher.giveUpStalled()
	require.Equal(t, 1, *alone)

	f.dispatcher.picture.Reached(f.clock.now(), "slow")
	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64, Leaving: true}, true)
	unpaid := begin()
	f.dispatcher.setUpstream("other", directory.Upstream{ID: "other", Service: "s", Slots: 64}, true)
	for f.dispatcher.Repeat("s") {
	}
	f.clock.advance(2 * time.Second)
	f.dispatcher.giveUpStalled()
	require.Zero(t, *unpaid, "the budget for retries is spent")
}

// Callers keep unused connections for as long as the configuration in force
// says, and for the default before there is one or where it says nothing.
func TestIdleLimitFollowsTheConfiguration(t *testing.T) {
	f := newFixture()
	require.Equal(t, defaultIdle, f.dispatcher.idleLimit())
	f.dispatcher.setTable(routing.NewTable(routing.Config{}))
	require.Equal(t, defaultIdle, f.dispatcher.idleLimit())
	f.dispatcher.setTable(routing.NewTable(routing.Config{Limits: routing.Limits{IdleTimeout: 30 * time.Second}}))
	require.Equal(t, 30*time.Second, f.dispatcher.idleLimit())
}

// A workspace that had its share took the last room of a router from one that had not.
func TestLittleRoomIsForWhoGotLittle(t *testing.T) {
	f := newFixture()
	f.dispatcher.setTable(routing.NewTable(routing.Config{Version: 1, Limits: routing.Limits{Throughput: 100}}))
	f.dispatcher.pressure = newPressure(0, 0.2, frozen)
	now := f.dispatcher.now()
	for _, ws := range []state.Workspace{"served", "starved"} {
		f.dispatcher.ledger.Asked(now, ws, 1000)
	}
	f.dispatcher.ledger.Admitted(now, "served", 180)
	require.False(t, f.dispatcher.FullFor("served"), "there is room")
	load(f.dispatcher.pressure, 0.8)
	require.True(t, f.dispatcher.FullFor("served"))
	require.False(t, f.dispatcher.FullFor("starved"))
	require.False(t, f.dispatcher.FullFor(""), "plain requests are small")
	require.False(t, f.dispatcher.Full())
	load(f.dispatcher.pressure, 0.9)
	require.True(t, f.dispatcher.Full())
}
