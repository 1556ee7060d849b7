package placement

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

const (
	// upstreamSilenceLimit is how long an upstream that generates for this router may send
	// nothing before it counts as unreachable. Engines send an event of each
	// stream several times a second; a partition or a lost VM sends nothing
	// and resets nothing.
	upstreamSilenceLimit = 700 * time.Millisecond
	// streamSilenceLimit is the same for one stream of an upstream that sends
	// others: its answer was lost.
	streamSilenceLimit = 1200 * time.Millisecond
	// overtakenLimit is how long after a later request's first output an earlier
	// one counts as lost: engines begin requests in order of arrival.
	overtakenLimit = 400 * time.Millisecond
	// stallWorkFactor and leastWork bound a plain request: several times the usual
	// time, and not so little that a pause of the process counts.
	stallWorkFactor = 5
	minStallTime    = 250 * time.Millisecond
	// minSilentUpstreams is the number of silent upstreams from which a data centre
	// counts as cut off.
	minSilentUpstreams = 2
)

// TakeStalled returns the requests that are given up where they are, because they
// can be sent again and their answer will not come: their upstream is silent,
// or has begun later requests, or goes on with others. Each is returned once.
// A request whose caller has the beginning of its answer is returned only if
// repeat, asked once for it, grants a retry at its service: a caller whose
// stream breaks off has nothing, one that waits may see an upstream go on that
// was only slow. The others can still be answered, if by a failure.
// Stalled also marks upstreams, and with them data centres, as unreachable.
func (v *View) TakeStalled(now time.Time, mayRetry func(state.Service) bool) []*Ticket {
	v.markUnreachable(now)
	var stalled []*Ticket
	for _, h := range v.hosts {
		for _, t := range h.active {
			if !t.repeatable || t.givenUp || !v.isStalled(now, t) || !v.hasAlternative(t) {
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

// hasAlternative says whether a request can be sent to another upstream than its own.
func (v *View) hasAlternative(t *Ticket) bool {
	return slices.ContainsFunc(v.services[t.service], func(h *host) bool {
		return h != t.host && !h.Leaving && !h.unreachable && !slices.Contains(t.excluded, h.ID)
	})
}

// partlyDelivered says whether the caller has the beginning of the answer.
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

// markUnreachable finds upstreams that should send and don't, and data centres of
// which all such upstreams are silent.
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

// isSilent says whether an engine has begun streams of this router and sends
// nothing.
func (h *host) isSilent(now time.Time) bool {
	for _, t := range h.active {
		if t.onEngine && !t.awaitingFirstOutput && now.Sub(h.lastReceivedAt) > upstreamSilenceLimit {
			return true
		}
	}
	return false
}

// UnreachableUpstreams returns the upstreams that cannot be reached, to be probed.
func (v *View) UnreachableUpstreams() []directory.Upstream {
	var list []directory.Upstream
	for _, h := range v.hosts {
		if h.unreachable && !h.Leaving {
			list = append(list, h.Upstream)
		}
	}
	return list
}

// MarkReachable notes that a connection to an upstream could be made.
func (v *View) MarkReachable(now time.Time, id state.Upstream) {
	if h := v.hosts[id]; h != nil {
		h.unreachable = false
		h.lastReceivedAt = now
	}
}
