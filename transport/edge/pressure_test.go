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
	p := newPressure(1000 + reservedFiles)
	open := func(n int) {
		for range n {
			p.changed(nil, http.StateNew)
		}
	}
	open(250)
	require.False(t, p.crowded())
	open(1)
	require.True(t, p.crowded())
	busy, changed := p.observe(0)
	require.False(t, busy || changed)
	p.upstreams.Add(260)
	busy, changed = p.observe(0)
	require.True(t, busy && changed)
	require.False(t, p.full())
	p.upstreams.Add(400)
	require.True(t, p.full())
	p.upstreams.Add(-500)
	busy, _ = p.observe(0)
	require.True(t, busy, "not calm yet")
	p.upstreams.Add(-100)
	busy, changed = p.observe(0)
	require.True(t, !busy && changed)
}

func TestPressureByLateness(t *testing.T) {
	p := newPressure(0)
	for range 20 {
		p.observe(20 * time.Millisecond)
	}
	require.False(t, p.busy.Load())
	for range 10 {
		p.observe(300 * time.Millisecond)
	}
	require.True(t, p.busy.Load())
	for range 20 {
		p.observe(0)
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
