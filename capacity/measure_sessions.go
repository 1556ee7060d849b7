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
	SessionBytes  Name = "session.bytes"
	SessionTime   Name = "session.time"
	SessionMemory Name = "session.memory"
	SessionQueue  Name = "session.queue"
)

// sessionTimeout ends a measurement whose sessions do not come about.
const sessionTimeout = 10 * time.Second

var errNoSession = errors.New("capacity: no session between routers on loopback")

func sessionMeasurements() []measurement {
	counters := []int{1, 10, 100, 1000}
	return []measurement{
		{
			name: SessionBytes, unit: "B on TCP beyond the frame", against: "counters in a message", sizes: counters,
			value: func(ctx context.Context, n int) (float64, error) {
				cost, err := messageCost(ctx, n)
				return cost.bytes, err
			},
		},
		{
			name: SessionTime, unit: "ns", against: "counters in a message", machine: true, sizes: counters,
			value: func(ctx context.Context, n int) (float64, error) {
				cost, err := messageCost(ctx, n)
				return cost.cpu, err
			},
		},
		{
			name: SessionMemory, unit: "B", against: "sessions of a router", sizes: []int{1, 3, 7, 15},
			value: sessionMemory,
		},
		{
			name: SessionQueue, unit: "B sent at once before a session overflows", against: "counters in a message", sizes: []int{1500, 3000, 6000},
			value: sessionQueue,
		},
	}
}

// stillClock never ticks, so that no heartbeat is among what is counted.
type stillClock struct{}

// Now returns the time.
func (stillClock) Now() time.Time { return time.Now() }

// Ticker returns a channel that never receives.
func (stillClock) Ticker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// meshes are routers of one process with sessions between all of them.
type meshes struct {
	list   []*peer.Mesh
	heard  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func startMeshes(ctx context.Context, n int) (*meshes, error) {
	ctx, cancel := context.WithCancel(ctx)
	m := &meshes{heard: make(chan struct{}, 1), cancel: cancel}
	var seeds []string
	for i := range n {
		mesh, err := peer.New(m.options(i, seeds))
		if err != nil {
			m.stop()
			return nil, err
		}
		seeds = append(seeds, mesh.Addr())
		m.list = append(m.list, mesh)
		m.done.Go(func() { _ = mesh.Run(ctx) })
	}
	if err := m.await(ctx); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

func (m *meshes) options(i int, seeds []string) peer.Options {
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
		Clock:   stillClock{},
	}
}

// decode does what a daemon does before the scheduler hears of a message.
func (m *meshes) decode(from peer.Peer, env *peerpb.Envelope) {
	if _, err := wire.ToEvent(from.Router, from.Incarnation, env); err == nil {
		m.heard <- struct{}{}
	}
}

// await returns once every router has a session with every other one.
func (m *meshes) await(ctx context.Context) error {
	deadline := time.Now().Add(sessionTimeout)
	for !m.connected() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errNoSession
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (m *meshes) connected() bool {
	for _, mesh := range m.list {
		connected := 0
		for _, p := range mesh.Stats().Peers {
			if p.Connected {
				connected++
			}
		}
		if connected < len(m.list)-1 {
			return false
		}
	}
	return true
}

func (m *meshes) stop() {
	m.cancel()
	m.done.Wait()
	close(m.heard)
}

// cost is what one message takes at both ends together.
type cost struct{ bytes, cpu float64 }

// countedMessages are so many that a frame of the session's own among them,
// such as the one that opens the bulk stream, is a thousandth of the result.
const countedMessages = 1000

// messageCost sends one usage message after the other, since those that wait
// together share a yamux frame. The receiver counts a message's bytes before it
// is heard of, the sender perhaps later.
func messageCost(ctx context.Context, counters int) (cost, error) {
	m, err := startMeshes(ctx, 2)
	if err != nil {
		return cost{}, err
	}
	defer m.stop()
	usage := scheduler.SendUsage{Origin: "router-0000", Incarnation: rigIncarnation, Entries: usageOf(counters, 1e9)}
	frame, err := frameBytes(envelope(usage))
	if err != nil {
		return cost{}, err
	}
	m.send(usage)
	bytes, cpu := m.list[1].Stats().Total.BytesIn, processTime()
	for range countedMessages {
		m.send(usage)
	}
	used := processTime() - cpu
	sentBytes := float64(m.list[1].Stats().Total.BytesIn-bytes) / countedMessages
	return cost{bytes: sentBytes - frame, cpu: float64(used.Nanoseconds()) / countedMessages}, nil
}

// send sends one message and waits until its receiver has decoded it.
func (m *meshes) send(usage scheduler.SendUsage) {
	if m.list[0].Send(peerNamed(1).Router, envelope(usage)) {
		<-m.heard
	}
}

// sessionQueue sends to a router that does not read until the session ends,
// as one that is told much at once over a slow link does.
func sessionQueue(ctx context.Context, counters int) (float64, error) {
	m, err := startMeshes(ctx, 2)
	if err != nil {
		return 0, err
	}
	env := envelope(scheduler.SendUsage{Origin: "router-0000", Incarnation: rigIncarnation, Entries: usageOf(counters, 1e9)})
	frame, err := frameBytes(env)
	queued := 0.0
	for err == nil && m.list[0].Send(peerNamed(1).Router, env) {
		queued += frame
	}
	m.release()
	m.stop()
	return queued, err
}

// release lets handlers end that wait to be heard.
func (m *meshes) release() {
	go func() {
		for range m.heard {
		}
	}()
}

// sessionMemory is the memory of one router with so many sessions.
func sessionMemory(ctx context.Context, sessions int) (float64, error) {
	routers := sessions + 1
	var started *meshes
	var err error
	total := memoryOf(func() any {
		started, err = startMeshes(ctx, routers)
		return started
	})
	if err != nil {
		return 0, err
	}
	started.stop()
	return total / float64(routers), nil
}
