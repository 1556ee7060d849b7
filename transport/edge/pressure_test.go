package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Balancers send one router most callers of a data centre. Before it runs out
// of descriptors it has to ask callers to close, then to go elsewhere, and in
// the end refuse; with fewer it takes callers again.
func TestPressureByDescriptors(t *testing.T) {
	p := newPressure(1000+reservedFiles, 0)
	open := func(n int) {
		for range n {
			p.changed(nil, http.StateNew)
		}
	}
	open(250)
	require.False(t, p.crowded())
	open(1)
	require.True(t, p.crowded())
	busy, changed := p.observe(sample{})
	require.False(t, busy || changed)
	p.upstreams.Add(260)
	busy, changed = p.observe(sample{})
	require.True(t, busy && changed)
	require.False(t, p.full())
	p.upstreams.Add(400)
	require.True(t, p.full())
	p.upstreams.Add(-500)
	busy, _ = p.observe(sample{})
	require.True(t, busy, "not calm yet")
	p.upstreams.Add(-100)
	busy, changed = p.observe(sample{})
	require.True(t, !busy && changed)
}

func TestPressureByLateness(t *testing.T) {
	p := newPressure(0, 0)
	for range 20 {
		p.observe(sample{late: 20 * time.Millisecond})
	}
	require.False(t, p.busy.Load())
	for range 10 {
		p.observe(sample{late: 300 * time.Millisecond})
	}
	require.True(t, p.busy.Load())
	for range 20 {
		p.observe(sample{})
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
func TestPressureByProcessor(t *testing.T) {
	p := newPressure(0, 0.2)
	used := time.Second
	run := func(part float64) {
		for range 30 {
			used += time.Duration(part * 0.2 * float64(scanEvery))
			p.observe(sample{round: scanEvery, processorTime: used})
		}
	}
	run(0.4)
	require.False(t, p.busy.Load())
	run(0.8)
	require.True(t, p.busy.Load())
	run(0.5)
	require.True(t, p.busy.Load(), "not calm yet")
	run(0.3)
	require.False(t, p.busy.Load())
}
