// Package shares decides which workspaces ask for more than their max-min fair
// share of the fleet's throughput. It counts cost over a sliding window at
// this router, takes the peers' counts as last heard, and knows no clock.
package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// Window is the time over which shares are measured. Operators judge
	// shares over a few seconds; a shorter window would refuse a burst that
	// is within its share, a longer one let a flood run on.
	Window = 4 * time.Second
	// step is the width of a bucket: a sixteenth of the window, so that the
	// count falls smoothly.
	step    = Window / buckets
	buckets = 16
	// PeerExpiry is the age at which a peer's counts no longer say what it
	// does: the window has passed.
	PeerExpiry = Window
)

// Usage is the cost of one workspace at one router over the window.
type Usage struct {
	// Asked counts all requests once, Admitted those that were dispatched.
	Asked    float64
	Admitted float64
}

type bucket struct {
	slot  int64
	usage Usage
}

type meter [buckets]bucket

func (m *meter) at(now time.Time) *bucket {
	slot := now.UnixNano() / int64(step)
	b := &m[slot%buckets]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}

func (m *meter) sum(now time.Time) Usage {
	newest := now.UnixNano() / int64(step)
	var total Usage
	for _, b := range m {
		if b.slot > newest-buckets && b.slot <= newest {
			weight := weightOf(newest - b.slot)
			total.Asked += weight * b.usage.Asked
			total.Admitted += weight * b.usage.Admitted
		}
	}
	return total
}

// weightOf weighs a bucket by its age in buckets: the newest twice, the oldest
// hardly, all together as many as there are. Usage then falls steadily; with
// equal weights a workspace that got much at once is refused until the window
// lets go of it, and then floods again.
func weightOf(age int64) float64 {
	return 2 * (buckets - float64(age) - 0.5) / buckets
}

type peerUsage struct {
	heard time.Time
	usage map[state.Workspace]Usage
}

// Ledger counts what workspaces ask for and get. It is not safe for concurrent
// use.
type Ledger struct {
	own   map[state.Workspace]*meter
	peers map[state.Router]peerUsage
	// level is the max-min share over the window; recomputed when stale.
	level   float64
	limited bool
	// reached is the max-min share of what the fleet takes on, if that is
	// more; 0 if it takes on all that is asked for.
	reached  float64
	total    map[state.Workspace]Usage
	computed time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{own: make(map[state.Workspace]*meter), peers: make(map[state.Router]peerUsage)}
}

func (l *Ledger) meter(ws state.Workspace) *meter {
	m := l.own[ws]
	if m == nil {
		m = &meter{}
		l.own[ws] = m
	}
	return m
}

// Asked counts a request that arrived.
func (l *Ledger) Asked(now time.Time, ws state.Workspace, cost float64) {
	l.meter(ws).at(now).usage.Asked += cost
}

// Admitted counts a request that was dispatched.
func (l *Ledger) Admitted(now time.Time, ws state.Workspace, cost float64) {
	l.meter(ws).at(now).usage.Admitted += cost
	if l.total != nil {
		u := l.total[ws]
		u.Admitted += weightOf(0) * cost
		l.total[ws] = u
	}
}

// Withdrawn takes back a request that was dispatched at a time and did not begin.
func (l *Ledger) Withdrawn(at time.Time, ws state.Workspace, cost float64) {
	m := l.own[ws]
	if m == nil {
		return
	}
	slot := at.UnixNano() / int64(step)
	if b := &m[slot%buckets]; b.slot == slot {
		b.usage.Admitted = max(b.usage.Admitted-cost, 0)
	}
}

// Told returns the counts of this router that peers have to know.
func (l *Ledger) Told(now time.Time) map[state.Workspace]Usage { return greatest(l.Own(now)) }

// ToldBeyond returns the counts of all routers but those on a peer's side of a
// link, as its peer has to know them.
func (l *Ledger) ToldBeyond(now time.Time, peer state.Router) map[state.Workspace]Usage {
	total := l.Own(now)
	for source, usage := range l.peers {
		if source != peer && now.Sub(usage.heard) <= PeerExpiry {
			add(total, usage.usage)
		}
	}
	return total
}

func add(total, usage map[state.Workspace]Usage) {
	for ws, u := range usage {
		sum := total[ws]
		sum.Asked += u.Asked
		sum.Admitted += u.Admitted
		total[ws] = sum
	}
}

