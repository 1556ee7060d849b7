package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Operators raise the limit on unused connections. Callers then count on theirs
// for longer; one that is closed by the old limit costs them a new connection,
// and the request that crosses the close may be lost.
func TestUnusedConnectionsEndByTheLimitInForce(t *testing.T) {
	clock := newClock()
	idle := newIdleConns(clock.now)
	open := func() (ours, callers net.Conn) {
		ours, callers = net.Pipe()
		t.Cleanup(func() { _ = callers.Close() })
		return ours, callers
	}
	closed := func(callers net.Conn) bool {
		_ = callers.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := callers.Read(make([]byte, 1))
		timeout, isTimeout := err.(net.Error)
		return err != nil && !(isTimeout && timeout.Timeout())
	}
	unused, its := open()
	busy, itsBusy := open()
	idle.changed(unused, http.StateIdle)
	idle.changed(busy, http.StateIdle)
	idle.changed(busy, http.StateActive)

	clock.advance(20 * time.Second)
	idle.closeUnused(30 * time.Second)
	require.False(t, closed(its))
	idle.closeUnused(0)
	require.True(t, closed(its))
	require.False(t, closed(itsBusy))
	idle.changed(unused, http.StateClosed)
	require.Empty(t, idle.since)
}
