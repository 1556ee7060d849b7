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

// An overloaded router reads from connections two seconds after it accepted
// them.
func TestReadDelayIsEstimatedFromFirstRequests(t *testing.T) {
	clock := newClock()
	p := newPressure(0, smallVMCores, clock.now)
	first := func(after time.Duration) time.Duration {
		r := httptest.NewRequest("POST", "/", nil)
		ctx := p.readDelay.withArrival(r.Context(), nil)
		clock.advance(after)
		r = r.WithContext(ctx)
		waited := p.readDelay.requestDelay(r)
		require.Zero(t, p.readDelay.requestDelay(r), "only the first request of a connection has a read delay")
		return waited
	}
	require.Zero(t, first(2*time.Second), "one delayed connection does not raise the estimate")
	for range 8 {
		for range 8 {
			p.readDelay.recordFirstRead(clock.now().Add(-2 * time.Second))
		}
	}
	require.Equal(t, 2*time.Second, p.readDelay.estimate())
	_ = p.readDelay.withArrival(t.Context(), nil)
	require.True(t, p.atCapacity(), "one more connection waits")
	require.False(t, p.admitConn())
	for range 8 {
		p.readDelay.recordFirstRead(clock.now())
	}
	require.False(t, p.atCapacity())
	require.True(t, p.admitConn())
}

// Guards against shedding connections for a second after the last delayed
// connection was read.
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
	require.LessOrEqual(t, shed, 1, "no connection waits to be read")
}

// A caller's deadline is four seconds, and three of them have passed before the
// router reads the request.
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
