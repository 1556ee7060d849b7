package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	// answerTimeout is how long a peer may take to send all its objects.
	// Sending takes a few milliseconds, and some hundred milliseconds on a
	// loaded VM.
	answerTimeout = time.Second
	// emptyRetryDelay is the longest wait after a peer answered that it has no
	// objects; it is divided by the number of peers asked without success.
	// While a whole fleet starts, no router has any object until the first one
	// has read the store.
	emptyRetryDelay = 300 * time.Millisecond
	// steadyDifferenceDelay is how long an unchanged difference to a reader (a
	// peer that reads the store) may last before this router asks that reader.
	// Changes take some tens of milliseconds from router to router, and a new
	// configuration must be in force within two seconds.
	steadyDifferenceDelay = 300 * time.Millisecond
	// changingDifferenceDelay is the same limit while upstreams continually
	// come and go, so that two routers rarely have equal state at the moment
	// they compare it. This limit is too long for a router that was cut off: it
	// would go on sending requests to an upstream that left meanwhile, while
	// returning upstreams keep changing the state. For this long after an
	// unreachable peer has returned, a changing difference is therefore limited
	// by steadyDifferenceDelay instead.
	changingDifferenceDelay = 2 * time.Second
)

// CatchUp decides when a router must fetch all objects from a peer, and from
// which peer. Changes are sent as they happen, so only a router that has just
// started or was cut off from a peer may lack objects, and fetching them from
// one peer is enough. If every peer sent all objects at the start of each
// session, starting 85 routers would transfer 32 MB more between data centres.
//
// The zero value represents a router that has just started. A CatchUp is not
// safe for concurrent use.
type CatchUp struct {
	// complete is set while this router cannot lack any object. wasComplete is
	// set once it was.
	complete, wasComplete bool
	// missedAt is the latest time at which this router may have missed a
	// change. rejoinedAt is when a peer that was unreachable last returned.
	missedAt, rejoinedAt time.Time
	// knownIncarnations holds the latest incarnation of each peer with which
	// there was a session.
	knownIncarnations map[state.Router]state.Incarnation
	// askedPeer is the peer that was asked last, at askedAt; empty once it has
	// answered. nextAsk is the earliest time to ask again.
	askedPeer state.Router
	askedAt   time.Time
	nextAsk   time.Time
	// triedPeers holds the peers that were asked without success.
	triedPeers map[state.Router]bool
	// differences holds the current differences to readers.
	differences map[state.Router]difference
	// holder is a peer that has objects which this router lacks; empty if none
	// is known. askedHolder is set while the asked peer is such a holder.
	holder      state.Router
	askedHolder bool
	// consultedPeers holds the readers that were asked about suspected
	// upstreams.
	consultedPeers map[state.Router]bool
}

// StateSummary identifies the state that a router has stored.
type StateSummary struct {
	// ConfigRevision is the revision of the configuration; 0 if there is none.
	ConfigRevision uint64
	// UpstreamsDigest is a digest of all upstream entries and evacuations.
	UpstreamsDigest uint64
}

// difference is an observed difference between the states of two routers.
type difference struct {
	remote, local StateSummary
	// firstSeen is when the difference began. unchangedSince is since when both
	// states have been the same as now.
	firstSeen, unchangedSince time.Time
}

// SummaryReceived compares the state of any peer with the local state. A router
// without a configuration asks the first peer that has one. If it asked its
// neighbours in turn, which have just started as well, a fleet that lost power
// as a whole would take 0.7 s longer until it serves requests.
func (c *CatchUp) SummaryReceived(now time.Time, from state.Router, remote, local StateSummary) {
	if c.complete || local.ConfigRevision > 0 || remote.ConfigRevision == 0 || c.askedHolder && now.Sub(c.askedAt) < answerTimeout {
		return
	}
	c.holder = from
}

