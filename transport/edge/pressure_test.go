package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// frozen is the time of tests in which none passes.
func frozen() time.Time { return time.Unix(1000, 0) }

// Balancers send one router most callers of a data centre. Before it runs out
// of descriptors it has to ask callers to close, then to go elsewhere, and in
// the end refuse; with fewer it takes callers again.
func TestPressureByDescriptors(t *testing.T) {
	p := newPressure(1000+reservedFiles, 0, frozen)
	open := func(n int) {
		for range n {
			p.changed(nil, http.StateNew)
		}
	}
	open(250)
	require.False(t, p.crowded())
	open(1)
	require.True(t, p.crowded())
	busy, changed := p.observe(0, scanEvery)
	require.False(t, busy || changed)
	p.upstreams.Add(260)
	busy, changed = p.observe(0, scanEvery)
	require.True(t, busy && changed)
	require.False(t, p.full())
	p.upstreams.Add(400)
	require.True(t, p.full())
	p.upstreams.Add(-500)
	busy, _ = p.observe(0, scanEvery)
	require.True(t, busy, "not calm yet")
	p.upstreams.Add(-100)
	busy, changed = p.observe(0, scanEvery)
	require.True(t, !busy && changed)
}

func TestPressureByLateness(t *testing.T) {
	p := newPressure(0, 0, frozen)
	for range 20 {
		p.observe(20*time.Millisecond, scanEvery)
	}
	require.False(t, p.busy.Load())
	for range 10 {
		p.observe(300*time.Millisecond, scanEvery)
	}
	require.True(t, p.busy.Load())
	for range 20 {
		p.observe(0, scanEvery)
	}
	require.False(t, p.busy.Load())
	require.False(t, p.full(), "no limit of descriptors is known")
}

func TestCountedConnCountsOnce(t *testing.T) {
	closed := 0
	a, b := net.Pipe()
	defer b.Close()
	c := &countedConn{Conn: a, closed: func() { closed++ }}
	require.NoError(t, c.Close())
	_ = c.Close()
	require.Equal(t, 1, closed)
}

// A small VM gets most callers of its data centre. Its timers still fire in
// time while its part of a core is used up and requests wait in its sockets.
func TestPressureByWork(t *testing.T) {
	p := newPressure(0, 0.2, frozen)
	relay := func(perSecond int) {
		for range 40 {
			for range perSecond / 10 {
				p.work.AddEvent()
			}
			p.observe(0, scanEvery)
		}
	}
	relay(3000)
	require.False(t, p.busy.Load())
	relay(5000)
	require.True(t, p.busy.Load())
	require.False(t, p.tight())
	relay(6400)
	require.True(t, p.tight())
	require.False(t, p.full())
	relay(8000)
	require.True(t, p.full())
	relay(3800)
	require.False(t, p.full())
	require.True(t, p.busy.Load(), "not calm yet")
	relay(2500)
	require.False(t, p.busy.Load())
}
