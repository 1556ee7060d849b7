package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/figstile/figstile/state"
)

// target is an address that may be dialled.
type target struct {
	address string
	// seed addresses are never forgotten.
	seed bool
	// own is set once the address proved to be this process.
	own bool
	// router last seen behind the address; empty if unknown.
	router  state.Router
	dialing bool
	// next is when the address may be dialled again.
	next time.Duration
	// seen is when the address last proved useful or was learned.
	seen    time.Duration
	backOff backoff.ExponentialBackOff
}

// targets holds the addresses by their text.
type targets struct {
	byAddress map[string]*target
	random    *rand.Rand
}

func newTargets(seed uint64) targets {
	return targets{
		byAddress: make(map[string]*target),
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// learn returns the target of an address, which it adds if there is room.
func (t *targets) learn(address string, now time.Duration) *target {
	if known, ok := t.byAddress[address]; ok {
		return known
	}
	if address == "" || len(t.byAddress) >= MaxTargets {
		return nil
	}
	fresh := &target{address: address, next: now, seen: now}
	fresh.backOff.InitialInterval = firstBackOff
	fresh.backOff.Multiplier = backoff.DefaultMultiplier
	fresh.backOff.MaxInterval = maxBackOff
	t.byAddress[address] = fresh
	return fresh
}

// failed plans the next dial. The library's own jitter draws from a global
// source, which would break replay, so the jitter is added here.
func (t *targets) failed(to *target, now time.Duration) {
	to.dialing = false
	wait := to.backOff.NextBackOff()
	spread := 1 + backOffJitter*(2*t.random.Float64()-1)
	to.next = now + time.Duration(float64(wait)*spread)
}

func (to *target) connected(router state.Router, now time.Duration) {
	to.dialing = false
	to.router = router
	to.seen = now
	to.backOff.Reset()
}

// dialing reports whether a dial to the router is under way.
func (t *targets) dialing(router state.Router) bool {
	for _, to := range t.byAddress {
		if to.dialing && to.router == router {
			return true
		}
	}
	return false
}

// postpone delays dials to a router until the given time.
func (t *targets) postpone(router state.Router, until time.Duration) {
	for _, to := range t.byAddress {
		if to.router == router {
			to.next = max(to.next, until)
		}
	}
}

// forget drops addresses that were dialled in vain for ForgetAfter.
func (t *targets) forget(now time.Duration) {
	maps.DeleteFunc(t.byAddress, func(_ string, to *target) bool {
		return !to.seed && !to.dialing && now-to.seen > ForgetAfter
	})
}

// sorted returns the targets in the order of their addresses, so that the
// order of actions does not depend on the map.
func (t *targets) sorted() []*target {
	keys := slices.Sorted(maps.Keys(t.byAddress))
	list := make([]*target, 0, len(keys))
	for _, key := range keys {
		list = append(list, t.byAddress[key])
	}
	return list
}
