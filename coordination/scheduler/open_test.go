package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/figstile/figstile/state"
)

// openLoad runs Poisson arrivals of every workspace at random routers.
func openLoad(engines, slots int, median time.Duration, mean float64, load float64) {
	f := newFleet(8, engines, slots, 1, realRouter(time.Second))
	shares := map[state.Workspace]float64{}
	for i := range 16 {
		shares[tenant(i)] = 1.0 / 16
	}
	f.cost = func(state.Workspace) time.Duration { return f.lognormal(median, 1) }
	f.boot(f.settings(shares))
	f.run(2 * time.Second)
	rate := load * float64(slots) / mean
	var arrive func()
	count := 0
	arrive = func() {
		count++
		f.submit(f.routers[f.rng.IntN(8)], tenant(f.rng.IntN(16)))
		f.after(time.Duration(f.rng.ExpFloat64()/rate*1e9), arrive)
	}
	arrive()
	f.run(60 * time.Second)
	var waits []time.Duration
	for _, w := range f.waits {
		waits = append(waits, w...)
	}
	slices.Sort(waits)
	fmt.Printf("open %d slots %v load %.2f: busy %.3f wait p50 %v p90 %v p99 %v max %v messages/request %.1f\n", slots, median, load,
		f.busy.Seconds()/62/float64(slots), waits[len(waits)/2], waits[len(waits)*9/10], waits[len(waits)*99/100], waits[len(waits)-1], float64(f.messages)/float64(count))
}

func TestOpen(t *testing.T) {
	for _, load := range []float64{0.7, 0.9, 1.2} {
		openLoad(24, 160, 4*time.Second, 6.3, load)
		openLoad(4, 32, 20*time.Millisecond, 0.033, load)
	}
}