// greatest keeps the workspaces that ask for most, up to nearly all of the
// cost. The others are too small to move the level, and there may be
// thousands.
func greatest(usage map[state.Workspace]Usage) map[state.Workspace]Usage {
	names := slices.SortedFunc(maps.Keys(usage), func(a, b state.Workspace) int {
		return cmp.Or(cmp.Compare(usage[b].Asked, usage[a].Asked), cmp.Compare(a, b))
	})
	total := 0.0
	for _, u := range usage {
		total += u.Asked
	}
	told := make(map[state.Workspace]Usage)
	covered := 0.0
	for _, ws := range names {
		if covered >= toldShare*total {
			break
		}
		told[ws] = usage[ws]
		covered += usage[ws].Asked
	}
	return told
}

// toldShare is the part of the asked cost that peers are told of.
const toldShare = 0.95

// Own returns this router's counts.
func (l *Ledger) Own(now time.Time) map[state.Workspace]Usage {
	usage := make(map[state.Workspace]Usage, len(l.own))
	for ws, m := range l.own {
		sum := m.sum(now)
		if sum == (Usage{}) {
			delete(l.own, ws)
			continue
		}
		usage[ws] = sum
	}
	return usage
}

// Heard takes a peer's counts, or those of its side of a link, in place of what
// it told before.
func (l *Ledger) Heard(now time.Time, from state.Router, usage map[state.Workspace]Usage) {
	l.peers[from] = peerUsage{heard: now, usage: usage}
}

// Age returns the age of the oldest counts of a source that still count.
func (l *Ledger) Age(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, peer := range l.peers {
		if since := now.Sub(peer.heard); since <= PeerExpiry {
			age = max(age, since)
		}
	}
	return age
}

// Gone forgets a source.
func (l *Ledger) Gone(from state.Router) { delete(l.peers, from) }

// refresh recomputes the level. It is done a few times a second: the level
// moves with the window, not with single requests.
func (l *Ledger) refresh(now time.Time, throughput float64) {
	if l.total != nil && now.Sub(l.computed) < refreshEvery && !now.Before(l.computed) {
		return
	}
	total := l.Own(now)
	for source, peer := range l.peers {
		if now.Sub(peer.heard) > PeerExpiry {
			delete(l.peers, source)
			continue
		}
		add(total, peer.usage)
	}
	asked := make([]float64, 0, len(total))
	admitted := 0.0
	for _, usage := range total {
		asked = append(asked, usage.Asked)
		admitted += usage.Admitted
	}
	stated := throughput * Window.Seconds()
	l.level, l.limited = Level(asked, stated)
	l.reached, _ = Level(asked, max(stated, headroom*admitted))
	l.total = total
	l.computed = now
}

// headroom is how much more than lately the fleet may take on: enough that a
// level follows a fleet that has become faster within some windows, too little
// to let the workspaces that ask for most run ahead of the others.
const headroom = 1.05

// refreshEvery bounds the work of recomputing the level to ten times a second.
const refreshEvery = 100 * time.Millisecond

// Standing says how a workspace stands to its fair share.
type Standing struct {
	// Limited is set if all workspaces together ask for more than the fleet
	// produces and this one got its max-min share already.
	Limited bool
	// Use is what the workspace got over its max-min share of what the fleet
	// takes on; 0 if the fleet is not short. That is more than the stated
	// throughput where engines do more than operators state.
	Use float64
	// Here is the same by this router's own requests: the part of them that was
	// admitted, over the part that the fleet may admit of all the workspace's.
	// It is current, while Use depends on what peers told some time ago.
	Here float64
}

// Standing judges a workspace at a throughput in cost units a second; zero or
// less means unknown and limits nobody.
func (l *Ledger) Standing(now time.Time, ws state.Workspace, throughput float64) Standing {
	if throughput <= 0 {
		return Standing{}
	}
	l.refresh(now, throughput)
	if !l.limited || l.level <= 0 {
		return Standing{}
	}
	admitted := l.total[ws].Admitted
	standing := Standing{Limited: admitted >= l.level}
	if l.reached > 0 {
		standing.Use = admitted / l.reached
		standing.Here = l.here(now, ws)
	}
	return standing
}

// here returns Standing.Here; zero if the router was not asked lately.
func (l *Ledger) here(now time.Time, ws state.Workspace) float64 {
	m := l.own[ws]
	if m == nil {
		return 0
	}
	own := m.sum(now)
	if own.Asked <= 0 {
		return 0
	}
	return own.Admitted / own.Asked * max(l.total[ws].Asked, own.Asked) / l.reached
}

// Level returns the max-min share: the greatest amount such that everybody
// gets what it asks for up to it and the sum stays within the capacity.
// Limited is false if the capacity serves all.
func Level(asked []float64, capacity float64) (level float64, limited bool) {
	slices.Sort(asked)
	left := capacity
	for i, amount := range asked {
		even := left / float64(len(asked)-i)
		if amount > even {
			return even, true
		}
		left -= amount
	}
	return 0, false
}
