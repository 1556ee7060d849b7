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
	// bucketWidth is the width of a bucket: a sixteenth of the window, so that the
	// count falls smoothly.
	bucketWidth = Window / bucketCount
	bucketCount = 16
	// PeerExpiry is the age at which a peer's counts no longer say what it
	// does: the window has passed.
	PeerExpiry = Window
)

// Usage is the cost of one workspace at one router over the window.
type Usage struct {
	// Requested counts all requests once, Admitted those that were dispatched.
	Requested float64
	Admitted  float64
}

type bucket struct {
	slot  int64
	usage Usage
}

type meter [bucketCount]bucket

func (m *meter) bucketAt(now time.Time) *bucket {
	slot := now.UnixNano() / int64(bucketWidth)
	b := &m[slot%bucketCount]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}

func (m *meter) sum(now time.Time) Usage {
	newest := now.UnixNano() / int64(bucketWidth)
	var total Usage
	for _, b := range m {
		if b.slot > newest-bucketCount && b.slot <= newest {
			weight := bucketWeight(newest - b.slot)
			total.Requested += weight * b.usage.Requested
			total.Admitted += weight * b.usage.Admitted
		}
	}
	return total
}

// bucketWeight weighs a bucket by its age in buckets: the newest twice, the oldest
// hardly, all together as many as there are. Usage then falls steadily; with
// equal weights a workspace that got much at once is refused until the window
// lets go of it, and then floods again.
func bucketWeight(age int64) float64 {
	return 2 * (bucketCount - float64(age) - 0.5) / bucketCount
}

type peerUsage struct {
	receivedAt time.Time
	usage      map[state.Workspace]Usage
}

// Ledger counts what workspaces ask for and get. It is not safe for concurrent
// use.
type Ledger struct {
	ownMeters map[state.Workspace]*meter
	peers     map[state.Router]peerUsage
	// statedShare is the max-min share over the window; recomputed when stale.
	statedShare    float64
	oversubscribed bool
	// actualShare is the max-min share of what the fleet takes on, if that is
	// more; 0 if it takes on all that is asked for.
	actualShare float64
	totalUsage  map[state.Workspace]Usage
	computedAt  time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{ownMeters: make(map[state.Workspace]*meter), peers: make(map[state.Router]peerUsage)}
}

func (l *Ledger) meter(ws state.Workspace) *meter {
	m := l.ownMeters[ws]
	if m == nil {
		m = &meter{}
		l.ownMeters[ws] = m
	}
	return m
}

// RecordRequested counts a request that arrived.
func (l *Ledger) RecordRequested(now time.Time, ws state.Workspace, cost float64) {
	l.meter(ws).bucketAt(now).usage.Requested += cost
}

// RecordAdmitted counts a request that was dispatched.
func (l *Ledger) RecordAdmitted(now time.Time, ws state.Workspace, cost float64) {
	l.meter(ws).bucketAt(now).usage.Admitted += cost
	if l.totalUsage != nil {
		u := l.totalUsage[ws]
		u.Admitted += bucketWeight(0) * cost
		l.totalUsage[ws] = u
	}
}

// RevertAdmitted takes back a request that was dispatched at a time and did not begin.
func (l *Ledger) RevertAdmitted(at time.Time, ws state.Workspace, cost float64) {
	m := l.ownMeters[ws]
	if m == nil {
		return
	}
	slot := at.UnixNano() / int64(bucketWidth)
	if b := &m[slot%bucketCount]; b.slot == slot {
		b.usage.Admitted = max(b.usage.Admitted-cost, 0)
	}
}

// ReportedUsage returns the counts of this router that peers have to know.
func (l *Ledger) ReportedUsage(now time.Time) map[state.Workspace]Usage {
	return largestWorkspaces(l.OwnUsage(now))
}

// ReportedUsageExcluding returns the counts of all routers but those on a peer's side of a
// link, as its peer has to know them.
func (l *Ledger) ReportedUsageExcluding(now time.Time, peer state.Router) map[state.Workspace]Usage {
	total := l.OwnUsage(now)
	for source, usage := range l.peers {
		if source != peer && now.Sub(usage.receivedAt) <= PeerExpiry {
			addUsage(total, usage.usage)
		}
	}
	return total
}

func addUsage(total, usage map[state.Workspace]Usage) {
	for ws, u := range usage {
		sum := total[ws]
		sum.Requested += u.Requested
		sum.Admitted += u.Admitted
		total[ws] = sum
	}
}

// largestWorkspaces keeps the workspaces that ask for most, up to nearly all of the
// cost. The others are too small to move the level, and there may be
// thousands.
func largestWorkspaces(usage map[state.Workspace]Usage) map[state.Workspace]Usage {
	names := slices.SortedFunc(maps.Keys(usage), func(a, b state.Workspace) int {
		return cmp.Or(cmp.Compare(usage[b].Requested, usage[a].Requested), cmp.Compare(a, b))
	})
	total := 0.0
	for _, u := range usage {
		total += u.Requested
	}
	reported := make(map[state.Workspace]Usage)
	covered := 0.0
	for _, ws := range names {
		if covered >= reportedFraction*total {
			break
		}
		reported[ws] = usage[ws]
		covered += usage[ws].Requested
	}
	return reported
}

