package peer

import (
	"crypto/rand"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// Eight routers start at once, as after a planned replacement of all VMs. Seven
// of them know only the address of the first, and many pairs dial each other at
// the same moment. Each pair must end up with exactly one session.
func TestGossipFromOneSeedConverges(t *testing.T) {
	f := newFleet(t)
	var names []state.Router
	seed := f.start("r0", 1)
	for i := 1; i < 8; i++ {
		f.start(fmt.Sprintf("r%d", i), 1, seed.Addr())
	}
	for _, n := range f.nodes {
		names = append(names, n.name)
	}
	f.advanceUntil(func() bool {
		for _, n := range f.nodes {
			if !n.seesExactly(names...) || n.handshaking() || len(n.acceptedSessions()) != len(names)-1 {
				return false
			}
		}
		return true
	})
}

// The link between two data centres breaks, while both still reach a third
// router. Only these two must lose each other, so that no other router sees
// owners change. They must reconnect without a new seed when the link heals.
func TestCutOfOneLinkHeals(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	c := f.start("ramales-1", 1, a.Addr())
	all := []state.Router{"castro-1", "laredo-1", "ramales-1"}
	f.advanceUntil(func() bool { return a.seesExactly(all...) && b.seesExactly(all...) && c.seesExactly(all...) })
	f.setLink("castro-1", "laredo-1", linkCut)
	f.advanceUntil(func() bool { return a.seesExactly("castro-1", "ramales-1") && b.seesExactly("laredo-1", "ramales-1") })
	require.True(t, c.seesExactly(all...))
	f.setLink("castro-1", "laredo-1", linkUp)
	f.advanceUntil(func() bool { return a.seesExactly(all...) && b.seesExactly(all...) && c.seesExactly(all...) })
}

// A network partition separates two data centres from two others without
// resetting connections. Each side continues alone, and a router joins one
// side. After the partition, the other side must learn of the new router
// through gossip.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	c, d := f.start("ramales-1", 1, a.Addr()), f.start("santona-1", 1, a.Addr())
	f.advanceUntil(func() bool {
		return len(a.acceptedSessions())+len(b.acceptedSessions())+len(c.acceptedSessions())+len(d.acceptedSessions()) == 12
	})
	setCut := func(s linkState) {
		for _, far := range []state.Router{"ramales-1", "ramales-2", "santona-1"} {
			f.setLink("castro-1", far, s)
			f.setLink("laredo-1", far, s)
		}
	}
	setCut(linkDead)
	f.advanceUntil(func() bool {
		return a.seesExactly("castro-1", "laredo-1") && b.seesExactly("castro-1", "laredo-1") &&
			c.seesExactly("ramales-1", "santona-1") && d.seesExactly("ramales-1", "santona-1")
	})
	e := f.start("ramales-2", 1, c.Addr())
	f.advanceUntil(func() bool { return d.seesExactly("ramales-1", "ramales-2", "santona-1") })
	setCut(linkUp)
	f.advanceUntil(func() bool {
		all := []state.Router{"castro-1", "laredo-1", "ramales-1", "ramales-2", "santona-1"}
		return !slices.ContainsFunc([]*node{a, b, c, d, e}, func(n *node) bool { return !n.seesExactly(all...) })
	})
}

// A route is lost without a reset: bytes leave and nothing comes back, and TCP
// would wait for minutes while owners send grants to an unreachable router.
// Missed heartbeats must end the session on both sides, and the pair must
// reconnect once the route is back.
func TestHalfOpenConnectionIsGivenUp(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	f.setLink("castro-1", "laredo-1", linkDead)
	f.advanceUntil(func() bool { return a.seesExactly("castro-1") && b.seesExactly("laredo-1") })
	require.Zero(t, a.Stats().Overflows+b.Stats().Overflows, "the silence must end the session, not a full queue")
	f.setLink("castro-1", "laredo-1", linkUp)
	f.advanceUntil(func() bool { return a.seesExactly("castro-1", "laredo-1") && b.seesExactly("castro-1", "laredo-1") })
}

// A connection breaks and the pair reconnects within ReconnectGrace. Neither
// departs, but messages in flight are lost. Both hosts must be notified of the
// new session; otherwise a lost demand is never sent again.
func TestReconnectWithinGraceAsksForFullState(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	a.sessionWith("laredo-1").end(net.ErrClosed)
	f.advanceUntil(func() bool { return a.openedFrom("laredo-1") >= 2 && b.openedFrom("castro-1") >= 2 })
	require.True(t, a.seesExactly("castro-1", "laredo-1"))
}

