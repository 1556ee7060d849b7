package edge

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

// A flooded router turns to connections two seconds after it accepted them.
func TestReadDelayIsEstimatedFromFirstRequests(t *testing.T) {
	clock := newClock()
	p := newPressure(0, smallVMCores, clock.now)
	first := func(after time.Duration) time.Duration {
		r := httptest.NewRequest("POST", "/", nil)
		ctx := p.readDelay.withArrival(r.Context(), nil)
		clock.advance(after)
		r = r.WithContext(ctx)
		waited := p.readDelay.requestDelay(r)
		require.Zero(t, p.readDelay.requestDelay(r), "the next request of the connection came later")
		return waited
	}
	require.Zero(t, first(2*time.Second), "one slow caller is no flood")
	for range 8 {
		for range 8 {
			p.readDelay.recordFirstRead(clock.now().Add(-2 * time.Second))
		}
	}
	require.Equal(t, 2*time.Second, p.readDelay.estimate())
	_ = p.readDelay.withArrival(t.Context(), nil)
	require.True(t, p.atCapacity(), "one more waits")
	require.False(t, p.admitConn())
	for range 8 {
		p.readDelay.recordFirstRead(clock.now())
	}
	require.False(t, p.atCapacity())
	require.True(t, p.admitConn())
}

// Guards against connections that are closed unread for a second after the last one
// that waited was read.
func TestSheddingEndsWithTheBacklog(t *testing.T) {
	clock := newClock()
	p := newPressure(0, smallVMCores, clock.now)
	for range 8 {
		p.readDelay.recordFirstRead(clock.now().Add(-2 * time.Second))
	}
	shed := 0
	for range 9 {
		clock.advance(100 * time.Millisecond)
		if !p.admitConn() {
			shed++
			continue
		}
		p.readDelay.recordFirstRead(clock.now())
	}
	require.LessOrEqual(t, shed, 1, "nothing waits unread")
}

// Of a deadline of four seconds three have passed before the router reads the
// request.
func TestRequestWithTooLittleTimeLeftIsNotAdmitted(t *testing.T) {
	f := newFixture()
	f.dispatcher.setTable(routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s"}}}))
	f.dispatcher.setUpstream("u", directory.Upstream{ID: "u", Service: "s", Slots: 6}, true)
	request := admission.Request{Timeout: 4 * time.Second}
	request.Service = "s"
	verdict, ticket := f.dispatcher.Admit(request, false)
	require.True(t, verdict.IsAdmitted())
	f.dispatcher.End(ticket, 0)
	request.Timeout = 10 * time.Millisecond
	verdict, _ = f.dispatcher.Admit(request, false)
	require.False(t, verdict.IsAdmitted())
}
