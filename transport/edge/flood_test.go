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
	floodAcceptCost  = 16 * time.Microsecond
	floodListenCost  = 40 * time.Microsecond
	floodReadCost    = 60 * time.Microsecond
	floodRefuseCost  = 70 * time.Microsecond
	floodRequestCost = 340 * time.Microsecond
	floodEventCost   = 25 * time.Microsecond

	floodStreamEvents = 25
	floodFirstEvent   = 150 * time.Millisecond
	floodEventGap     = 40 * time.Millisecond
	floodOnTimeGap    = 300 * time.Millisecond
	floodAbortGap     = 2 * time.Second
	floodDuration     = 6 * time.Second
	floodWarmUp       = 2 * time.Second
)

// floodedVM plays a router on a processor that runs what waits for it in order of
// arrival.
type floodedVM struct {
	p   *pressure
	now time.Time
	// cpuQueue is what waits for the processor, timers what waits for its time.
	cpuQueue []func()
	timers   []floodTimer
	// backlog are connections that were not accepted yet.
	backlog   int
	accepting bool
	// portClosed is set while the port is closed.
	portClosed bool
	// overShareFraction is the part of requests that are refused for their share.
	overShareFraction float64
	random            *rand.Rand
	// onTime counts streams that were relayed without a long pause, admitted all.
	onTime, admitted int
}

type floodTimer struct {
	at time.Time
	do func()
}

func newFloodedVM(overShare float64) *floodedVM {
	vm := &floodedVM{now: frozen(), overShareFraction: overShare, random: rand.New(rand.NewPCG(5, 5))}
	vm.p = newPressure(0, smallVMCores, func() time.Time { return vm.now })
	return vm
}

// useCPU lets the processor work for a time of a whole core.
func (vm *floodedVM) useCPU(cost time.Duration) {
	vm.now = vm.now.Add(time.Duration(float64(cost) / smallVMCores))
}

func (vm *floodedVM) at(at time.Time, do func()) {
	i := sort.Search(len(vm.timers), func(i int) bool { return vm.timers[i].at.After(at) })
	vm.timers = slices.Insert(vm.timers, i, floodTimer{at, do})
}

func (vm *floodedVM) enqueue(task func()) { vm.cpuQueue = append(vm.cpuQueue, task) }

// run plays until a time.
func (vm *floodedVM) run(until time.Time) {
	for vm.now.Before(until) {
		for len(vm.timers) > 0 && !vm.timers[0].at.After(vm.now) {
			due := vm.timers[0]
			vm.timers = vm.timers[1:]
			due.do()
		}
		switch {
		case len(vm.cpuQueue) > 0:
			task := vm.cpuQueue[0]
			vm.cpuQueue = vm.cpuQueue[1:]
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
	if vm.portClosed {
		return
	}
	vm.backlog++
	if !vm.accepting {
		vm.accepting = true
		vm.enqueue(vm.accept)
	}
}

// accept takes what has arrived, as an accepting loop does that never has to wait.
func (vm *floodedVM) accept() {
	for ; vm.backlog > 0; vm.backlog-- {
		vm.useCPU(floodAcceptCost)
		if !vm.p.admitConn() {
			vm.closePort()
			return
		}
		accepted := vm.now
		vm.enqueue(func() { vm.read(accepted) })
	}
	vm.accepting = false
}

// closePort closes the port, with what has not been accepted, until there is room.
func (vm *floodedVM) closePort() {
	vm.portClosed, vm.accepting, vm.backlog = true, false, 0
	var reopen func()
	reopen = func() {
		if !vm.p.canReopen() {
			vm.at(vm.now.Add(capacityPollInterval), func() { vm.enqueue(reopen) })
			return
		}
		vm.useCPU(floodListenCost)
		vm.portClosed = false
	}
	vm.enqueue(reopen)
}

func (vm *floodedVM) read(accepted time.Time) {
	vm.p.readDelay.recordFirstRead(accepted)
	vm.useCPU(floodReadCost)
	switch {
	case vm.p.atCapacity():
		vm.p.countRefusal()
		vm.useCPU(floodRefuseCost)
	case vm.random.Float64() < vm.overShareFraction:
		vm.p.countRefusal()
		vm.useCPU(floodRefuseCost)
	default:
		vm.p.countRequest(true)
		vm.useCPU(floodRequestCost)
		vm.stream()
	}
}

// stream relays an answer whose events come steadily.
func (vm *floodedVM) stream() {
	afterWarmUp := vm.now.Sub(frozen()) >= floodWarmUp
	if afterWarmUp {
		vm.admitted++
	}
	started := vm.now
	longestGap, lastEventAt := time.Duration(0), started.Add(floodFirstEvent)
	var event func(n int)
	event = func(n int) {
		vm.useCPU(floodEventCost)
		longestGap = max(longestGap, vm.now.Sub(lastEventAt))
		lastEventAt = vm.now
		if n == 0 {
			vm.p.cpuEstimate.StreamStarted()
		} else {
			vm.p.cpuEstimate.AddEvent()
		}
		if n+1 == floodStreamEvents || longestGap > floodAbortGap {
			vm.p.countStreamEnd(true, n+1)
			if afterWarmUp && longestGap <= floodOnTimeGap {
				vm.onTime++
			}
			return
		}
		due := started.Add(floodFirstEvent + time.Duration(n+1)*floodEventGap)
		vm.at(due, func() { vm.enqueue(func() { event(n + 1) }) })
	}
	vm.at(lastEventAt, func() { vm.enqueue(func() { event(0) }) })
}

// observe is the router's periodic task.
func (vm *floodedVM) observe(due time.Time) {
	last := due.Add(-tickInterval)
	vm.enqueue(func() {
		vm.p.observe(vm.now.Sub(due), vm.now.Sub(last))
		vm.at(due.Add(tickInterval), func() { vm.observe(due.Add(tickInterval)) })
	})
}

// simulate plays connections that arrive at a rate, and returns the streams a second
// that were relayed on time after the first seconds.
func (vm *floodedVM) simulate(perSecond float64) float64 {
	start := vm.now
	for at := time.Duration(0); at < floodDuration; {
		at += time.Duration(vm.random.ExpFloat64() / perSecond * float64(time.Second))
		vm.at(start.Add(at), vm.connect)
	}
	vm.observe(start.Add(tickInterval))
	vm.run(start.Add(floodDuration + 4*time.Second))
	return float64(vm.onTime) / (floodDuration - floodWarmUp).Seconds()
}

// Guards against a small VM that reads and refuses a flood instead of relaying what
// it admitted.
func TestFloodedRouterStillRelaysStreams(t *testing.T) {
	const stream = floodAcceptCost + floodReadCost + floodRequestCost + floodStreamEvents*floodEventCost
	possible := smallVMCores / stream.Seconds()
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
			relayed := vm.simulate(c.perSecond)
			t.Logf("%.0f streams a second on time of %.0f admitted, %.0f possible",
				relayed, float64(vm.admitted)/(floodDuration-floodWarmUp).Seconds(), possible)
			require.Greater(t, relayed, possible/2)
		})
	}
}