// CompareWithReader compares the state of a reader, which is a peer that reads
// the store, with the local state. A change that was lost, for example because
// a router stopped while it forwarded the change, shows as a lasting
// difference. A configuration of the reader that is older than the local one
// does not count as a difference.
func (c *CatchUp) CompareWithReader(now time.Time, from state.Router, remote, local StateSummary) {
	if c.differences == nil {
		c.differences = make(map[state.Router]difference)
	}
	behind := remote.ConfigRevision > local.ConfigRevision
	if !behind && remote.UpstreamsDigest == local.UpstreamsDigest {
		delete(c.differences, from)
		return
	}
	d, ok := c.differences[from]
	if !ok {
		d.firstSeen = now
	}
	if d.remote != remote || d.local != local {
		d.remote, d.local, d.unchangedSince = remote, local, now
	}
	c.differences[from] = d
	if now.Sub(d.unchangedSince) >= steadyDifferenceDelay || now.Sub(d.firstSeen) >= c.differenceLimit(now) {
		delete(c.differences, from)
		c.complete, c.missedAt, c.holder = false, now, from
	}
}

// differenceLimit returns how long a difference may last while the states keep
// changing.
func (c *CatchUp) differenceLimit(now time.Time) time.Duration {
	if now.Sub(c.rejoinedAt) < changingDifferenceDelay {
		return steadyDifferenceDelay
	}
	return changingDifferenceDelay
}

// SessionOpened processes a new session. If the peer's incarnation is already
// known, the peer was unreachable for a while and this router has missed the
// changes that it sent meanwhile. A new incarnation has no changes that the
// other peers lack.
func (c *CatchUp) SessionOpened(now time.Time, p scheduler.Peer) {
	if c.knownIncarnations == nil {
		c.knownIncarnations = make(map[state.Router]state.Incarnation)
	}
	if c.knownIncarnations[p.Router] == p.Incarnation {
		c.complete, c.missedAt, c.rejoinedAt = false, now, now
		clear(c.triedPeers)
		delete(c.consultedPeers, p.Router)
	}
	c.knownIncarnations[p.Router] = p.Incarnation
}

// LinkOpened compares the state of a peer at the other end of a new link with
// the local state. Changes are only passed on over existing links, so what
// passed before the link opened may be missing here and is fetched from the
// peer. A router that still fetches its first objects gets them anyway.
func (c *CatchUp) LinkOpened(now time.Time, peer state.Router, remote, local StateSummary) {
	if !c.wasComplete || remote.ConfigRevision <= local.ConfigRevision && remote.UpstreamsDigest == local.UpstreamsDigest {
		return
	}
	c.complete, c.missedAt, c.holder = false, now, peer
}

// PeerLost records that the session with a peer has ended, so that an answer
// from it is no longer expected.
func (c *CatchUp) PeerLost(peer state.Router) {
	if c.askedPeer == peer {
		c.askedPeer, c.askedHolder = "", false
	}
	if c.holder == peer {
		c.holder = ""
	}
}

// MarkRejoined records that an unreachable part of the fleet may be back, so
// that differences to readers lead to a request sooner.
func (c *CatchUp) MarkRejoined(now time.Time) {
	c.rejoinedAt = now
	clear(c.triedPeers)
	clear(c.consultedPeers)
}

// SuspectUpstreams reports that upstreams which this router still uses may have
// been removed; readers are the peers that read the store and have other
// upstreams. A reader that could reach the store all the time knows of the
// removal and announced it while this router was cut off. Waiting for a lasting
// difference takes too long: upstreams that were also cut off return one by one
// and keep changing the state, and meanwhile requests go to a removed upstream.
// So each reader is asked without delay, one at a time and each of them once.
// Readers in other data centres come first, because a network cut usually
// affects a whole data centre.
func (c *CatchUp) SuspectUpstreams(now time.Time, self scheduler.Peer, readers []scheduler.Peer) {
	if c.holder != "" || c.askedHolder && now.Sub(c.askedAt) < answerTimeout {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(readers), func(p scheduler.Peer) bool {
		return p.Router == self.Router || c.consultedPeers[p.Router]
	})
	if len(candidates) == 0 {
		return
	}
	reader := pickPeer(self, candidates, func(p scheduler.Peer) bool { return p.DataCentre != self.DataCentre })
	if c.consultedPeers == nil {
		c.consultedPeers = make(map[state.Router]bool)
	}
	c.consultedPeers[reader.Router] = true
	c.complete, c.missedAt, c.holder = false, now, reader.Router
}

