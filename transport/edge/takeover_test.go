package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// leaveLimits are the times after which a leaving upstream must get no more
// requests.
var leaveLimits = []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}

// All routers that read the store, and all that would read it next, lose it
// together. The others must learn of a leaving upstream in time.
func TestLeavingUpstreamIsKnownAfterReadersAreCutOff(t *testing.T) {
	testLeavingUpstreamIsKnown(t, func(f *timedFleet, _ time.Duration) []state.Router { return f.readersAndNext() })
}

// The readers lose the store, and once others read it, those lose it as well. The
// remaining ones must learn of a leaving upstream in time.
func TestLeavingUpstreamIsKnownAfterReadersAreCutOffTwice(t *testing.T) {
	testLeavingUpstreamIsKnown(t, func(f *timedFleet, limit time.Duration) []state.Router {
		cut := f.readers()
		f.store.cutOff(cut...)
		time.Sleep(2 * limit)
		return append(cut, f.readers()...)
	})
}

// testLeavingUpstreamIsKnown cuts off the routers that choose returns, when the
// calls of the readers have just begun, and lets an upstream leave.
func testLeavingUpstreamIsKnown(t *testing.T, choose func(f *timedFleet, limit time.Duration) []state.Router) {
	t.Helper()
	for trial := range 20 {
		for _, limit := range leaveLimits {
			synctest.Test(t, func(t *testing.T) {
				fleet := startTimedFleet(t, limit, 12, 4)
				time.Sleep(5 * time.Second)
				cut := choose(fleet, limit)
				fleet.cutOffAfterCallsBegan(cut)
				fleet.requireLeavingKnown(t, limit, cut, "trial %d, limit %s", trial, limit)
			})
		}
	}
}

// Any routers lose the store, in some steps, at any moment between changes.
// The remaining ones must learn of a leaving upstream in time.
func TestLeavingUpstreamIsKnownWhicheverRoutersAreCutOff(t *testing.T) {
	for seed := range uint64(90) {
		random, limit := rand.New(rand.NewPCG(seed, 1)), leaveLimits[seed%uint64(len(leaveLimits))]
		synctest.Test(t, func(t *testing.T) {
			dataCentres := 1 + random.IntN(4)
			fleet := startTimedFleet(t, limit, dataCentres*(1+random.IntN(3)), dataCentres)
			time.Sleep(time.Second + time.Duration(random.Int64N(int64(3*time.Second))))
			for version := range uint64(random.IntN(4)) {
				fleet.store.put(KindConfig, configObject(0, 2+version))
				fleet.store.put(KindUpstream, upstreamObject("other", 0, version%2 == 0))
				time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
			}
			cut := slices.Clone(fleet.order)
			random.Shuffle(len(cut), func(i, j int) { cut[i], cut[j] = cut[j], cut[i] })
			cut = cut[:random.IntN(len(cut))]
			if next := fleet.readersAndNext(); random.IntN(2) == 0 && len(next) < len(fleet.order) {
				cut = next
			}
			for rest := cut; len(rest) > 0; {
				step := 1 + random.IntN(len(rest))
				fleet.store.cutOff(rest[:step]...)
				if rest = rest[step:]; len(rest) > 0 {
					time.Sleep(time.Duration(random.Int64N(int64(limit))))
				}
			}
			fleet.store.put(KindUpstream, upstreamObject("leaving", 0, true))
			fleet.requireLeavingKnown(t, limit, cut, "seed %d, limit %s", seed, limit)
		})
	}
}

// cutOffAfterCallsBegan cuts routers off from the store at a moment at which the
// calls of the readers have just begun, and lets an upstream leave.
func (f *timedFleet) cutOffAfterCallsBegan(cut []state.Router) {
	f.store.put(KindConfig, configObject(0, 2))
	time.Sleep(200 * time.Millisecond)
	f.store.put(KindUpstream, upstreamObject("other", 0, false))
	time.Sleep(20 * time.Millisecond)
	f.store.cutOff(cut...)
	time.Sleep(5 * time.Millisecond)
	f.store.put(KindUpstream, upstreamObject("leaving", 0, true))
}

// requireLeavingKnown requires that all routers but those that were cut off know
// early enough that an upstream leaves. A sixth of the limit is left for the
// change to spread in a larger fleet.
func (f *timedFleet) requireLeavingKnown(t *testing.T, limit time.Duration, cut []state.Router, message string, args ...any) {
	t.Helper()
	time.Sleep(limit - limit/6)
	require.Less(t, len(cut), len(f.order))
	for _, router := range f.order {
		if !slices.Contains(cut, router) {
			require.True(t, f.routers[router].knowsLeaving("leaving"), "%s, %s, cut off: %s", fmt.Sprintf(message, args...), router, cut)
		}
	}
}

// A data centre is cut off from the store, and the names of routers begin with
// that of their data centre. If all readers were there, every other router would
// have to start to read the store.
func TestReadersAreInDifferentDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startTimedFleet(t, defaultLeaveLimit, 12, 4)
		time.Sleep(5 * time.Second)
		dataCentres := make(map[state.DataCentre]int)
		for _, router := range fleet.readers() {
			dataCentres[fleet.routers[router].fleet.self.DataCentre]++
		}
		require.Equal(t, map[state.DataCentre]int{"0": 1, "1": 1, "2": 1}, dataCentres)
		fleet.store.cutOff("r00", "r01", "r02")
		time.Sleep(5 * time.Second)
		require.Equal(t, []state.Router{"r03", "r06", "r09"}, fleet.readers(), "the readers that are left, and one that took over")
	})
}

// The store becomes unavailable some time after a change of the configuration. If
// the readers called it in step since then, all routers would take their
// configuration for possibly outdated earlier than necessary, and refuse callers
// for the time being.
func TestReadersDoNotCallInStepAfterAChange(t *testing.T) {
	period := testWatchPeriods[KindConfig]
	for elapsed := 5 * time.Second; elapsed < 5*time.Second+period; elapsed += period / 50 {
		synctest.Test(t, func(t *testing.T) {
			fleet := startTimedFleet(t, defaultLeaveLimit, 6, 3)
			time.Sleep(5 * time.Second)
			fleet.store.put(KindConfig, configObject(0, 2))
			time.Sleep(elapsed)
			age := period
			for _, router := range fleet.readers() {
				age = min(age, time.Since(fleet.routers[router].fleet.ownConfirmation()))
			}
			// The readers' calls are a third of a period apart. Each takes a little
			// longer than its wait.
			require.Less(t, age, period/2, "%s after the change", elapsed)
		})
	}
}
