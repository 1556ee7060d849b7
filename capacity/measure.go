package capacity

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

const (
	// batchTime is how long one batch of a timed operation runs, and batches
	// how many there are. The fastest counts: others on the machine only ever
	// make a batch slower.
	batchTime = 20 * time.Millisecond
	batches   = 11
)

// measurement fills one or more slopes.
type measurement struct {
	name    Name
	unit    string
	against string
	machine bool
	sizes   []int
	// value measures one size.
	value func(ctx context.Context, size int) (float64, error)
}

// Progress hears of each slope once it is measured.
type Progress func(Slope)

// Measure measures every slope. It takes about a minute, most of it in real
// time for the calls to the platform.
func Measure(ctx context.Context, done Progress) (*Slopes, error) {
	result := &Slopes{
		MeasuredAt: time.Now().UTC().Truncate(time.Second),
		Go:         runtime.Version(),
		Cores:      runtime.NumCPU(),
		LoadBefore: loadAverage(),
	}
	for _, m := range slices.Concat(deciderMeasurements(), memoryMeasurements(), wireMeasurements(), trafficMeasurements(), sessionMeasurements(), platformMeasurements()) {
		slope, err := m.run(ctx)
		if err != nil {
			return nil, err
		}
		result.Slopes = append(result.Slopes, slope)
		done(slope)
	}
	result.LoadAfter = loadAverage()
	return result, nil
}

func (m measurement) run(ctx context.Context) (Slope, error) {
	slope := Slope{Name: m.name, Unit: m.unit, Against: m.against, Machine: m.machine}
	for _, size := range m.sizes {
		if err := ctx.Err(); err != nil {
			return Slope{}, err
		}
		value, err := m.value(ctx, size)
		if err != nil {
			return Slope{}, err
		}
		slope.Points = append(slope.Points, Point{Size: float64(size), Value: value})
	}
	return slope.fit(), nil
}

// loadAverage is empty where the system does not tell.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// timed returns a measurement of nanoseconds for one call of the operation
// that prepare returns.
func timed(name Name, against string, sizes []int, prepare func(size int) func()) measurement {
	return measurement{
		name: name, unit: "ns", against: against, machine: true, sizes: sizes,
		value: func(_ context.Context, size int) (float64, error) { return nanoseconds(prepare(size)), nil },
	}
}

func nanoseconds(op func()) float64 {
	runtime.GC()
	op()
	n := calibrate(op)
	best := time.Duration(1<<63 - 1)
	for range batches {
		best = min(best, duration(op, n))
	}
	return float64(best.Nanoseconds()) / float64(n)
}

// calibrate returns how many calls fill a batch.
func calibrate(op func()) int {
	for n := 1; ; n *= 2 {
		if duration(op, n) >= batchTime {
			return n
		}
	}
}

func duration(op func(), n int) time.Duration {
	begun := time.Now()
	for range n {
		op()
	}
	return time.Since(begun)
}

// allocated returns a measurement of allocations for one call. Unlike a time
// it is the same on a busy machine.
func allocated(name Name, against string, sizes []int, prepare func(size int) func()) measurement {
	return measurement{
		name: name, unit: "allocs", against: against, sizes: sizes,
		value: func(_ context.Context, size int) (float64, error) { return allocations(prepare(size)), nil },
	}
}

func allocations(op func()) float64 {
	const calls = 100
	op()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		op()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / calls
}

// held returns a measurement of the bytes that what build returns holds on
// the heap and in stacks.
func held(name Name, against string, sizes []int, build func(size int) any) measurement {
	return measurement{
		name: name, unit: "B", against: against, sizes: sizes,
		value: func(_ context.Context, size int) (float64, error) {
			return memoryOf(func() any { return build(size) }), nil
		},
	}
}

func memoryOf(build func() any) float64 {
	before := memoryInUse()
	kept := build()
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

// memoryInUse collects twice, since finalizers free some memory only at the
// second collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
