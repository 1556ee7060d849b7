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
	// batchDuration is the minimum time for which one batch of a timed
	// operation runs, and batches the number of batches. The result is the time
	// of the fastest batch, because other processes on the machine can only
	// make a batch slower.
	batchDuration = 20 * time.Millisecond
	batches       = 11
)

// measurement describes the measurement of one slope.
type measurement struct {
	name             SlopeName
	unit             string
	sizeUnit         string
	machineDependent bool
	sizes            []int
	// measure returns the value at one size.
	measure func(ctx context.Context, size int) (float64, error)
}

// ProgressFunc is called with each slope after it has been measured.
type ProgressFunc func(Slope)

// Measure measures all slopes. It takes about a minute, most of which is real
// time spent waiting for calls to the platform.
func Measure(ctx context.Context, onSlope ProgressFunc) (*Slopes, error) {
	result := &Slopes{
		MeasuredAt: time.Now().UTC().Truncate(time.Second),
		Go:         runtime.Version(),
		Cores:      runtime.NumCPU(),
		LoadBefore: loadAverage(),
	}
	for _, m := range slices.Concat(stateMachineMeasurements(), memoryMeasurements(), wireMeasurements(), trafficMeasurements(), sessionMeasurements(), platformMeasurements()) {
		slope, err := m.run(ctx)
		if err != nil {
			return nil, err
		}
		result.Slopes = append(result.Slopes, slope)
		onSlope(slope)
	}
	result.LoadAfter = loadAverage()
	return result, nil
}

func (m measurement) run(ctx context.Context) (Slope, error) {
	slope := Slope{Name: m.name, Unit: m.unit, SizeUnit: m.sizeUnit, MachineDependent: m.machineDependent}
	for _, size := range m.sizes {
		if err := ctx.Err(); err != nil {
			return Slope{}, err
		}
		value, err := m.measure(ctx, size)
		if err != nil {
			return Slope{}, err
		}
		slope.Points = append(slope.Points, Point{Size: float64(size), Value: value})
	}
	return slope.fit(), nil
}

// loadAverage returns the one-minute load average, or an empty string if the
// system does not provide it.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// timeMeasurement returns a measurement of the time, in nanoseconds, of one
// call of the operation that prepare returns.
func timeMeasurement(name SlopeName, sizeUnit string, sizes []int, prepare func(size int) func()) measurement {
	return measurement{
		name: name, unit: "ns", sizeUnit: sizeUnit, machineDependent: true, sizes: sizes,
		measure: func(_ context.Context, size int) (float64, error) { return nanosecondsPerCall(prepare(size)), nil },
	}
}

func nanosecondsPerCall(op func()) float64 {
	runtime.GC()
	op()
	n := callsPerBatch(op)
	best := time.Duration(1<<63 - 1)
	for range batches {
		best = min(best, timeCalls(op, n))
	}
	return float64(best.Nanoseconds()) / float64(n)
}

// callsPerBatch returns the number of calls that take at least batchDuration.
func callsPerBatch(op func()) int {
	for n := 1; ; n *= 2 {
		if timeCalls(op, n) >= batchDuration {
			return n
		}
	}
}

func timeCalls(op func(), n int) time.Duration {
	start := time.Now()
	for range n {
		op()
	}
	return time.Since(start)
}

// allocMeasurement returns a measurement of the number of allocations per call
// of the operation that prepare returns. Unlike a time, it does not depend on
// the load of the machine.
func allocMeasurement(name SlopeName, sizeUnit string, sizes []int, prepare func(size int) func()) measurement {
	return measurement{
		name: name, unit: "allocs", sizeUnit: sizeUnit, sizes: sizes,
		measure: func(_ context.Context, size int) (float64, error) { return allocsPerCall(prepare(size)), nil },
	}
}

func allocsPerCall(op func()) float64 {
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

// heapMeasurement returns a measurement of the memory, in bytes of heap and
// stacks, that the value returned by build occupies.
func heapMeasurement(name SlopeName, sizeUnit string, sizes []int, build func(size int) any) measurement {
	return measurement{
		name: name, unit: "B", sizeUnit: sizeUnit, sizes: sizes,
		measure: func(_ context.Context, size int) (float64, error) {
			return memoryOf(func() any { return build(size) }), nil
		},
	}
}

func memoryOf(build func() any) float64 {
	before := memoryInUse()
	built := build()
	after := memoryInUse()
	runtime.KeepAlive(built)
	return max(0, float64(after)-float64(before))
}

// memoryInUse returns the bytes of heap and stacks in use. It runs the garbage
// collector twice, because memory with finalizers is freed only by the second
// run.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
