package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// smallVM is a processor share in cores of a small VM.
const smallVM = 0.2

// load has a pressure expect that a part of its processor share is taken by
// events, as after some seconds at that rate.
func load(p *pressure, part float64) {
	const event = 25 * time.Microsecond
	perRound := int(part * smallVM * float64(scanEvery) / float64(event))
	for range 60 {
		for range perRound {
			p.work.AddEvent()
		}
		p.observe(0, scanEvery)
	}
}

// Guards against a flooded router whose refusals take the time of its streams.
func TestRefusalsLeaveTimeForStreams(t *testing.T) {
	now := frozen()
	p := newPressure(0, smallVM, func() time.Time { return now })
	for range 1000 {
		p.refused()
	}
	require.True(t, p.full())
	require.False(t, p.take())
	now = now.Add(time.Second)
	require.True(t, p.take())
}

// Guards against connections that are read only to be refused.
func TestFullRouterShedsAtOnce(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	load(p, 1)
	require.True(t, p.full())
	require.False(t, p.take(), "nothing was refused yet")
}

func TestNothingIsShedWithRoom(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	for range 20 {
		p.refused()
		p.requested(true)
	}
	require.True(t, p.take())
}

// Guards against more connections that wait to be read than there is room for.
func TestUnreadConnectionsHoldRoom(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	taken := 0
	for p.take() {
		taken++
		require.Less(t, taken, 1000)
	}
	for range taken / 2 {
		p.arrivals.read(frozen())
	}
	again := 0
	for p.take() {
		again++
	}
	require.InDelta(t, taken/2, again, 2)
}

func TestUnknownShareShedsNothing(t *testing.T) {
	p := newPressure(reservedFiles+1, 0, frozen)
	p.upstreams.Add(1)
	for range 1000 {
		p.refused()
	}
	require.True(t, p.full())
	require.True(t, p.take())
}

// Guards against callers of a full router who wait until their deadlines.
func TestShedConnectionEndsAtOnce(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	load(p, 1)
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
	load(p, 0)
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
	p := newPressure(0, smallVM, frozen)
	load(p, 1)
	listener, err := listenCallers("127.0.0.1:0", p, zerolog.Nop())
	require.NoError(t, err)
	listener.pause()
	done := make(chan error)
	go func() {
		_, err := listener.Accept()
		done <- err
	}()
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
	load(p, 0)
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)
}

func TestPausesAreMeasured(t *testing.T) {
	var p pauses
	now := frozen()
	p.begin(now)
	require.Equal(t, time.Second, p.sum(now.Add(time.Second)))
	p.end(now.Add(2 * time.Second))
	require.Equal(t, 2*time.Second, p.sum(now.Add(time.Minute)))
}

// Guards against connections that end unread and leave the budget empty.
func TestUnreadConnectionsGiveTheirRoomBack(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	for range 100 {
		conn, other := net.Pipe()
		defer other.Close()
		require.True(t, p.take())
		_ = p.arrivals.withArrival(t.Context(), conn)
		p.changed(conn, http.StateNew)
		p.changed(conn, http.StateClosed)
	}
}

// Guards against a router that says it is ready while its port is closed for seconds.
func TestClosedPortIsNotReady(t *testing.T) {
	clock := newClock()
	p := newPressure(0, smallVM, clock.now)
	round := func() {
		clock.advance(scanEvery)
		p.observe(0, scanEvery)
	}
	p.paused.begin(clock.now())
	clock.advance(roomPoll)
	p.paused.end(clock.now())
	round()
	require.True(t, p.welcomes(), "a moment without room is no reason to go")
	p.paused.begin(clock.now())
	round()
	round()
	require.False(t, p.welcomes())
	p.paused.end(clock.now())
	for range 2 * int(minAway/scanEvery) {
		round()
	}
	require.True(t, p.welcomes())
}
