package edge

import (
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The CPU time that operations take on a whole core, and the shape of the
// streams that a small VM relays.
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

// floodedVM simulates a router on a CPU that runs waiting tasks in order of
// arrival.
type floodedVM struct {
	p   *pressure
	now time.Time
	// cpuQueue holds tasks that are ready to run on the CPU. timers holds tasks
	// that are due at a later time, in order of time.
	cpuQueue []func()
	timers   []floodTimer
	// backlog is the number of connections that were not accepted yet.
	backlog   int
	accepting bool
	// portClosed is set while the router's port is closed.
	portClosed bool
	// overShareFraction is the fraction of requests that are refused because
	// their workspace is over its share.
	overShareFraction float64
	random            *rand.Rand
	// onTime counts streams without an event gap above floodOnTimeGap, and
	// admitted counts all admitted streams.
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

// useCPU advances the clock by the time that the VM needs, with its share of a
// core, for work that takes cost on a whole core.
func (vm *floodedVM) useCPU(cost time.Duration) {
	vm.now = vm.now.Add(time.Duration(float64(cost) / smallVMCores))
}

func (vm *floodedVM) at(at time.Time, do func()) {
	i := sort.Search(len(vm.timers), func(i int) bool { return vm.timers[i].at.After(at) })
	vm.timers = slices.Insert(vm.timers, i, floodTimer{at, do})
}

func (vm *floodedVM) enqueue(task func()) { vm.cpuQueue = append(vm.cpuQueue, task) }

// run runs tasks and timers until a time.
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

// connect simulates a new connection.
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

// accept accepts all connections of the backlog, as an accept loop does that
// never has to wait.
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

// closePort closes the port and drops the backlog. The port reopens when the
// router has capacity again.
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

// stream relays a stream with events at a constant interval.
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

// observe runs the router's periodic task.
func (vm *floodedVM) observe(due time.Time) {
	last := due.Add(-tickInterval)
	vm.enqueue(func() {
		vm.p.observe(vm.now.Sub(due), vm.now.Sub(last))
		vm.at(due.Add(tickInterval), func() { vm.observe(due.Add(tickInterval)) })
	})
}

// simulate runs connections that arrive at random with a mean rate per second.
// It returns the number of streams per second that were relayed on time after
// the warm-up.
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

// Guards against a small VM that spends its CPU time on reading and refusing
// requests instead of relaying the streams that it admitted.
func TestFloodedRouterStillRelaysStreams(t *testing.T) {
	const stream = floodAcceptCost + floodReadCost + floodRequestCost + floodStreamEvents*floodEventCost
	possible := smallVMCores / stream.Seconds()
	for _, c := range []struct {
		name      string
		perSecond float64
		overShare float64
	}{
		{"three times what it can relay", 3 * possible, 0},
		{"six times, half of it over share", 6 * possible, 0.5},
		{"twelve times", 12 * possible, 0},
		{"twelve times, half of it over share", 12 * possible, 0.5},
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
