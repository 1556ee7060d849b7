package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	// readers is how many routers follow the store for all. Three are lost
	// at once only if a data centre falls together with another VM.
	readers = 3
	// eagerReaders is how many routers, by name, step in where readers are
	// missing, and aloneFor how long nobody may read before all others do.
	eagerReaders = 2 * readers
	aloneFor     = 500 * time.Millisecond
	// firstReadDelay is how long a router leaves it to the seeds to read the
	// store when the whole fleet starts for the first time, and waits for a
	// peer to tell it what they read, so that a large fleet does not exceed the
	// store's rate at its start. Balancers ask for readiness once a second.
	firstReadDelay = 700 * time.Millisecond
	// startReadDelay is the same for any other start. Live peers answer within
	// some ten milliseconds; if the whole fleet has lost power, callers wait
	// and sessions with seeds that start a moment later take a second.
	startReadDelay = 100 * time.Millisecond
	// lateRetry is the mean pause of the others between two calls to a store
	// that does not answer.
	lateRetry = 2500 * time.Millisecond
	// claimExpiry is the age at which a peer's word that it reads the store
	// no longer counts: it would have said so ten times since.
	claimExpiry = 1200 * time.Millisecond
	// readHealthy is how long after the store's last answer this router still
	// says that it reads: a watch may wait for most of it.
	readHealthy = watchWait + callTimeout
)

// reads says whether this router is to read the store: if it comes early enough
// by name among the peers that say they do, while too few do and it comes early
// by name among all, and if for a while nobody does.
func (f *fleet) reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.started) < f.readDelay {
		return false
	}
	before, others := f.claimants(now)
	if others > 0 || f.aloneSince.IsZero() {
		f.aloneSince = now
	}
	alone := now.Sub(f.aloneSince) >= aloneFor
	reading := others < readers && (f.eager() || alone) || before < readers && f.reading
	if reading != f.reading {
		f.reading = reading
		f.log.Info().Bool("reading", reading).Int("others", others).Msg("store reader changed")
	}
	return reading
}

// claimants counts the peers that say they read the store, and those of them
// that come before this router by name.
func (f *fleet) claimants(now time.Time) (before, all int) {
	for router, word := range f.claims {
		if now.Sub(word.heard) > claimExpiry || !f.isLive(router) {
			delete(f.claims, router)
			continue
		}
		all++
		if router < f.self.Router {
			before++
		}
	}
	return before, all
}

// otherwiseInformed returns the live peers that read the store and hold other
// upstreams than this router. One that holds the same has nothing to tell.
func (f *fleet) otherwiseInformed(now time.Time, upstreams uint64) []scheduler.Peer {
	var readers []scheduler.Peer
	for _, p := range f.live {
		word, ok := f.claims[p.Router]
		if ok && now.Sub(word.heard) <= claimExpiry && word.upstreams != upstreams {
			readers = append(readers, p)
		}
	}
	return readers
}

func (f *fleet) isLive(router state.Router) bool {
	return slices.ContainsFunc(f.live, func(p scheduler.Peer) bool { return p.Router == router })
}

// eager says whether this router comes early by name among the live ones. When
// the store is away all routers would call it again and again: on 73 routers
// that was two thousand calls in six seconds, each of which is paid for.
func (f *fleet) eager() bool {
	earlier := 0
	for _, p := range f.live {
		if p.Router < f.self.Router {
			earlier++
		}
	}
	return earlier < eagerReaders || f.catalogue.empty()
}

// retryPause lengthens the pause after a failed call for routers that are not
// among the first to read.
func (f *fleet) retryPause(pause time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.eager() {
		return pause
	}
	return lateRetry/2 + rand.N(lateRetry)
}
