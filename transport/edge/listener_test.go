package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// smallVMCores is the CPU share of a small VM, in cores.
const smallVMCores = 0.2

// applyLoad simulates events at a constant rate for some seconds, so that the
// expected CPU use becomes the given part of the VM's CPU share.
func applyLoad(p *pressure, cpuShare float64) {
	const event = 25 * time.Microsecond
	perRound := int(cpuShare * smallVMCores * float64(tickInterval) / float64(event))
	for range 60 {
		for range perRound {
			p.cpuEstimate.AddEvent()
		}
		p.observe(0, tickInterval)
	}
}

// Guards against an overloaded router whose refusals use the CPU time of its
// streams.
func TestRefusalsLeaveTimeForStreams(t *testing.T) {
	now := frozen()
	p := newPressure(0, smallVMCores, func() time.Time { return now })
	for range 1000 {
		p.countRefusal()
	}
	require.True(t, p.atCapacity())
	require.False(t, p.admitConn())
	now = now.Add(time.Second)
	require.True(t, p.admitConn())
}

// Guards against reading requests only to refuse them.
func TestRouterAtCapacityShedsAtOnce(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	applyLoad(p, 1)
	require.True(t, p.atCapacity())
	require.False(t, p.admitConn(), "shed although nothing was refused yet")
}

func TestNothingIsShedBelowCapacity(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	for range 20 {
		p.countRefusal()
		p.countRequest(true)
	}
	require.True(t, p.admitConn())
}

// Guards against more connections waiting to be read than the budget covers.
func TestUnreadConnectionsReserveBudget(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	admitted := 0
	for p.admitConn() {
		admitted++
		require.Less(t, admitted, 1000)
	}
	for range admitted / 2 {
		p.readDelay.recordFirstRead(frozen())
	}
	admittedLater := 0
	for p.admitConn() {
		admittedLater++
	}
	require.InDelta(t, admitted/2, admittedLater, 2)
}

func TestUnknownCPUShareShedsNothing(t *testing.T) {
	p := newPressure(reservedFiles+1, 0, frozen)
	p.upstreamConns.Add(1)
	for range 1000 {
		p.countRefusal()
	}
	require.True(t, p.atCapacity())
	require.True(t, p.admitConn())
}

// Guards against a full router whose callers wait until their deadlines.
func TestShedConnectionIsClosedAtOnce(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	applyLoad(p, 1)
	listener, err := listenCallers("127.0.0.1:0", p, zerolog.Nop())
	require.NoError(t, err)
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	shed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer shed.Close()
	_, err = shed.Read(make([]byte, 1))
	require.Error(t, err, "the connection was closed")
	require.Empty(t, accepted)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond, "further connections are refused")
	applyLoad(p, 0)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}, 5*time.Second, time.Millisecond)
	_ = (<-accepted).Close()
}

// Guards against a listener that waits forever for capacity, or listens again,
// after it was closed.
func TestClosedListenerStaysClosed(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	applyLoad(p, 1)
	listener, err := listenCallers("127.0.0.1:0", p, zerolog.Nop())
	require.NoError(t, err)
	listener.closePort()
	done := make(chan error)
	go func() {
		_, err := listener.Accept()
		done <- err
	}()
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
	applyLoad(p, 0)
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)
}

func TestPortClosedTimeIsSummed(t *testing.T) {
	var p closedTimer
	now := frozen()
	p.begin(now)
	require.Equal(t, time.Second, p.sum(now.Add(time.Second)))
	p.end(now.Add(2 * time.Second))
	require.Equal(t, 2*time.Second, p.sum(now.Add(time.Minute)))
}

// Guards against unread connections that end and leave the budget empty.
func TestUnreadConnectionsReturnTheirBudget(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	for range 100 {
		conn, other := net.Pipe()
		defer other.Close()
		require.True(t, p.admitConn())
		_ = p.readDelay.withArrival(t.Context(), conn)
		p.connStateChanged(conn, http.StateNew)
		p.connStateChanged(conn, http.StateClosed)
	}
}

// Guards against a router that reports ready while its port is closed for
// seconds.
func TestClosedPortIsNotReady(t *testing.T) {
	clock := newClock()
	p := newPressure(0, smallVMCores, clock.now)
	round := func() {
		clock.advance(tickInterval)
		p.observe(0, tickInterval)
	}
	p.portClosed.begin(clock.now())
	clock.advance(capacityPollInterval)
	p.portClosed.end(clock.now())
	round()
	require.True(t, p.acceptsNewCallers(), "a short closure does not make the router not ready")
	p.portClosed.begin(clock.now())
	round()
	round()
	require.False(t, p.acceptsNewCallers())
	p.portClosed.end(clock.now())
	for range 2 * int(minNotReady/tickInterval) {
		round()
	}
	require.True(t, p.acceptsNewCallers())
}