// A VM stops without closing its connections and its successor starts under the
// same name, while the old session lingers for seconds. The successor must be
// accepted at once; otherwise grants to it go to a dead connection.
func TestRestartedPeerReplacesLingeringSession(t *testing.T) {
	f := newFleet(t)
	old := f.start("laredo-1", 1)
	// The old session was dialled by the router with the smaller name, so it
	// would be preferred over a new one of the same incarnation.
	a := f.start("castro-1", 1, old.Addr())
	f.advanceUntil(func() bool { return a.seesExactly("castro-1", "laredo-1") && old.seesExactly("castro-1", "laredo-1") })
	f.setLink("castro-1", "laredo-1", linkDead)
	// The link becomes dead with the first byte that it loses.
	require.True(t, a.Send("laredo-1", grantEnvelope(1)))
	old.opts.FlushTimeout = 0
	f.stop(old)
	f.setLink("castro-1", "laredo-1", linkUp)
	oldSession := a.sessionWith("laredo-1")
	successor := f.start("laredo-1", 2, a.Addr())
	f.waitFor(func() bool {
		return a.findPeer("laredo-1").Incarnation == 2 && successor.seesExactly("castro-1", "laredo-1")
	})
	require.NotSame(t, oldSession, a.sessionWith("laredo-1"))
}

// A process is paused with its VM, and the platform starts a successor under
// its name. When the old process resumes and dials, it must get no session;
// otherwise two processes would act under one name.
func TestPausedProcessIsRefusedAfterItsSuccessor(t *testing.T) {
	f := newFleet(t)
	a, _ := f.startPair()
	old := f.start("laredo-1", 1, a.Addr())
	f.waitFor(func() bool { return a.Stats().Refused == 1 && !old.handshaking() })
	require.Zero(t, old.Stats().Sessions)
	require.EqualValues(t, 1, a.Stats().Sessions)
}

// The wall clock of a VM is set back and its router is killed. The new process
// has the smaller incarnation, and its peers remember the old one for minutes.
// With SoleProcess it must raise its incarnation above the old one and join.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	f := newFleet(t)
	f.configure = func(o *Options) { o.SoleProcess = true }
	a, old := f.startPair()
	f.stop(old)
	f.advanceUntil(func() bool { return a.seesExactly("castro-1") })
	successor := f.start("laredo-1", 1, a.Addr())
	f.advanceUntil(func() bool {
		return a.seesExactly("castro-1", "laredo-1") && successor.seesExactly("castro-1", "laredo-1")
	})
	require.EqualValues(t, 3, a.findPeer("laredo-1").Incarnation)
}

// A peer stops reading, as a frozen VM does, during a burst of messages. Each
// Send must return at once; otherwise this router's scheduler stops. The
// overflow must drop only this session, and the frozen peer must get a new one
// later.
func TestFrozenPeerDoesNotBlockSend(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	c := f.start("ramales-1", 1, a.Addr())
	all := []state.Router{"castro-1", "laredo-1", "ramales-1"}
	f.advanceUntil(func() bool { return a.seesExactly(all...) && b.seesExactly(all...) && c.seesExactly(all...) })
	b.readBlock.Lock()
	for a.Send("laredo-1", grantEnvelope(1)) {
	}
	require.True(t, a.Send("ramales-1", grantEnvelope(2)))
	f.waitFor(func() bool { return c.receivedFrom("castro-1") == 1 && a.Stats().Overflows == 1 })
	b.readBlock.Unlock()
	f.advanceUntil(func() bool { return a.openedFrom("laredo-1") >= 2 && a.seesExactly(all...) && b.seesExactly(all...) })
}

// This process does not run for a minute, and its timers fire before its
// sockets are read. All its peers are live, and none may be declared dead.
func TestFrozenProcessKeepsItsPeers(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	// Messages received before the pause must not count as received after it.
	f.advanceUntil(func() bool {
		return !a.sessionWith("laredo-1").messageReceived.Load() && !b.sessionWith("castro-1").messageReceived.Load()
	})
	f.tick(60 * membership.HeartbeatInterval)
	f.waitFor(f.settled)
	f.tick(membership.TickInterval)
	f.waitFor(f.settled)
	require.EqualValues(t, 1, a.Stats().Resumed)
	require.True(t, a.seesExactly("castro-1", "laredo-1"))
	require.Equal(t, 1, a.openedFrom("laredo-1"))
}

