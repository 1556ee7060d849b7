package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/edge"
)

// leaveLimit is the time for which a leaving upstream goes on serving, in the
// settings of the tests' routers.
const leaveLimit = 2 * time.Second

// watchedKinds is the number of kinds of objects that a router watches.
const watchedKinds = 3

// The store cuts off the watches that wait, once or again and again, while an
// upstream leaves whose entry is removed without notice. Fleets of up to three
// routers, all of which read the store, went on sending requests to it for longer
// than it serves.
func TestEdgeUpstreamLeavesWhileWatchesAreCut(t *testing.T) {
	for name, cuts := range map[string]int{"once": 1, "in series": 8} {
		for routers := 1; routers <= 4; routers++ {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				t.Parallel()
				f := startLeavingFleet(t, routers)
				defer f.stopCallers()
				for range cuts / 2 {
					f.store.CutWatches()
					time.Sleep(300 * time.Millisecond)
				}
				await(t, func() bool { return f.store.WaitingWatches() >= watchedKinds })
				f.store.CutWatches()
				f.store.Remove(edge.KindUpstream, "i-leaves")
				removedAt := time.Now()
				for range cuts / 2 {
					time.Sleep(300 * time.Millisecond)
					f.store.CutWatches()
				}
				time.Sleep(time.Until(removedAt.Add(leaveLimit + leaveLimit/2)))
				late := time.Unix(0, f.leaves.receivedAt.Load()).Sub(removedAt)
				require.LessOrEqual(t, late, leaveLimit, "the last request came after the upstream had left")
			})
		}
	}
}

// leavingFleet is a fleet with two engines, one of which is to leave, and callers
// at each router.
type leavingFleet struct {
	store       *objectStore
	leaves      *edgeEngine
	stopCallers func()
}

func startLeavingFleet(t *testing.T, routers int) *leavingFleet {
	t.Helper()
	s := startObjectStore(t)
	s.put(edge.KindConfig, "main", edgeConfig(1, "k1"))
	f := &leavingFleet{store: s, leaves: startEdgeEngine(t, s, "i-leaves")}
	startEdgeEngine(t, s, "i-stays")
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	f.stopCallers = func() {
		cancel()
		callers.Wait()
	}
	var seeds []string
	for range routers {
		r := startEdgeRouter(t, s, nextIndex(), seeds...)
		seeds = append(seeds, r.peerAddress)
		r.awaitReady(t)
		await(t, func() bool { return r.postStatus(t, "/pages/now", "k1") == http.StatusOK })
		callers.Go(func() {
			for ctx.Err() == nil {
				r.postStatus(t, "/pages/now", "k1")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	before := f.leaves.received.Load()
	await(t, func() bool { return f.leaves.received.Load() > before+int64(routers) })
	return f
}

// leavingRouters counts the routers of tests that run at the same time.
var leavingRouters atomic.Int64

// nextIndex returns the index of a router that no other test uses.
func nextIndex() int { return 10 + int(leavingRouters.Add(1)) }
