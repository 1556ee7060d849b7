package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	// targetReaders is how many routers follow the store for all. Three are lost
	// at once only if a data centre falls together with another VM.
	targetReaders = 3
	// eagerReaders is how many routers, by name, step in where readers are
	// missing, and aloneFor how long nobody may read before all others do.
	eagerReaders    = 2 * targetReaders
	noReaderTimeout = 500 * time.Millisecond
	// firstStartReadDelay is how long a router leaves it to the seeds to read the
	// store when the whole fleet starts for the first time, and waits for a
	// peer to tell it what they read, so that a large fleet does not exceed the
	// store's rate at its start. Balancers ask for readiness once a second.
	firstStartReadDelay = 700 * time.Millisecond
	// startReadDelay is the same for any other start. Live peers answer within
	// some ten milliseconds; if the whole fleet has lost power, callers wait
	// and sessions with seeds that start a moment later take a second.
	startReadDelay = 100 * time.Millisecond
	// nonReaderRetryDelay is the mean pause of the others between two calls to a store
	// that does not answer.
	nonReaderRetryDelay = 2500 * time.Millisecond
	// claimExpiry is the age at which a peer's word that it reads the store
	// no longer counts: it would have said so ten times since.
	claimExpiry = 1200 * time.Millisecond
	// readingClaimedFor is how long after the store's last answer this router still
	// says that it reads: a watch may wait for most of it.
	readingClaimedFor = watchWait + callTimeout
)

// shouldReadStore says whether this router is to read the store: if it comes early enough
// by name among the peers that say they do, while too few do and it comes early
// by name among all, and if for a while nobody does.
func (f *fleet) shouldReadStore() bool {
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
	reading := others < targetReaders && (f.isEagerReader() || noReader) || before < targetReaders && f.readingStore
	if reading != f.readingStore {
		f.readingStore = reading
		f.log.Info().Bool("reading", reading).Int("others", others).Msg("store reader changed")
	}
	return reading
}

// countReaders counts the peers that say they read the store, and those of them
// that come before this router by name.
func (f *fleet) countReaders(now time.Time) (before, all int) {
	for router, claim := range f.readerClaims {
		if now.Sub(claim.receivedAt) > claimExpiry || !f.isLive(router) {
			delete(f.readerClaims, router)
			continue
		}
		all++
		if router < f.self.Router {
			before++
		}
	}
	return before, all
}

// readersWithOtherUpstreams returns the live peers that read the store and hold other
// upstreams than this router. One that holds the same has nothing to tell.
func (f *fleet) readersWithOtherUpstreams(now time.Time, upstreams uint64) []scheduler.Peer {
	var readers []scheduler.Peer
	for _, p := range f.livePeers {
		claim, ok := f.readerClaims[p.Router]
		if ok && now.Sub(claim.receivedAt) <= claimExpiry && claim.upstreamDigest != upstreams {
			readers = append(readers, p)
		}
	}
	return readers
}

func (f *fleet) isLive(router state.Router) bool {
	return slices.ContainsFunc(f.livePeers, func(p scheduler.Peer) bool { return p.Router == router })
}

// isEagerReader says whether this router comes early by name among the live ones. When
// the store is away all routers would call it again and again: on 73 routers
// that was two thousand calls in six seconds, each of which is paid for.
func (f *fleet) isEagerReader() bool {
	earlier := 0
	for _, p := range f.livePeers {
		if p.Router < f.self.Router {
			earlier++
		}
	}
	return earlier < eagerReaders || f.catalogue.hasNoConfig()
}

// retryDelay lengthens the pause after a failed call for routers that are not
// among the first to read.
func (f *fleet) retryDelay(delay time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isEagerReader() {
		return delay
	}
	return nonReaderRetryDelay/2 + rand.N(nonReaderRetryDelay)
}
