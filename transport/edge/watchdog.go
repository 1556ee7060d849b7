package edge

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// watchdogInterval is the interval at which the watchdog checks for
	// progress.
	watchdogInterval = time.Second
	// maxSilentChecks is the number of consecutive checks without progress of a
	// loop after which it counts as hung. Counting checks instead of time makes
	// a pause of the whole process count as one check.
	maxSilentChecks = 5
	// maxStackBytes limits the stacks that are searched for waiting goroutines,
	// and maxWaiters the goroutines that are logged.
	maxStackBytes = 4 << 20
	maxWaiters    = 8
)

// watchdog notices that a periodic task of the router has hung, for example
// because it waits for a lock that is never released. Such a router must not
// count as ready: it would serve with routes and upstreams that no longer
// change.
type watchdog struct {
	log   zerolog.Logger
	loops []*loopProgress
	hung  atomic.Bool
}

// loopProgress is the progress of one periodic task.
type loopProgress struct {
	name string
	// rounds counts the rounds of the task.
	rounds atomic.Uint64
	// seen is the count at the last check, and silent the number of consecutive
	// checks without progress. Only the watchdog uses them.
	seen   uint64
	silent int
}

// watch adds a periodic task. The task calls the returned function in every
// round.
func (w *watchdog) watch(name string) (progressed func()) {
	loop := &loopProgress{name: name}
	w.loops = append(w.loops, loop)
	return func() { loop.rounds.Add(1) }
}

// run checks the tasks until the context ends.
func (w *watchdog) run(ctx context.Context) {
	ticker := time.NewTicker(watchdogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.check()
		}
	}
}

// check compares the progress of the tasks with the last check.
func (w *watchdog) check() {
	var hung []string
	for _, loop := range w.loops {
		rounds := loop.rounds.Load()
		loop.silent++
		if rounds != loop.seen {
			loop.seen, loop.silent = rounds, 0
		}
		if loop.silent >= maxSilentChecks {
			hung = append(hung, loop.name)
		}
	}
	if before := w.hung.Swap(len(hung) > 0); before == (len(hung) > 0) {
		return
	}
	if len(hung) == 0 {
		w.log.Warn().Msg("router makes progress again")
		return
	}
	w.log.Error().Strs("tasks", hung).Strs("waiting", lockWaiters()).Msg("router makes no progress")
}

// lockWaiters describes the goroutines that wait for a lock, each by the methods
// of this package on its stack, innermost first.
func lockWaiters() []string {
	stacks := make([]byte, maxStackBytes)
	stacks = stacks[:runtime.Stack(stacks, true)]
	var waiters []string
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		head, frames, _ := strings.Cut(stack, "\n")
		if !strings.Contains(head, "Mutex") {
			continue
		}
		if methods := ownMethods(frames); methods != "" && !slices.Contains(waiters, methods) {
			waiters = append(waiters, methods)
		}
	}
	slices.Sort(waiters)
	return waiters[:min(len(waiters), maxWaiters)]
}

// ownMethods returns the methods of this package in the frames of a goroutine.
func ownMethods(frames string) string {
	var methods []string
	for line := range strings.SplitSeq(frames, "\n") {
		_, name, own := strings.Cut(line, "transport/edge.(*")
		if own && !strings.HasPrefix(line, "\t") {
			name, _, _ = strings.Cut(strings.Replace(name, ")", "", 1), "(")
			methods = append(methods, name)
		}
	}
	return strings.Join(methods, "<")
}
