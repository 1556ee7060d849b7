package placement

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

const (
	// silence is how long an upstream that generates for this router may send
	// nothing before it counts as unreachable. Engines send an event of each
	// stream several times a second; a partition or a lost VM sends nothing
	// and resets nothing.
	silence = 700 * time.Millisecond
	// streamSilence is the same for one stream of an upstream that sends
	// others: its answer was lost.
	streamSilence = 1200 * time.Millisecond
	// overtake is how long after a later request's first output an earlier
	// one counts as lost: engines begin requests in order of arrival.
	overtake = 400 * time.Millisecond
	// slowWork and leastWork bound a plain request: several times the usual
	// time, and not so little that a pause of the process counts.
	slowWork  = 5
	leastWork = 250 * time.Millisecond
	// together is the number of silent upstreams from which a data centre
	// counts as cut off.
	together = 2
)

// Stalled returns the requests that are given up where they are, because they
// can be sent again and their answer will not come: their upstream is silent,
// or has begun later requests, or goes on with others. Each is returned once.
// A request whose caller has the beginning of its answer is returned only if
// repeat, asked once for it, grants a retry at its service: a caller whose
// stream breaks off has nothing, one that waits may see an upstream go on that
// was only slow. The others can still be answered, if by a failure.
// Stalled also marks upstreams, and with them data centres, as unreachable.
func (p *Picture) Stalled(now time.Time, repeat func(state.Service) bool) []*Ticket {
	p.markSilent(now)
	var stalled []*Ticket
	for _, h := range p.hosts {
		for _, t := range h.active {
			if !t.repeatable || t.givenUp || !p.stalled(now, t) || !p.elsewhere(t) {
				continue
			}
			if t.delivering() && !repeat(t.service) {
				continue
			}
			t.givenUp = true
			stalled = append(stalled, t)
		}
	}
	return stalled
}

// elsewhere says whether a request can be sent to another upstream than its own.
func (p *Picture) elsewhere(t *Ticket) bool {
	return slices.ContainsFunc(p.services[t.service], func(h *host) bool {
		return h != t.host && !h.Leaving && !h.unreachable && !slices.Contains(t.excluded, h.ID)
	})
}

// delivering says whether the caller has the beginning of the answer.
func (t *Ticket) delivering() bool { return t.resumed || t.Answering() }

func (p *Picture) stalled(now time.Time, t *Ticket) bool {
	quiet := now.Sub(t.heard)
	switch {
	case !t.engine:
		return quiet > max(slowWork*p.workTime(t.service), leastWork)
	case t.host.unreachable:
		return quiet > silence
	case t.pending:
		return t.host.latest > t.sequence && now.Sub(t.host.latestAt) > overtake
	default:
		return quiet > streamSilence && t.host.heard.Sub(t.heard) > streamSilence/2
	}
}

// markSilent finds upstreams that should send and don't, and data centres of
// which all such upstreams are silent.
func (p *Picture) markSilent(now time.Time) {
	silent := make(map[state.DataCentre]int)
	talking := make(map[state.DataCentre]bool)
	for _, h := range p.hosts {
		switch {
		case h.silent(now):
			h.unreachable = true
			silent[h.DataCentre]++
		case now.Sub(h.heard) <= silence:
			talking[h.DataCentre] = true
		}
	}
	for _, h := range p.hosts {
		if silent[h.DataCentre] >= together && !talking[h.DataCentre] {
			h.unreachable = true
		}
	}
}

// silent says whether an engine has begun streams of this router and sends
// nothing.
func (h *host) silent(now time.Time) bool {
	for _, t := range h.active {
		if t.engine && !t.pending && now.Sub(h.heard) > silence {
			return true
		}
	}
	return false
}

// Unreachable returns the upstreams that cannot be reached, to be probed.
func (p *Picture) Unreachable() []directory.Upstream {
	var list []directory.Upstream
	for _, h := range p.hosts {
		if h.unreachable && !h.Leaving {
			list = append(list, h.Upstream)
		}
	}
	return list
}

// Reached notes that a connection to an upstream could be made.
func (p *Picture) Reached(now time.Time, id state.Upstream) {
	if h := p.hosts[id]; h != nil {
		h.unreachable = false
		h.heard = now
	}
}
