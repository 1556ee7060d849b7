package edge

import (
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What a small VM's processor spends, and the streams that it relays.
const (
	floodAccept  = 16 * time.Microsecond
	floodListen  = 40 * time.Microsecond
	floodRead    = 60 * time.Microsecond
	floodRefuse  = 70 * time.Microsecond
	floodRequest = 340 * time.Microsecond
	floodEvent   = 25 * time.Microsecond

	floodEvents     = 25
	floodFirst      = 150 * time.Millisecond
	floodPause      = 40 * time.Millisecond
	floodLongest    = 300 * time.Millisecond
	floodPauseLimit = 2 * time.Second
	floodTime       = 6 * time.Second
	floodSettle     = 2 * time.Second
)

// floodedVM plays a router on a processor that runs what waits for it in order of
// arrival.
type floodedVM struct {
	p   *pressure
	now time.Time
	// queue is what waits for the processor, timers what waits for its time.
	queue  []func()
	timers []floodTimer
	// backlog are connections that were not accepted yet.
	backlog   int
	accepting bool
	// paused is set while the port is closed.
	paused bool
	// overShare is the part of requests that are refused for their share.
	overShare float64
	draw      *rand.Rand
	// onTime counts streams that were relayed without a long pause, admitted all.
	onTime, admitted int
}

type floodTimer struct {
	at time.Time
	do func()
}

func newFloodedVM(overShare float64) *floodedVM {
	vm := &floodedVM{now: frozen(), overShare: overShare, draw: rand.New(rand.NewPCG(5, 5))}
	vm.p = newPressure(0, smallVM, func() time.Time { return vm.now })
	return vm
}

// spend lets the processor work for a time of a whole core.
func (vm *floodedVM) spend(cost time.Duration) {
	vm.now = vm.now.Add(time.Duration(float64(cost) / smallVM))
}

func (vm *floodedVM) at(at time.Time, do func()) {
	i := sort.Search(len(vm.timers), func(i int) bool { return vm.timers[i].at.After(at) })
	vm.timers = slices.Insert(vm.timers, i, floodTimer{at, do})
}

func (vm *floodedVM) ready(task func()) { vm.queue = append(vm.queue, task) }

// run plays until a time.
func (vm *floodedVM) run(until time.Time) {
	for vm.now.Before(until) {
		for len(vm.timers) > 0 && !vm.timers[0].at.After(vm.now) {
			due := vm.timers[0]
			vm.timers = vm.timers[1:]
			due.do()
		}
		switch {
		case len(vm.queue) > 0:
			task := vm.queue[0]
			vm.queue = vm.queue[1:]
			task()
		case len(vm.timers) > 0:
			vm.now = vm.timers[0].at
		default:
			return
		}
	}
}

// connect has a connection arrive.
func (vm *floodedVM) connect() {
	if vm.paused {
		return
	}
	vm.backlog++
	if !vm.accepting {
		vm.accepting = true
		vm.ready(vm.accept)
	}
}

// accept takes what has arrived, as an accepting loop does that never has to wait.
func (vm *floodedVM) accept() {
	for ; vm.backlog > 0; vm.backlog-- {
		vm.spend(floodAccept)
		if !vm.p.take() {
			vm.pause()
			return
		}
		accepted := vm.now
		vm.ready(func() { vm.read(accepted) })
	}
	vm.accepting = false
}

// pause closes the port, with what has not been accepted, until there is room.
func (vm *floodedVM) pause() {
	vm.paused, vm.accepting, vm.backlog = true, false, 0
	var look func()
	look = func() {
		if !vm.p.hasRoom() {
			vm.at(vm.now.Add(roomPoll), func() { vm.ready(look) })
			return
		}
		vm.spend(floodListen)
		vm.paused = false
	}
	vm.ready(look)
}

func (vm *floodedVM) read(accepted time.Time) {
	vm.p.arrivals.read(accepted)
	vm.spend(floodRead)
	switch {
	case vm.p.full():
		vm.p.refused()
		vm.spend(floodRefuse)
	case vm.draw.Float64() < vm.overShare:
		vm.p.refused()
		vm.spend(floodRefuse)
	default:
		vm.p.requested(true)
		vm.spend(floodRequest)
		vm.stream()
	}
}

// stream relays an answer whose events come steadily.
func (vm *floodedVM) stream() {
	inTime := vm.now.Sub(frozen()) >= floodSettle
	if inTime {
		vm.admitted++
	}
	begun := vm.now
	longest, passed := time.Duration(0), begun.Add(floodFirst)
	var event func(n int)
	event = func(n int) {
		vm.spend(floodEvent)
		longest = max(longest, vm.now.Sub(passed))
		passed = vm.now
		if n == 0 {
			vm.p.work.StreamStarted()
		} else {
			vm.p.work.AddEvent()
		}
		if n+1 == floodEvents || longest > floodPauseLimit {
			vm.p.streamEnded(true, n+1)
			if inTime && longest <= floodLongest {
				vm.onTime++
			}
			return
		}
		due := begun.Add(floodFirst + time.Duration(n+1)*floodPause)
		vm.at(due, func() { vm.ready(func() { event(n + 1) }) })
	}
	vm.at(passed, func() { vm.ready(func() { event(0) }) })
}

// observe is the router's periodic task.
func (vm *floodedVM) observe(due time.Time) {
	last := due.Add(-scanEvery)
	vm.ready(func() {
		vm.p.observe(vm.now.Sub(due), vm.now.Sub(last))
		vm.at(due.Add(scanEvery), func() { vm.observe(due.Add(scanEvery)) })
	})
}

// flood plays connections that arrive at a rate, and returns the streams a second
// that were relayed on time after the first seconds.
func (vm *floodedVM) flood(perSecond float64) float64 {
	start := vm.now
	for at := time.Duration(0); at < floodTime; {
		at += time.Duration(vm.draw.ExpFloat64() / perSecond * float64(time.Second))
		vm.at(start.Add(at), vm.connect)
	}
	vm.observe(start.Add(scanEvery))
	vm.run(start.Add(floodTime + 4*time.Second))
	return float64(vm.onTime) / (floodTime - floodSettle).Seconds()
}

// Guards against a small VM that reads and refuses a flood instead of relaying what
// it admitted.
func TestFloodedRouterRelays(t *testing.T) {
	const stream = floodAccept + floodRead + floodRequest + floodEvents*floodEvent
	possible := smallVM / stream.Seconds()
	for _, c := range []struct {
		name      string
		perSecond float64
		overShare float64
	}{
		{"three times what it can relay", 3 * possible, 0},
		{"six times, half of it beyond its share", 6 * possible, 0.5},
		{"twelve times", 12 * possible, 0},
		{"twelve times, half of it beyond its share", 12 * possible, 0.5},
		{"twenty times", 20 * possible, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			vm := newFloodedVM(c.overShare)
			relayed := vm.flood(c.perSecond)
			t.Logf("%.0f streams a second on time of %.0f admitted, %.0f possible",
				relayed, float64(vm.admitted)/(floodTime-floodSettle).Seconds(), possible)
			require.Greater(t, relayed, possible/2)
		})
	}
}
