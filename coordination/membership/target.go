package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/figstile/figstile/state"
)

// dialAddress is an address that may be dialled.
type dialAddress struct {
	address string
	// isSeed addresses are never forgotten.
	isSeed bool
	// isSelf is set once the address proved to be this process.
	isSelf bool
	// router last seen behind the address; empty if unknown.
	router  state.Router
	dialing bool
	// nextDial is when the address may be dialled again.
	nextDial time.Duration
	// lastUseful is when the address last proved useful or was learned.
	lastUseful time.Duration
	backOff    backoff.ExponentialBackOff
}

// addressBook holds the addresses by their text.
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

// findOrAdd returns the target of an address, which it adds if there is room.
func (t *addressBook) findOrAdd(address string, now time.Duration) *dialAddress {
	if known, ok := t.byAddress[address]; ok {
		return known
	}
	if address == "" || len(t.byAddress) >= MaxAddresses {
		return nil
	}
	added := &dialAddress{address: address, nextDial: now, lastUseful: now}
	added.backOff.InitialInterval = minBackOff
	added.backOff.Multiplier = backoff.DefaultMultiplier
	added.backOff.MaxInterval = maxBackOff
	t.byAddress[address] = added
	return added
}

// scheduleRetry plans the next dial. The library's own jitter draws from a global
// source, which would break replay, so the jitter is added here.
func (t *addressBook) scheduleRetry(addr *dialAddress, now time.Duration) {
	addr.dialing = false
	wait := addr.backOff.NextBackOff()
	jitterFactor := 1 + backOffJitter*(2*t.random.Float64()-1)
	addr.nextDial = now + time.Duration(float64(wait)*jitterFactor)
}

func (a *dialAddress) markConnected(router state.Router, now time.Duration) {
	a.dialing = false
	a.router = router
	a.lastUseful = now
	a.backOff.Reset()
}

// isDialling reports whether a dial to the router is under way.
func (t *addressBook) isDialling(router state.Router) bool {
	for _, addr := range t.byAddress {
		if addr.dialing && addr.router == router {
			return true
		}
	}
	return false
}

// postponeDials delays dials to a router until the given time.
func (t *addressBook) postponeDials(router state.Router, until time.Duration) {
	for _, addr := range t.byAddress {
		if addr.router == router {
			addr.nextDial = max(addr.nextDial, until)
		}
	}
}

// removeExpired drops addresses that were dialled in vain for ForgetAfter.
func (t *addressBook) removeExpired(now time.Duration) {
	maps.DeleteFunc(t.byAddress, func(_ string, addr *dialAddress) bool {
		return !addr.isSeed && !addr.dialing && now-addr.lastUseful > ForgetAfter
	})
}

// sortedByAddress returns the targets in the order of their addresses, so that the
// order of actions does not depend on the map.
func (t *addressBook) sortedByAddress() []*dialAddress {
	keys := slices.Sorted(maps.Keys(t.byAddress))
	list := make([]*dialAddress, 0, len(keys))
	for _, key := range keys {
		list = append(list, t.byAddress[key])
	}
	return list
}
