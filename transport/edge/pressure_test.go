package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// frozen is the clock of tests in which no time passes.
func frozen() time.Time { return time.Unix(1000, 0) }

// Load balancers send most callers of a data centre to one router. Before it
// runs out of descriptors it has to ask callers to close connections, then to
// report not ready, and finally to refuse requests. With fewer connections it
// recovers.
func TestPressureByDescriptors(t *testing.T) {
	p := newPressure(1000+reservedFiles, 0, frozen)
	open := func(n int) {
		for range n {
			p.connStateChanged(nil, http.StateNew)
		}
	}
	open(250)
	require.False(t, p.shouldCloseCallers())
	open(1)
	require.True(t, p.shouldCloseCallers())
	overloaded, changed := p.observe(0, tickInterval)
	require.False(t, overloaded || changed)
	p.upstreamConns.Add(260)
	overloaded, changed = p.observe(0, tickInterval)
	require.True(t, overloaded && changed)
	require.False(t, p.atCapacity())
	p.upstreamConns.Add(400)
	require.True(t, p.atCapacity())
	p.upstreamConns.Add(-500)
	overloaded, _ = p.observe(0, tickInterval)
	require.True(t, overloaded, "above the recovery limit")
	p.upstreamConns.Add(-100)
	overloaded, changed = p.observe(0, tickInterval)
	require.True(t, !overloaded && changed)
}

func TestPressureByLateness(t *testing.T) {
	p := newPressure(0, 0, frozen)
	for range 20 {
		p.observe(20*time.Millisecond, tickInterval)
	}
	require.False(t, p.overloaded.Load())
	for range 10 {
		p.observe(300*time.Millisecond, tickInterval)
	}
	require.True(t, p.overloaded.Load())
	for range 20 {
		p.observe(0, tickInterval)
	}
	require.False(t, p.overloaded.Load())
	require.False(t, p.atCapacity(), "no descriptor limit is set")
}

func TestCountedConnCountsOnce(t *testing.T) {
	closed := 0
	a, b := net.Pipe()
	defer b.Close()
	c := &countedConn{Conn: a, onClose: func() { closed++ }}
	require.NoError(t, c.Close())
	_ = c.Close()
	require.Equal(t, 1, closed)
}

// A small VM gets most callers of its data centre. Its timers still fire on
// time although its CPU share is used up and requests wait in its sockets.
func TestPressureByCPUUse(t *testing.T) {
	p := newPressure(0, 0.2, frozen)
	relay := func(perSecond int) {
		for range 40 {
			for range perSecond / 10 {
				p.cpuEstimate.AddEvent()
			}
			p.observe(0, tickInterval)
		}
	}
	relay(3000)
	require.False(t, p.overloaded.Load())
	relay(5000)
	require.True(t, p.overloaded.Load())
	require.False(t, p.nearCapacity())
	relay(6400)
	require.True(t, p.nearCapacity())
	require.False(t, p.atCapacity())
	relay(8000)
	require.True(t, p.atCapacity())
	relay(3800)
	require.False(t, p.atCapacity())
	require.True(t, p.overloaded.Load(), "above the recovery limit")
	relay(2500)
	require.False(t, p.overloaded.Load())
}
