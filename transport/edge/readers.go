package edge

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	// targetReaders is the number of routers that read the store for the whole
	// fleet. Where there are as many data centres, the readers are in different
	// ones, and three are only lost at once if two data centres fail together
	// with another VM.
	targetReaders = 3
	// eagerReaders is the number of routers, in the order of readerRanks, that
	// start to read the store if there are fewer than targetReaders.
	// noReaderTimeout is the time without any reader after which all other
	// routers start to read it too. It covers the time in which an eager reader
	// starts and its peers hear of it.
	eagerReaders    = 2 * targetReaders
	noReaderTimeout = 300 * time.Millisecond
	// firstStartStoreReadDelay is how long a router that is not a seed waits
	// after its start, when the whole fleet starts for the first time, before
	// it reads the store. Meanwhile the seeds read it, and peers send the
	// objects. This keeps a large starting fleet below the store's rate limit.
	// Load balancers probe readiness once a second.
	firstStartStoreReadDelay = 700 * time.Millisecond
	// startStoreReadDelay is the same delay for any other start. Live peers
	// answer within about ten milliseconds. It is short because after a power
	// loss of the whole fleet callers are waiting, and a session with a seed
	// that starts a moment later takes a second to open.
	startStoreReadDelay = 100 * time.Millisecond
	// nonEagerRetryDelay is the mean pause of routers that are not eager
	// readers between two calls to a store that does not answer.
	nonEagerRetryDelay = 2500 * time.Millisecond
	// claimExpiry is the age at which a peer's claim to read the store expires.
	// A peer repeats its claim every heartbeatInterval, so by then about three
	// repetitions are missing. The time that a claim takes on its way counts.
	claimExpiry = 1200 * time.Millisecond
)

// readerRanks returns the order in which routers read the store: the first router
// by name of each data centre, then the second of each, and so on.
func readerRanks(routers []scheduler.Peer) map[state.Router]int {
	byName := slices.SortedFunc(slices.Values(routers), func(a, b scheduler.Peer) int { return strings.Compare(string(a.Router), string(b.Router)) })
	inDataCentre, earlier := make(map[state.DataCentre]int), make(map[state.Router]int, len(byName))
	for _, p := range byName {
		earlier[p.Router] = inDataCentre[p.DataCentre]
		inDataCentre[p.DataCentre]++
	}
	slices.SortStableFunc(byName, func(a, b scheduler.Peer) int { return earlier[a.Router] - earlier[b.Router] })
	ranks := make(map[state.Router]int, len(byName))
	for rank, p := range byName {
		ranks[p.Router] = rank
	}
	return ranks
}

// shouldReadStore reports whether this router has to read the store. A reader
// continues while fewer than targetReaders claimants precede it by rank.
// Another router starts if there are too few claimants and it is an eager
// reader, or if there was no claimant for noReaderTimeout.
func (f *fleet) shouldReadStore() bool {
	lacksObjects := f.catalogue.lacksOperatorObjects()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.startedAt) < f.storeReadDelay {
		return false
	}
	before, others := f.countReaders(now)
	if others > 0 || f.noReaderSince.IsZero() {
		f.noReaderSince = now
	}
	noReader := now.Sub(f.noReaderSince) >= noReaderTimeout
	reading := others < targetReaders && (f.isEagerReader(lacksObjects) || noReader) || before < targetReaders && f.readingStore
	if reading != f.readingStore {
		f.readingStore = reading
		// What the store answered when this router read it before says nothing
		// about its path to the store now.
		clear(f.storeCalls)
		f.log.Info().Bool("reading", reading).Int("others", others).Msg("store reader changed")
	}
	return reading
}

// countReaders counts the peers that claim to read the store, and those of them
// that precede this router by rank.
func (f *fleet) countReaders(now time.Time) (before, all int) {
	for router, claim := range f.readerClaims {
		if now.Sub(claim.madeAt) > claimExpiry || !f.isLive(router) {
			delete(f.readerClaims, router)
			continue
		}
		all++
		if f.readerRanks[router] < f.readerRanks[f.self.Router] {
			before++
		}
	}
	return before, all
}

// firstWaitShare returns the part of a watch period after which this reader calls
// the store first when all readers begin to wait at once. The parts of
// targetReaders readers are spread evenly.
func (f *fleet) firstWaitShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, _ := f.countReaders(f.now())
	return float64(min(before+1, targetReaders)) / targetReaders
}

// readersWithOtherUpstreams returns the live peers that read the store and hold
// other upstreams than this router. Peers that hold the same upstreams have
// nothing new to send.
func (f *fleet) readersWithOtherUpstreams(now time.Time, upstreams uint64) []scheduler.Peer {
	var readers []scheduler.Peer
	for _, p := range f.livePeers {
		claim, ok := f.readerClaims[p.Router]
		if ok && now.Sub(claim.madeAt) <= claimExpiry && claim.upstreamDigest != upstreams {
			readers = append(readers, p)
		}
	}
	return readers
}

func (f *fleet) isLive(router state.Router) bool {
	return slices.ContainsFunc(f.livePeers, func(p scheduler.Peer) bool { return p.Router == router })
}

// isEagerReader reports whether this router is one of the first live routers by
// rank, or lacks objects of operators without which it serves no callers. If
// every router called an unavailable store again and again, 73 routers would
// make two thousand calls in six seconds, and each call is billed. The caller
// holds the lock.
func (f *fleet) isEagerReader(lacksObjects bool) bool {
	return f.readerRanks[f.self.Router] < eagerReaders || lacksObjects
}

// retryDelay lengthens the pause after a failed call for routers that are not
// eager readers.
func (f *fleet) retryDelay(delay time.Duration) time.Duration {
	lacksObjects := f.catalogue.lacksOperatorObjects()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isEagerReader(lacksObjects) {
		return delay
	}
	return nonEagerRetryDelay/2 + rand.N(nonEagerRetryDelay)
}