// ClearSuspicion reports that no upstream is suspected any more.
func (c *CatchUp) ClearSuspicion() { clear(c.consultedPeers) }

// NextPeer returns the peer to ask now, if any. Peers of this router's data
// centre come first. Each router uses a different order, which spreads the
// requests.
func (c *CatchUp) NextPeer(now time.Time, self scheduler.Peer, live []scheduler.Peer) (state.Router, bool) {
	if c.complete {
		return "", false
	}
	if c.holder != "" {
		c.askedPeer, c.askedAt, c.holder, c.askedHolder = c.holder, now, "", true
		return c.askedPeer, true
	}
	if now.Before(c.nextAsk) || c.askedPeer != "" && now.Sub(c.askedAt) < answerTimeout {
		return "", false
	}
	candidates := slices.DeleteFunc(slices.Clone(live), func(p scheduler.Peer) bool {
		return p.Router == self.Router || c.triedPeers[p.Router]
	})
	if len(candidates) == 0 {
		clear(c.triedPeers)
		c.nextAsk = now.Add(emptyRetryDelay)
		return "", false
	}
	peer := pickPeer(self, candidates, func(p scheduler.Peer) bool { return p.DataCentre == self.DataCentre })
	if c.triedPeers == nil {
		c.triedPeers = make(map[state.Router]bool)
	}
	c.triedPeers[peer.Router] = true
	c.askedPeer, c.askedAt, c.askedHolder = peer.Router, now, false
	return peer.Router, true
}

// AwaitingAnswer reports whether a peer was asked and its time to answer has
// not passed.
func (c *CatchUp) AwaitingAnswer(now time.Time) bool {
	return c.askedPeer != "" && now.Sub(c.askedAt) < answerTimeout
}

// Answered records that a peer has sent all its objects; hasState is false if
// it had none.
func (c *CatchUp) Answered(now time.Time, from state.Router, hasState bool) {
	if from != c.askedPeer {
		return
	}
	fromHolder := c.askedHolder
	c.askedPeer, c.askedHolder = "", false
	if !hasState {
		c.nextAsk = now.Add(emptyRetryDelay / time.Duration(max(len(c.triedPeers), 1)))
		return
	}
	// The answer may lack changes that were missed after the request was sent.
	c.complete, c.wasComplete = !c.missedAt.After(c.askedAt), true
	clear(c.triedPeers)
	// A neighbour may have been cut off together with this router, so its
	// answer does not resolve differences to readers.
	if fromHolder {
		clear(c.differences)
	}
}

// pickPeer returns one of the candidates, and a preferred one if there is any.
// A hash of both names makes the choice differ between routers.
func pickPeer(self scheduler.Peer, candidates []scheduler.Peer, prefer func(scheduler.Peer) bool) scheduler.Peer {
	preferred := slices.DeleteFunc(slices.Clone(candidates), func(p scheduler.Peer) bool { return !prefer(p) })
	if len(preferred) > 0 {
		candidates = preferred
	}
	return slices.MinFunc(candidates, func(a, b scheduler.Peer) int {
		return cmp.Compare(pairHash(self.Router, a.Router), pairHash(self.Router, b.Router))
	})
}

func pairHash(a, b state.Router) uint64 { return xxhash.Sum64String(string(a) + "/" + string(b)) }