// reportedFraction is the part of the asked cost that peers are told of.
const reportedFraction = 0.95

// OwnUsage returns this router's counts.
func (l *Ledger) OwnUsage(now time.Time) map[state.Workspace]Usage {
	usage := make(map[state.Workspace]Usage, len(l.ownMeters))
	for ws, m := range l.ownMeters {
		sum := m.sum(now)
		if sum == (Usage{}) {
			delete(l.ownMeters, ws)
			continue
		}
		usage[ws] = sum
	}
	return usage
}

// ReceiveUsage takes a peer's counts, or those of its side of a link, in place of what
// it told before.
func (l *Ledger) ReceiveUsage(now time.Time, from state.Router, usage map[state.Workspace]Usage) {
	l.peers[from] = peerUsage{receivedAt: now, usage: usage}
}

// OldestPeerAge returns the age of the oldest counts of a source that still count.
func (l *Ledger) OldestPeerAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, peer := range l.peers {
		if since := now.Sub(peer.receivedAt); since <= PeerExpiry {
			age = max(age, since)
		}
	}
	return age
}

// RemovePeer forgets a source.
func (l *Ledger) RemovePeer(from state.Router) { delete(l.peers, from) }

// refresh recomputes the level. It is done a few times a second: the level
// moves with the window, not with single requests.
func (l *Ledger) refresh(now time.Time, throughput float64) {
	if l.totalUsage != nil && now.Sub(l.computedAt) < refreshInterval && !now.Before(l.computedAt) {
		return
	}
	total := l.OwnUsage(now)
	for source, peer := range l.peers {
		if now.Sub(peer.receivedAt) > PeerExpiry {
			delete(l.peers, source)
			continue
		}
		addUsage(total, peer.usage)
	}
	requested := make([]float64, 0, len(total))
	admitted := 0.0
	for _, usage := range total {
		requested = append(requested, usage.Requested)
		admitted += usage.Admitted
	}
	statedCapacity := throughput * Window.Seconds()
	l.statedShare, l.oversubscribed = MaxMinShare(requested, statedCapacity)
	l.actualShare, _ = MaxMinShare(requested, max(statedCapacity, growthFactor*admitted))
	l.totalUsage = total
	l.computedAt = now
}

// growthFactor is how much more than lately the fleet may take on: enough that a
// level follows a fleet that has become faster within some windows, too little
// to let the workspaces that ask for most run ahead of the others.
const growthFactor = 1.05

// refreshInterval bounds the work of recomputing the level to ten times a second.
const refreshInterval = 100 * time.Millisecond

// Standing says how a workspace stands to its fair share.
type Standing struct {
	// ShareExhausted is set if all workspaces together ask for more than the fleet
	// produces and this one got its max-min share already.
	ShareExhausted bool
	// ShareUse is what the workspace got over its max-min share of what the fleet
	// takes on; 0 if the fleet is not short. That is more than the stated
	// throughput where engines do more than operators state.
	ShareUse float64
	// LocalShareUse is the same by this router's own requests: the part of them that was
	// admitted, over the part that the fleet may admit of all the workspace's.
	// It is current, while Use depends on what peers told some time ago.
	LocalShareUse float64
}

// Standing judges a workspace at a throughput in cost units a second; zero or
// less means unknown and limits nobody.
func (l *Ledger) Standing(now time.Time, ws state.Workspace, throughput float64) Standing {
	if throughput <= 0 {
		return Standing{}
	}
	l.refresh(now, throughput)
	if !l.oversubscribed || l.statedShare <= 0 {
		return Standing{}
	}
	admitted := l.totalUsage[ws].Admitted
	standing := Standing{ShareExhausted: admitted >= l.statedShare}
	if l.actualShare > 0 {
		standing.ShareUse = admitted / l.actualShare
		standing.LocalShareUse = l.localShareUse(now, ws)
	}
	return standing
}

// localShareUse returns Standing.Here; zero if the router was not asked lately.
func (l *Ledger) localShareUse(now time.Time, ws state.Workspace) float64 {
	m := l.ownMeters[ws]
	if m == nil {
		return 0
	}
	own := m.sum(now)
	if own.Requested <= 0 {
		return 0
	}
	return own.Admitted / own.Requested * max(l.totalUsage[ws].Requested, own.Requested) / l.actualShare
}

// MaxMinShare returns the max-min share: the greatest amount such that everybody
// gets what it asks for up to it and the sum stays within the capacity.
// Limited is false if the capacity serves all.
func MaxMinShare(requested []float64, capacity float64) (share float64, limited bool) {
	slices.Sort(requested)
	remaining := capacity
	for i, amount := range requested {
		equalPart := remaining / float64(len(requested)-i)
		if amount > equalPart {
			return equalPart, true
		}
		remaining -= amount
	}
	return 0, false
}
