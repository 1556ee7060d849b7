// Package shares determines which workspaces request more than their max-min
// fair share of the fleet's throughput. It counts the cost of requests at this
// router over a sliding window, adds the counts last received from peers, and
// takes the time as an argument.
package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// Window is the duration over which shares are computed. Operators judge
	// shares over a few seconds. A shorter window would refuse a burst that is
	// within its share, a longer one would let a flood continue for too long.
	Window = 4 * time.Second
	// bucketWidth is the width of a bucket: a sixteenth of the window, so that
	// counts decrease smoothly.
	bucketWidth = Window / bucketCount
	bucketCount = 16
	// PeerExpiry is the age at which a peer's counts are dropped. They then
	// describe a window that has passed.
	PeerExpiry = Window
)

// Usage is the cost of one workspace's requests at one router over the window,
// in cost units.
type Usage struct {
	// Requested is the cost of all requests, each counted once. Admitted is the
	// cost of the requests that were dispatched.
	Requested float64
	Admitted  float64
}

type bucket struct {
	interval int64
	usage    Usage
}

type meter [bucketCount]bucket

func (m *meter) bucketAt(now time.Time) *bucket {
	interval := now.UnixNano() / int64(bucketWidth)
	b := &m[interval%bucketCount]
	if b.interval != interval {
		*b = bucket{interval: interval}
	}
	return b
}

func (m *meter) sum(now time.Time) Usage {
	newest := now.UnixNano() / int64(bucketWidth)
	var total Usage
	for _, b := range m {
		if b.interval > newest-bucketCount && b.interval <= newest {
			weight := bucketWeight(newest - b.interval)
			total.Requested += weight * b.usage.Requested
			total.Admitted += weight * b.usage.Admitted
		}
	}
	return total
}

// bucketWeight returns the weight of a bucket, given its age in buckets. The
// weight decreases linearly from almost two to almost zero, and the weights of
// all buckets add up to their number. Usage therefore decreases steadily. With
// equal weights, a workspace that was served a lot at once would be refused
// until that usage left the window, and would then flood the fleet again.
func bucketWeight(age int64) float64 {
	return 2 * (bucketCount - float64(age) - 0.5) / bucketCount
}

type peerUsage struct {
	receivedAt time.Time
	usage      map[state.Workspace]Usage
}

// Ledger counts the cost that workspaces request and the cost that is admitted.
// It is not safe for concurrent use.
type Ledger struct {
	ownMeters map[state.Workspace]*meter
	peers     map[state.Router]peerUsage
	// statedShare is the max-min share of the stated throughput over the
	// window. It is recomputed at most every refreshInterval.
	statedShare    float64
	oversubscribed bool
	// actualShare is the max-min share of the load that the fleet actually
	// accepts, or of the stated throughput if that is more. It is 0 if the
	// fleet accepts all requests.
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

// RevertAdmitted removes the count of a request that was dispatched at the
// given time but did not start.
func (l *Ledger) RevertAdmitted(at time.Time, ws state.Workspace, cost float64) {
	m := l.ownMeters[ws]
	if m == nil {
		return
	}
	interval := at.UnixNano() / int64(bucketWidth)
	if b := &m[interval%bucketCount]; b.interval == interval {
		b.usage.Admitted = max(b.usage.Admitted-cost, 0)
	}
}

// ReportedUsage returns the part of this router's counts that is sent to peers.
func (l *Ledger) ReportedUsage(now time.Time) map[state.Workspace]Usage {
	return largestWorkspaces(l.OwnUsage(now))
}

// ReportedUsageExcluding returns the counts of all routers except those on a
// peer's side of a link, to be sent to that peer.
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

// largestWorkspaces returns the workspaces with the highest requested cost,
// which together make up at least reportedFraction of all cost. The others are
// too small to affect the share, and there may be thousands of them.
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

// reportedFraction is the fraction of the requested cost that is reported to
// peers.
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

// ReceiveUsage stores the counts of a peer, or those of its side of a link, in
// place of the counts that it sent before.
func (l *Ledger) ReceiveUsage(now time.Time, from state.Router, usage map[state.Workspace]Usage) {
	l.peers[from] = peerUsage{receivedAt: now, usage: usage}
}

// OldestPeerAge returns the age of the oldest peer counts that have not
// expired.
func (l *Ledger) OldestPeerAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, peer := range l.peers {
		if since := now.Sub(peer.receivedAt); since <= PeerExpiry {
			age = max(age, since)
		}
	}
	return age
}

// RemovePeer removes the counts of a peer.
func (l *Ledger) RemovePeer(from state.Router) { delete(l.peers, from) }

// refresh recomputes the shares. It does so only a few times a second, because
// the shares change with the window and not with single requests.
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

// growthFactor is the assumed growth of the load that the fleet can accept,
// relative to the load that it accepted in the last window. It is large enough
// that the share follows a fleet that has become faster within a few windows,
// and too small to let the workspaces with the highest load get ahead of the
// others.
const growthFactor = 1.05

// refreshInterval limits the recomputation of the shares to ten times a second.
const refreshInterval = 100 * time.Millisecond

// Standing compares the usage of a workspace with its fair share.
type Standing struct {
	// ShareExhausted is set if all workspaces together request more than the
	// stated throughput and this workspace has already had its max-min share of
	// it.
	ShareExhausted bool
	// ShareUse is the admitted cost of the workspace as a multiple of its
	// max-min share of the load that the fleet accepts, or 0 if the fleet is
	// not short of capacity. The accepted load exceeds the stated throughput if
	// engines are faster than operators have stated.
	ShareUse float64
	// LocalShareUse is the share use estimated from this router's own requests:
	// the fraction of the workspace's requests that this router admitted,
	// divided by the fraction that the fleet may admit. It includes the latest
	// requests, while ShareUse depends on counts that peers sent some time ago.
	LocalShareUse float64
}

// Standing returns the standing of a workspace at a stated throughput in cost
// units per second. A throughput of zero or less means unknown, and limits no
// workspace.
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

// localShareUse returns Standing.LocalShareUse, or zero if the workspace has no
// recent requests at this router.
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

// MaxMinShare returns the max-min share: the largest amount such that the sum
// stays within the capacity if every workspace gets its requested amount but
// no more than the share. The result limited is false if the capacity suffices
// for all. The slice is sorted in place.
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
