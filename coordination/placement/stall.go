package placement

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

const (
	// upstreamSilenceLimit is how long an upstream that generates for this
	// router may send nothing before it counts as unreachable. Engines send an
	// event of each stream several times a second, while a network partition or
	// a lost VM sends neither data nor a connection reset.
	upstreamSilenceLimit = 700 * time.Millisecond
	// streamSilenceLimit is the same limit for one stream of an upstream whose
	// other streams continue: the answer of that stream has been lost.
	streamSilenceLimit = 1200 * time.Millisecond
	// overtakenLimit is how long after the first output of a later request an
	// earlier one counts as lost. Engines start requests in order of arrival.
	overtakenLimit = 400 * time.Millisecond
	// stallWorkFactor and minStallTime bound the duration of a plain request:
	// several times the mean duration, but long enough that a pause of the
	// process does not count as a stall.
	stallWorkFactor = 5
	minStallTime    = 250 * time.Millisecond
	// minSilentUpstreams is the number of silent upstreams from which their
	// data centre counts as unreachable.
	minSilentUpstreams = 2
)

// TakeStalled returns the requests that are given up at their upstream because
// they can be sent again and their answer will not arrive: the upstream is
// silent, has started later requests, or continues only with other streams.
// Each request is returned once.
//
// If the caller has received the beginning of the answer, the request is
// returned only if mayRetry, which is called once for it, grants a retry for
// its service. Without a retry its stream would break off, which leaves the
// caller with nothing, while an upstream that was only slow may still continue
// it. A request whose caller has received nothing is always returned, since it
// can still be answered, if only with an error.
//
// TakeStalled also marks silent upstreams, and with them data centres, as
// unreachable.
func (v *View) TakeStalled(now time.Time, mayRetry func(state.Service) bool) []*Ticket {
	v.markUnreachable(now)
	var stalled []*Ticket
	for _, h := range v.hosts {
		for _, t := range h.active {
			if !t.repeatable || t.givenUp || !v.isStalled(now, t) || !v.hasAlternative(now, t) {
				continue
			}
			if t.partlyDelivered() && !mayRetry(t.service) {
				continue
			}
			t.givenUp = true
			stalled = append(stalled, t)
		}
	}
	return stalled
}

// hasAlternative reports whether a request can be sent to an upstream other
// than its own.
func (v *View) hasAlternative(now time.Time, t *Ticket) bool {
	return slices.ContainsFunc(v.services[t.service], func(h *host) bool {
		return h != t.host && !h.unreachable && v.mayReceive(now, h, t.regions, t.excluded)
	})
}

// partlyDelivered reports whether the caller has received the beginning of the
// answer.
func (t *Ticket) partlyDelivered() bool { return t.resumed || t.Answering() }

func (v *View) isStalled(now time.Time, t *Ticket) bool {
	silentFor := now.Sub(t.lastOutputAt)
	switch {
	case !t.onEngine:
		return silentFor > max(stallWorkFactor*v.meanWorkTime(t.service), minStallTime)
	case t.host.unreachable:
		return silentFor > upstreamSilenceLimit
	case t.awaitingFirstOutput:
		return t.host.newestStarted > t.sequence && now.Sub(t.host.newestStartedAt) > overtakenLimit
	default:
		return silentFor > streamSilenceLimit && t.host.lastReceivedAt.Sub(t.lastOutputAt) > streamSilenceLimit/2
	}
}

// markUnreachable marks engines that should send events and do not. If at least
// minSilentUpstreams engines of a data centre are silent and no upstream there
// has sent anything recently, it marks all upstreams of that data centre.
func (v *View) markUnreachable(now time.Time) {
	silent := make(map[state.DataCentre]int)
	sending := make(map[state.DataCentre]bool)
	for _, h := range v.hosts {
		switch {
		case h.isSilent(now):
			h.unreachable = true
			silent[h.DataCentre]++
		case now.Sub(h.lastReceivedAt) <= upstreamSilenceLimit:
			sending[h.DataCentre] = true
		}
	}
	for _, h := range v.hosts {
		if silent[h.DataCentre] >= minSilentUpstreams && !sending[h.DataCentre] {
			h.unreachable = true
		}
	}
}

// isSilent reports whether an engine has started streams of this router and now
// sends nothing.
func (h *host) isSilent(now time.Time) bool {
	for _, t := range h.active {
		if t.onEngine && !t.awaitingFirstOutput && now.Sub(h.lastReceivedAt) > upstreamSilenceLimit {
			return true
		}
	}
	return false
}

// UnreachableUpstreams returns the upstreams that cannot be reached, to be
// probed. Upstreams of evacuated data centres are not probed.
func (v *View) UnreachableUpstreams() []directory.Upstream {
	var list []directory.Upstream
	for _, h := range v.hosts {
		if h.unreachable && !h.Leaving && !v.evacuated[h.DataCentre] {
			list = append(list, h.Upstream)
		}
	}
	return list
}

// MarkReachable records that a connection to an upstream could be established.
func (v *View) MarkReachable(now time.Time, id state.Upstream) {
	if h := v.hosts[id]; h != nil {
		h.unreachable = false
		h.lastReceivedAt = now
	}
}
