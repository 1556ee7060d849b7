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

// Slopes of real sessions over loopback.
const (
	SessionBytes  SlopeName = "session.bytes"
	SessionTime   SlopeName = "session.time"
	SessionMemory SlopeName = "session.memory"
	SessionQueue  SlopeName = "session.queue"
)

// sessionTimeout ends a measurement whose sessions do not come about.
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

// stoppedClock never ticks, so that no heartbeat is among what is counted.
type stoppedClock struct{}

// Now returns the time.
func (stoppedClock) Now() time.Time { return time.Now() }

// Ticker returns a channel that never receives.
func (stoppedClock) Ticker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// meshGroup are routers of one process with sessions between all of them.
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

// decode does what a daemon does before the scheduler hears of a message.
func (m *meshGroup) decode(from peer.Peer, env *peerpb.Envelope) {
	if _, err := wire.ToEvent(from.Router, from.Incarnation, env); err == nil {
		m.received <- struct{}{}
	}
}

// awaitSessions returns once every router has a session with every other one.
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

// resourceCost is what one message takes at both ends together.
type resourceCost struct{ bytes, cpuNanoseconds float64 }

// countedMessages are so many that a frame of the session's own among them,
// such as the one that opens the bulk stream, is a thousandth of the result.
const countedMessages = 1000

// messageCost sends one usage message after the other, since those that wait
// together share a yamux frame. The receiver counts a message's bytes before it
// is heard of, the sender perhaps later.
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
	bytes, cpu := m.meshes[1].Stats().Total.BytesIn, processCPUTime()
	for range countedMessages {
		m.sendUsage(usage)
	}
	used := processCPUTime() - cpu
	sentBytes := float64(m.meshes[1].Stats().Total.BytesIn-bytes) / countedMessages
	return resourceCost{bytes: sentBytes - frame, cpuNanoseconds: float64(used.Nanoseconds()) / countedMessages}, nil
}

// sendUsage sends one message and waits until its receiver has decoded it.
func (m *meshGroup) sendUsage(usage scheduler.SendUsage) {
	if m.meshes[0].Send(peerNamed(1).Router, envelope(usage)) {
		<-m.received
	}
}

// sessionQueue sends to a router that does not read until the session ends,
// as one that is told much at once over a slow link does.
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

// drainReceived lets handlers end that wait to be heard.
func (m *meshGroup) drainReceived() {
	go func() {
		for range m.received {
		}
	}()
}

// sessionMemory is the memory of one router with so many sessions.
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
