package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// smallVMCores is a processor share in cores of a small VM.
const smallVMCores = 0.2

// applyLoad has a pressure expect that a part of its processor share is taken by
// events, as after some seconds at that rate.
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

// Guards against a flooded router whose refusals take the time of its streams.
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

// Guards against connections that are read only to be refused.
func TestFullRouterShedsAtOnce(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	applyLoad(p, 1)
	require.True(t, p.atCapacity())
	require.False(t, p.admitConn(), "nothing was refused yet")
}

func TestNothingIsShedBelowCapacity(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	for range 20 {
		p.countRefusal()
		p.countRequest(true)
	}
	require.True(t, p.admitConn())
}

// Guards against more connections that wait to be read than there is room for.
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

// Guards against callers of a full router who wait until their deadlines.
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
	require.Error(t, err, "the connection has ended")
	require.Empty(t, accepted)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond, "further ones are refused")
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

// Guards against a listener that waits for room for good, or listens again, after its close.
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

// Guards against connections that end unread and leave the budget empty.
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

// Guards against a router that says it is ready while its port is closed for seconds.
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
	require.True(t, p.acceptsNewCallers(), "a moment without room is no reason to go")
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
