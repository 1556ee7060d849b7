package edge

import (
	"net"
	"testing"
	"time"

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
			p.work.Event()
		}
		p.observe(0, scanEvery)
	}
}

// Refusals took the whole processor of a flooded router, and streams were late.
func TestRefusalsLeaveTimeForStreams(t *testing.T) {
	now := frozen()
	p := newPressure(0, smallVM, func() time.Time { return now })
	load(p, 1)
	require.True(t, p.full())
	require.False(t, p.sheds(), "nothing was refused yet")
	perSecond := int(p.work.RefusalRate(refusalShare))
	for range perSecond {
		p.refusals.count()
	}
	require.True(t, p.sheds())
	now = now.Add(refusalBurst)
	require.False(t, p.sheds())
}

func TestNothingIsShedWithRoom(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	for range 1000 {
		p.refusals.count()
	}
	require.True(t, p.refusals.spent())
	require.False(t, p.sheds())
}

func TestUnknownShareShedsNothing(t *testing.T) {
	p := newPressure(reservedFiles+1, 0, frozen)
	p.upstreams.Add(1)
	for range 1000 {
		p.refusals.count()
	}
	require.True(t, p.full())
	require.False(t, p.sheds())
}

// Callers of a full router waited until their deadlines.
func TestShedConnectionEndsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	p := newPressure(0, smallVM, frozen)
	load(p, 1)
	for range 1000 {
		p.refusals.count()
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := shedder{listener, p}.Accept()
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
	load(p, 0)
	welcome, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer welcome.Close()
	_ = (<-accepted).Close()
}
