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
	f.desk.onLost = func(fp state.Fingerprint, run quarantine.Run) { g.desk.heardLost(fp, run) }
	g.desk.onLost = func(fp state.Fingerprint, run quarantine.Run) { f.desk.heardLost(fp, run) }
	for _, name := range []string{"a", "b"} {
		for _, x := range []*fixture{f, g} {
			x.catalogue.take(KindUpstream, upstreamObject(name, 1, false), sourceStore)
		}
	}
	lose := func(x *fixture, excluded ...state.Upstream) {
		_, ticket := x.desk.Admit(admission.Request{Work: placement.Work{Service: "s", Excluded: excluded}}, true)
		x.desk.Lost(7, ticket)
		x.desk.End(ticket, placement.Broken)
		x.catalogue.take(KindUpstream, removal(string(ticket.Upstream()), 2), sourceStore)
	}
	lose(f, "a")
	require.False(t, g.desk.Blocked(7))
	lose(g, "b")
	require.True(t, f.desk.Blocked(7))
	require.True(t, g.desk.Blocked(7))
}

// Answers of a popular page are lost on their way, again and again, while the
// workers live. The page must not be shut out for it.
func TestLostAnswersShutNobodyOut(t *testing.T) {
	f := newFixture()
	f.catalogue.take(KindUpstream, upstreamObject("a", 1, false), sourceStore)
	f.catalogue.take(KindUpstream, upstreamObject("b", 2, false), sourceStore)
	for range 6 {
		_, ticket := f.desk.Admit(admission.Request{Work: placement.Work{Service: "s"}}, true)
		f.desk.Lost(7, ticket)
		f.desk.End(ticket, placement.Broken)
	}
	f.catalogue.take(KindUpstream, upstreamObject("a", 3, true), sourceStore)
	require.False(t, f.desk.Blocked(7))
}

// Traffic begins at a small VM. Its requests stream for seconds, and must count
// as work when they arrive and not when they end.
func TestRequestsCountAsWorkOnArrival(t *testing.T) {
	f := newFixture()
	f.desk.pressure = newPressure(0, 0.2, frozen)
	f.desk.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 100_000}, true)
	for range 30 {
		for range 45 {
			f.desk.Admit(admission.Request{Work: placement.Work{Service: "s"}}, false)
		}
		f.desk.pressure.observe(0, scanEvery)
	}
	require.True(t, f.desk.pressure.busy.Load())
}

// Streams count from when they are sent to when they end, whichever way; else
// the router would refuse all in the end, or never.
func TestStreamsUnderWayAreCounted(t *testing.T) {
	f := newFixture()
	f.desk.pressure = newPressure(0, 0.1, frozen)
	f.desk.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}}}))
	f.desk.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 64}, true)
	admit := func() *placement.Ticket {
		verdict, ticket := f.desk.Admit(admission.Request{Work: placement.Work{Service: "s"}}, false)
		require.True(t, verdict.Admit())
		return ticket
	}
	idle := f.desk.pressure.work.Expected()
	tickets := []*placement.Ticket{admit(), admit(), admit()}
	require.Greater(t, f.desk.pressure.work.Expected(), idle)
	f.desk.Output(tickets[0], true)
	f.desk.Output(tickets[0], false)
	f.desk.End(tickets[0], placement.Answered)
	f.desk.End(tickets[1], placement.Withdrawn)
	f.desk.Output(tickets[2], true)
	f.desk.End(tickets[2], placement.Broken)
	require.InDelta(t, idle, f.desk.pressure.work.Expected(), 1e-9)
}

func TestReadinessAndClosing(t *testing.T) {
	f := newFixture()
	require.False(t, f.desk.ready(), "no configuration yet")
	f.catalogue.take(KindConfig, configObject(1, 1), sourceStore)
	require.True(t, f.desk.ready())
	f.desk.drain()
	require.False(t, f.desk.ready())
	require.True(t, f.desk.Draining())
	require.False(t, f.desk.Closing(), "callers on open connections are still served")
	f.clock.advance(turnAway + time.Second)
	require.True(t, f.desk.Closing())
}

// The callers of a workspace that got its share and those of one that got
// nothing meet the same router, which has little room left. What is left
// must go to the second, until there is none at all.
func TestLittleRoomIsForWhoGotLittle(t *testing.T) {
	f := newFixture()
	f.desk.setTable(routing.NewTable(routing.Config{Version: 1, Limits: routing.Limits{Throughput: 100}}))
	f.desk.pressure = newPressure(0, 0.2, frozen)
	now := f.desk.now()
	for _, ws := range []state.Workspace{"served", "starved"} {
		f.desk.ledger.Asked(now, ws, 1000)
	}
	f.desk.ledger.Admitted(now, "served", 180)
	require.False(t, f.desk.FullFor("served"), "there is room")
	load(f.desk.pressure, 0.8)
	require.True(t, f.desk.FullFor("served"))
	require.False(t, f.desk.FullFor("starved"))
	require.False(t, f.desk.FullFor(""), "plain requests are small")
	require.False(t, f.desk.Full())
	load(f.desk.pressure, 0.9)
	require.True(t, f.desk.Full())
}
