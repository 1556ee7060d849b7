package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/figstile/figstile/state"
)

// dialAddress is an address that this router may dial, with the state of its
// dials.
type dialAddress struct {
	address string
	// isSeed marks the address of a seed, which is never forgotten.
	isSeed bool
	// isSelf is set once a dial to the address reached this process.
	isSelf bool
	// router is the router that was last seen at the address; empty if unknown.
	router  state.Router
	dialing bool
	// nextDial is the earliest time of the next dial.
	nextDial time.Duration
	// lastUseful is when the address last led to a router, was gossiped or was
	// added.
	lastUseful time.Duration
	backOff    backoff.ExponentialBackOff
}

// addressBook maps each address, as IP:port, to its dial state.
type addressBook struct {
	byAddress map[string]*dialAddress
	random    *rand.Rand
}

func newAddressBook(seed uint64) addressBook {
	return addressBook{
		byAddress: make(map[string]*dialAddress),
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// findOrAdd returns the entry of an address. It adds a missing entry, or
// returns nil if the address is empty or the book already holds MaxAddresses.
func (b *addressBook) findOrAdd(address string, now time.Duration) *dialAddress {
	if existing, ok := b.byAddress[address]; ok {
		return existing
	}
	if address == "" || len(b.byAddress) >= MaxAddresses {
		return nil
	}
	added := &dialAddress{address: address, nextDial: now, lastUseful: now}
	added.backOff.InitialInterval = minBackOff
	added.backOff.Multiplier = backoff.DefaultMultiplier
	added.backOff.MaxInterval = maxBackOff
	b.byAddress[address] = added
	return added
}

// scheduleRetry sets the time of the next dial after a failed one. The jitter
// is added here because the jitter of the backoff library draws from a global
// random source, which would make replays differ.
func (b *addressBook) scheduleRetry(addr *dialAddress, now time.Duration) {
	addr.dialing = false
	wait := addr.backOff.NextBackOff()
	jitterFactor := 1 + backOffJitter*(2*b.random.Float64()-1)
	addr.nextDial = now + time.Duration(float64(wait)*jitterFactor)
}

func (a *dialAddress) markConnected(router state.Router, now time.Duration) {
	a.dialing = false
	a.router = router
	a.lastUseful = now
	a.backOff.Reset()
}

// isDialling reports whether a dial to the router is under way.
func (b *addressBook) isDialling(router state.Router) bool {
	for _, addr := range b.byAddress {
		if addr.dialing && addr.router == router {
			return true
		}
	}
	return false
}

// postponeDials delays all dials to a router until the given time.
func (b *addressBook) postponeDials(router state.Router, until time.Duration) {
	for _, addr := range b.byAddress {
		if addr.router == router {
			addr.nextDial = max(addr.nextDial, until)
		}
	}
}

// removeExpired removes addresses that for ForgetAfter neither led to a router
// nor were gossiped or added. Seeds and addresses that are being dialled stay.
func (b *addressBook) removeExpired(now time.Duration) {
	maps.DeleteFunc(b.byAddress, func(_ string, addr *dialAddress) bool {
		return !addr.isSeed && !addr.dialing && now-addr.lastUseful > ForgetAfter
	})
}

// sortedByAddress returns the entries ordered by address, so that the order of
// actions does not depend on map iteration.
func (b *addressBook) sortedByAddress() []*dialAddress {
	keys := slices.Sorted(maps.Keys(b.byAddress))
	list := make([]*dialAddress, 0, len(keys))
	for _, key := range keys {
		list = append(list, b.byAddress[key])
	}
	return list
}