// A router starts draining. Its peers must be notified at once instead of with
// the next heartbeat, and must drop the router without ReconnectGrace when it
// stops.
func TestDrainingIsAnnounced(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	b.SetDraining(true)
	f.waitFor(func() bool { return a.findPeer("laredo-1").Draining })
	f.stop(b)
	f.waitFor(func() bool { return a.seesExactly("castro-1") })
}

// A router stops while its last messages wait for a peer that is not reading.
// They carry counters that no other router has, so the stop must wait until the
// peer has read them.
func TestStopSendsWhatIsQueued(t *testing.T) {
	f := newFleet(t)
	a := f.start("castro-1", 1)
	b := f.start("laredo-1", 1, a.Addr())

	f.advanceUntil(func() bool { return a.seesExactly("castro-1", "laredo-1") && b.seesExactly("castro-1", "laredo-1") })
	a.readBlock.Lock()
	const objects = 4
	for range objects {
		object := &peerpb.ConfigObject{Value: make([]byte, 1<<20)}
		require.True(t, b.Send("castro-1", &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: object}}))
	}
	b.cancel()
	f.waitFor(func() bool { return f.running() == 1 })
	a.readBlock.Unlock()
	f.stop(b)
	f.waitFor(func() bool { return a.receivedFrom("laredo-1") == objects })
}

// A router of another fleet, or with another protocol version, dials this
// router's address by mistake. It must get no session, and both sides must
// count the refusal.
func TestForeignFleetIsRefused(t *testing.T) {
	f := newFleet(t)
	a := f.start("castro-1", 1)
	f.configure = func(o *Options) { o.Self.Fleet = "aravena" }
	b := f.start("pudahuel-1", 1, a.Addr())
	f.advanceUntil(func() bool { return a.Stats().Refused > 0 && b.Stats().Refused > 0 })
	require.True(t, a.seesExactly("castro-1"))
	require.True(t, b.seesExactly("pudahuel-1"))
}

// A client opens the peer port and sends random bytes, a frame beyond the
// limit, or nothing. Each connection must end without affecting the other
// sessions.
func TestGarbageEndsOnlyItsOwnConnection(t *testing.T) {
	f := newFleet(t)
	a := f.start("castro-1", 1)
	noise := make([]byte, 64<<10)
	_, _ = rand.Read(noise)
	noise[0] = 0xff
	for i, payload := range [][]byte{noise, []byte("GET / HTTP/1.1\r\nHost: castro-1\r\n\r\n"), nil} {
		conn, err := net.Dial("tcp", a.Addr())
		require.NoError(t, err)
		_, _ = conn.Write(payload)
		f.waitFor(func() bool {
			f.tick(membership.TickInterval)
			return a.Stats().Failed == uint64(i+1)
		})
		require.NoError(t, conn.Close())
	}
	b := f.start("laredo-1", 1, a.Addr())
	f.advanceUntil(func() bool { return a.seesExactly("castro-1", "laredo-1") && b.seesExactly("castro-1", "laredo-1") })
	s := b.sessionWith("castro-1")
	oversized := make([]byte, wire.MaxControlFrameBytes+1)
	frame, err := wire.AppendFrame(nil, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{Value: oversized}}})
	require.NoError(t, err)
	require.True(t, s.enqueue(s.control, frame))
	f.advanceUntil(func() bool { return a.openedFrom("laredo-1") >= 2 && b.openedFrom("castro-1") >= 2 })
}

// A router stops near the end of its grace period while a peer does not read.
// If it waits a second for that peer, it is killed: its last log line is
// "requests cut off at the end of the grace period" at 7.5 s, and "stopped" is
// never logged.
func TestStopWaitsAtMostTheFlushTimeout(t *testing.T) {
	f := newFleet(t)
	a, b := f.startPair()
	b.readBlock.Lock()
	defer b.readBlock.Unlock()
	require.True(t, a.Send("laredo-1", grantEnvelope(1)))
	a.opts.FlushTimeout = time.Millisecond
	f.stop(a)
}
