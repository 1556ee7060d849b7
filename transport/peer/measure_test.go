package peer

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// writeCounter counts the calls of Write.
type writeCounter struct {
	net.Conn
	writes int
}

func (c *writeCounter) Write(p []byte) (int, error) {
	c.writes++
	return c.Conn.Write(p)
}

// Each message of a stream must be written in one call so that it leaves in one
// TCP segment; otherwise small messages need twice the packets.
func TestHeaderAndBodyAreWrittenTogether(t *testing.T) {
	near, far := net.Pipe()
	counter := &writeCounter{Conn: near}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	client, err := yamux.Client(&frameJoiningConn{Conn: counter}, cfg)
	require.NoError(t, err)
	server, err := yamux.Server(far, cfg)
	require.NoError(t, err)
	stream, err := client.OpenStream()
	require.NoError(t, err)
	acceptedStream, err := server.AcceptStream()
	require.NoError(t, err)
	const messages = 10
	for range messages {
		_, err = stream.Write([]byte("grant"))
		require.NoError(t, err)
		_, err = io.ReadFull(acceptedStream, make([]byte, 5))
		require.NoError(t, err)
	}
	require.NoError(t, client.Close())
	require.NoError(t, server.Close())
	require.Equal(t, 1+messages, counter.writes, "one frame opens the stream and one carries each message")
}

func demandAction(entries int) scheduler.Action {
	var list []scheduler.DemandEntry
	for i := range entries {
		list = append(list, scheduler.DemandEntry{Workspace: state.Workspace(fmt.Sprintf("turismo-oriental-%02d", i)), Model: "borrador-7b-v3", Waiting: 12, HeadAge: 2 * time.Second, HeadCost: 1500 * state.CostUnit})
	}
	return scheduler.SendDemand{Demand: scheduler.Demand{Service: "redaccion-figstile", Entries: list}}
}

func usageAction(origin state.Router, entries int) scheduler.Action {
	var list []scheduler.UsageEntry
	for i := range entries {
		list = append(list, scheduler.UsageEntry{Service: "redaccion-figstile", Workspace: state.Workspace(fmt.Sprintf("turismo-oriental-%02d", i)), Charged: 250_000 * state.CostUnit, Reserved: 3000 * state.CostUnit, Lift: 90_000 * state.CostUnit})
	}
	return scheduler.SendUsage{Origin: origin, Incarnation: 1_767_225_600_000, Entries: list}
}

// BenchmarkMessage reports how many bytes one message adds to the TCP
// connection, including the yamux header. Names and numbers are as long as
// those of the deployed fleet.
func BenchmarkMessage(b *testing.B) {
	const router, service, workspace, upstream = "sala-laredo-1", "redaccion-figstile", "turismo-oriental-01", "redaccion-laredo-03"
	for name, action := range map[string]scheduler.Action{
		"demand-1":       demandAction(1),
		"demand-16":      demandAction(16),
		"grant":          scheduler.SendGrant{Grant: scheduler.Grant{Sequence: 5_000_000, Service: service, Workspace: workspace, Model: "borrador-7b-v3", Upstream: upstream, Lifetime: time.Second, Reserved: 1500 * state.CostUnit}},
		"decline":        scheduler.SendDecline{Sequence: 5_000_000, Service: service, Demand: scheduler.DemandEntry{Workspace: workspace}},
		"progress":       scheduler.SendProgress{Sequence: 5_000_000, Upstream: upstream, Service: service, Workspace: workspace, Cost: 64 * state.CostUnit},
		"ended":          scheduler.SendEnded{Sequence: 5_000_000, Upstream: upstream, Service: service, Workspace: workspace, Cost: 64 * state.CostUnit, Outcome: scheduler.OutcomeServed},
		"usage-1":        usageAction("", 1),
		"usage-1-origin": usageAction(router, 1),
		"usage-16":       usageAction("", 16),
	} {
		env, _, _ := wire.ToEnvelope(action)
		b.Run(name, func(b *testing.B) { measureMessage(b, env) })
	}
	heartbeat := &peerpb.Heartbeat{Sequence: 100_000, Echo: 100_000, EchoHeldUs: 999_000}
	b.Run("heartbeat", func(b *testing.B) {
		measureMessage(b, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}})
	})
}

func measureMessage(b *testing.B, env *peerpb.Envelope) {
	f := newFleet(b)
	from, to := f.startPair()
	f.waitFor(f.settled)
	received := func() uint64 { return to.Stats().Total.MessagesIn }
	before, receivedBefore := from.Stats().Total, received()
	sent := uint64(0)
	for b.Loop() {
		require.True(b, from.Send(to.name, env))
		sent++
		f.waitFor(func() bool { return received() == receivedBefore+sent })
	}
	after := from.Stats().Total
	b.ReportMetric(float64(after.BytesOut-before.BytesOut)/float64(sent), "wire-B/msg")
}

// BenchmarkIdleMesh reports how many bytes an idle mesh sends over two gossip
// intervals of a simulated clock, and the memory per session and per router.
func BenchmarkIdleMesh(b *testing.B) {
	for _, routers := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, routers)
			}
		})
	}
}

func measureIdle(b *testing.B, routers int) {
	f := newFleet(b)
	f.start("sala-laredo-00", 1_767_225_600_000)
	emptyMemory := memoryInUse()
	for i := 1; i < routers; i++ {
		f.start(fmt.Sprintf("sala-laredo-%02d", i), 1_767_225_600_000, f.nodes[0].Addr())
	}
	startedMemory := memoryInUse()
	f.advanceUntil(func() bool {
		for _, n := range f.nodes {
			if len(n.acceptedSessions()) != routers-1 {
				return false
			}
		}
		return f.settled()
	})
	connectedMemory := memoryInUse()
	const span = 2 * membership.GossipInterval
	bytesBefore := f.bytesOut()
	for range span / membership.TickInterval {
		f.tick(membership.TickInterval)
		f.waitFor(f.settled)
	}
	b.ReportMetric(float64(f.bytesOut()-bytesBefore)/span.Seconds()/float64(routers), "B/s/router")
	b.ReportMetric(float64(connectedMemory-startedMemory)/float64(routers*(routers-1)), "mem-B/session")
	b.ReportMetric(float64(startedMemory-emptyMemory)/float64(routers-1), "mem-B/router")
}

func (f *fleet) bytesOut() (sum uint64) {
	for _, n := range f.nodes {
		sum += n.Stats().Total.BytesOut
	}
	return sum
}

// memoryInUse returns the number of bytes in the live heap and in stacks.
func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
