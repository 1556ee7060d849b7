package capacity

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/transport/peer"
)

// These slopes measure real sessions over the loopback interface.
const (
	SessionBytes  SlopeName = "session.bytes"
	SessionTime   SlopeName = "session.time"
	SessionMemory SlopeName = "session.memory"
	SessionQueue  SlopeName = "session.queue"
)

// sessionTimeout is the time after which a measurement fails if its sessions
// have not been established.
const sessionTimeout = 10 * time.Second

var errNoSession = errors.New("capacity: no session between routers on loopback")

func sessionMeasurements() []measurement {
	counters := []int{1, 10, 100, 1000}
	return []measurement{
		{
			name: SessionBytes, unit: "B on TCP beyond the frame", sizeUnit: "counters in a message", sizes: counters,
			measure: func(ctx context.Context, n int) (float64, error) {
				cost, err := messageCost(ctx, n)
				return cost.bytes, err
			},
		},
		{
			name: SessionTime, unit: "ns", sizeUnit: "counters in a message", machineDependent: true, sizes: counters,
			measure: func(ctx context.Context, n int) (float64, error) {
				cost, err := messageCost(ctx, n)
				return cost.cpuNanoseconds, err
			},
		},
		{
			name: SessionMemory, unit: "B", sizeUnit: "sessions of a router", sizes: []int{1, 3, 7, 15},
			measure: sessionMemory,
		},
		{
			name: SessionQueue, unit: "B sent at once before a session overflows", sizeUnit: "counters in a message", sizes: []int{1500, 3000, 6000},
			measure: sessionQueue,
		},
	}
}

// stoppedClock is a clock without ticks, so that no heartbeats are sent and
// counted.
type stoppedClock struct{}

// Now returns the real time.
func (stoppedClock) Now() time.Time { return time.Now() }

// Ticker returns a channel that never receives.
func (stoppedClock) Ticker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// meshGroup runs several routers in one process, with sessions between all of
// them.
type meshGroup struct {
	meshes   []*peer.Mesh
	received chan struct{}
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func startMeshGroup(ctx context.Context, n int) (*meshGroup, error) {
	ctx, cancel := context.WithCancel(ctx)
	m := &meshGroup{received: make(chan struct{}, 1), cancel: cancel}
	var seeds []string
	for i := range n {
		mesh, err := peer.New(m.options(i, seeds))
		if err != nil {
			m.stop()
			return nil, err
		}
		seeds = append(seeds, mesh.Addr())
		m.meshes = append(m.meshes, mesh)
		m.running.Go(func() { _ = mesh.Run(ctx) })
	}
	if err := m.awaitSessions(ctx); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

func (m *meshGroup) options(i int, seeds []string) peer.Options {
	self := peerNamed(i)
	return peer.Options{
		Self: peer.Self{
			Peer:  peer.Peer{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation},
			Fleet: "figstile",
		},
		Listen:  "127.0.0.1:0",
		Seeds:   append([]string(nil), seeds...),
		Handler: m.decode,
		OnPeers: func([]scheduler.Peer) {},
		Log:     zerolog.Nop(),
		Clock:   stoppedClock{},
	}
}

// decode decodes a message as a daemon does before it passes the message to the
// scheduler.
func (m *meshGroup) decode(from peer.Peer, env *peerpb.Envelope, _ time.Time) {
	if _, err := wire.ToEvent(from.Router, from.Incarnation, env); err == nil {
		m.received <- struct{}{}
	}
}

// awaitSessions returns when every router has a session with every other one,
// or with an error after sessionTimeout.
func (m *meshGroup) awaitSessions(ctx context.Context) error {
	deadline := time.Now().Add(sessionTimeout)
	for !m.allConnected() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errNoSession
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (m *meshGroup) allConnected() bool {
	for _, mesh := range m.meshes {
		connected := 0
		for _, p := range mesh.Stats().Peers {
			if p.Connected {
				connected++
			}
		}
		if connected < len(m.meshes)-1 {
			return false
		}
	}
	return true
}

func (m *meshGroup) stop() {
	m.cancel()
	m.running.Wait()
	close(m.received)
}

// resourceCost is the traffic in bytes, and the CPU time in nanoseconds that both
// ends together use, for one message or per second.
type resourceCost struct{ bytes, cpuNanoseconds float64 }

// countedMessages is the number of messages that are counted. It is large
// enough that one frame of the session itself, such as the one that opens the
// bulk stream, changes the result by a thousandth.
const countedMessages = 1000

// messageCost returns the cost of one usage message. The bytes are those that the
// session adds to the encoded message and its length prefix. It sends the messages
// one after the other, because messages that wait together share a yamux frame. It
// uses the byte count of the receiver, which is updated before the message is
// delivered, whereas the sender may update its own count later.
func messageCost(ctx context.Context, counters int) (resourceCost, error) {
	m, err := startMeshGroup(ctx, 2)
	if err != nil {
		return resourceCost{}, err
	}
	defer m.stop()
	usage := scheduler.SendUsage{Origin: "router-0000", Incarnation: sampleIncarnation, Entries: sampleUsage(counters, 1e9)}
	frame, err := frameBytes(envelope(usage))
	if err != nil {
		return resourceCost{}, err
	}
	m.sendUsage(usage)
	bytesBefore, cpuBefore := m.meshes[1].Stats().Total.BytesIn, processCPUTime()
	for range countedMessages {
		m.sendUsage(usage)
	}
	cpuTime := processCPUTime() - cpuBefore
	sentBytes := float64(m.meshes[1].Stats().Total.BytesIn-bytesBefore) / countedMessages
	return resourceCost{bytes: sentBytes - frame, cpuNanoseconds: float64(cpuTime.Nanoseconds()) / countedMessages}, nil
}

// sendUsage sends one message and waits until the receiver has decoded it.
func (m *meshGroup) sendUsage(usage scheduler.SendUsage) {
	if m.meshes[0].Send(peerNamed(1).Router, envelope(usage)) {
		<-m.received
	}
}

// sessionQueue returns the number of bytes that can be sent to a router that
// does not read until the session ends. A router that is sent much data at once
// over a slow link behaves in the same way.
func sessionQueue(ctx context.Context, counters int) (float64, error) {
	m, err := startMeshGroup(ctx, 2)
	if err != nil {
		return 0, err
	}
	env := envelope(scheduler.SendUsage{Origin: "router-0000", Incarnation: sampleIncarnation, Entries: sampleUsage(counters, 1e9)})
	frame, err := frameBytes(env)
	queued := 0.0
	for err == nil && m.meshes[0].Send(peerNamed(1).Router, env) {
		queued += frame
	}
	m.drainReceived()
	m.stop()
	return queued, err
}

// drainReceived discards notifications of received messages, so that handlers
// blocked on sending them return.
func (m *meshGroup) drainReceived() {
	go func() {
		for range m.received {
		}
	}()
}

// sessionMemory returns the memory, in bytes, of one router with the given
// number of sessions.
func sessionMemory(ctx context.Context, sessions int) (float64, error) {
	routers := sessions + 1
	var started *meshGroup
	var err error
	total := memoryOf(func() any {
		started, err = startMeshGroup(ctx, routers)
		return started
	})
	if err != nil {
		return 0, err
	}
	started.stop()
	return total / float64(routers), nil
}
