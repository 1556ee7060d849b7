// Package quarantine recognises requests that crash upstreams. Occasionally a
// single request crashes each upstream that runs it, and its caller sends it
// again. Without a record of such requests, one caller can take down all
// upstreams of the fleet. A request is blocked once it has crashed runs of
// upstreams at two different moments and was not answered since. Upstreams that
// go down together do so for a cause of their own, and a request that an
// upstream answers does not crash each one that runs it. A blocked request is
// tried again after a while, by one router at a time and at one upstream.
package quarantine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/state"
)

const (
	// BlockThreshold is the number of moments at which a request must have
	// crashed upstreams before it is blocked. A threshold of one would also
	// block requests that merely ran on an engine that crashed for another
	// reason.
	BlockThreshold = 2
	// DefaultCapacity bounds the number of recorded fingerprints. The least
	// recently recorded ones are dropped first.
	DefaultCapacity = 4096
	// RecordExpiry is how long a fingerprint is recorded after its last crash.
	// It is longer than MaxTrialDelay, so that a request which crashes every
	// upstream crashes one at each trial, and not BlockThreshold.
	RecordExpiry = 2 * MaxTrialDelay
	// TrialDelay is how long a request stays blocked before it is tried again.
	// A crash in a trial is the proof that the request is the cause, and the
	// next trial follows after MaxTrialDelay. The delay of a request that was
	// answered and is blocked again grows by trialDelayFactor.
	TrialDelay       = 30 * time.Second
	MaxTrialDelay    = time.Hour
	trialDelayFactor = 4
	// trialStagger is the part of the delay over which the routers of a fleet
	// spread their trials. The first one tells the others.
	trialStagger = 0.5
	// trialTimeout is how long a trial excludes others. Its result is usually
	// known earlier.
	trialTimeout = 30 * time.Second
	// sameMoment is the longest time between the losses of upstreams that count
	// as one moment. Routers notice a loss within it.
	sameMoment = 2 * time.Second
	// ConfirmationWindow is how long after a lost connection a crash of the
	// upstream is attributed to the request. It covers a restart of the process
	// and several periods of load reports.
	ConfirmationWindow = 10 * time.Second
	// maxSuspicions bounds the number of suspicions awaiting confirmation.
	maxSuspicions = 1024
	// maxMoments bounds the number of moments in a record.
	maxMoments = 8
)

// Run identifies one run of an upstream's process.
type Run struct {
	Upstream state.Upstream
	Boot     string
}

// Loss is the loss of the connection to an upstream that ran a request.
type Loss struct {
	// StartedAt is when the request was sent to the upstream, and LostAt when
	// the connection was lost.
	StartedAt, LostAt time.Time
}

// moment is a time at which a request crashed one upstream, or several that ran
// it at the same time.
type moment struct {
	// lostAt is the first loss, and startedAt when the last run was sent.
	startedAt, lostAt time.Time
	runs              map[Run]struct{}
}

// includes reports whether a loss belongs to the moment: the runs overlapped,
// and were lost within sameMoment. A run that was sent after an earlier loss
// does not, however soon it was lost too: that is a caller who repeats the
// request. Losses are recorded in any order.
func (m *moment) includes(loss Loss) bool {
	return loss.StartedAt.Before(m.lostAt) && m.startedAt.Before(loss.LostAt) && loss.LostAt.Sub(m.lostAt).Abs() <= sameMoment
}

func (m *moment) add(run Run, loss Loss) {
	m.runs[run] = struct{}{}
	if loss.LostAt.Before(m.lostAt) {
		m.lostAt = loss.LostAt
	}
	if loss.StartedAt.After(m.startedAt) {
		m.startedAt = loss.StartedAt
	}
}

type record struct {
	fingerprint state.Fingerprint
	moments     []*moment
	lastCrash   time.Time
	// blockedAt is when the request was blocked, or last crashed an upstream
	// while it was; zero if it is not blocked. trialDelay is the time from then
	// to the next trial. It outlasts an answer that unblocks the request.
	blockedAt  time.Time
	trialDelay time.Duration
	// trialUntil is the time until which a running trial excludes others.
	trialUntil time.Time
}

// List records which fingerprints crashed which runs.
type List struct {
	capacity  int
	records   map[state.Fingerprint]*list.Element
	byRecency *list.List
}

// New returns an empty list of at most capacity fingerprints.
func New(capacity int) *List {
	return &List{capacity: capacity, records: make(map[state.Fingerprint]*list.Element), byRecency: list.New()}
}

// RecordCrash records that a request crashed a run of an upstream. It returns
// true if that crash was not recorded before.
func (l *List) RecordCrash(now time.Time, f state.Fingerprint, run Run, loss Loss) bool {
	if f == 0 || run.Boot == "" {
		return false
	}
	r := l.recordFor(f)
	r.lastCrash = now
	if r.hasRun(run) {
		return false
	}
	r.addRun(run, loss)
	switch {
	case len(r.moments) < BlockThreshold:
	case r.blockedAt.IsZero():
		r.blockedAt, r.trialDelay = now, min(max(r.trialDelay*trialDelayFactor, TrialDelay), MaxTrialDelay)
	case loss.StartedAt.After(r.blockedAt):
		// The request ran although it was blocked: the trial has failed.
		r.blockedAt, r.trialDelay, r.trialUntil = now, MaxTrialDelay, time.Time{}
	}
	return true
}

func (r *record) hasRun(run Run) bool {
	for _, m := range r.moments {
		if _, known := m.runs[run]; known {
			return true
		}
	}
	return false
}

// addRun adds a crashed run to the moment at which it was lost.
func (r *record) addRun(run Run, loss Loss) {
	for _, m := range r.moments {
		if m.includes(loss) {
			m.add(run, loss)
			return
		}
	}
	if len(r.moments) < maxMoments {
		r.moments = append(r.moments, &moment{startedAt: loss.StartedAt, lostAt: loss.LostAt, runs: map[Run]struct{}{run: {}}})
	}
}

func (l *List) recordFor(f state.Fingerprint) *record {
	if el, ok := l.records[f]; ok {
		l.byRecency.MoveToFront(el)
		return el.Value.(*record)
	}
	if l.byRecency.Len() >= l.capacity {
		l.remove(l.byRecency.Back())
	}
	r := &record{fingerprint: f}
	l.records[f] = l.byRecency.PushFront(r)
	return r
}

func (l *List) remove(el *list.Element) {
	delete(l.records, el.Value.(*record).fingerprint)
	l.byRecency.Remove(el)
}

// lookup returns the record of a fingerprint, or nil if there is none or it has
// expired.
func (l *List) lookup(now time.Time, f state.Fingerprint) *record {
	el, ok := l.records[f]
	if !ok {
		return nil
	}
	r := el.Value.(*record)
	if now.Sub(r.lastCrash) > RecordExpiry {
		l.remove(el)
		return nil
	}
	return r
}

// Blocked reports whether requests with this fingerprint must not run. It does
// not provide for trials: a block ends after MaxTrialDelay.
func (l *List) Blocked(now time.Time, f state.Fingerprint) bool {
	r := l.lookup(now, f)
	return r != nil && !r.blockedAt.IsZero() && now.Sub(r.blockedAt) <= MaxTrialDelay
}

// Verdict says whether a request may run.
type Verdict uint8

const (
	// Free means that nothing is known against the request.
	Free Verdict = iota
	// Trial means that the request is blocked, and that it may run once now, at
	// one upstream.
	Trial
	// Blocked means that the request must not run.
	Blocked
)

// Decide returns whether a request may run at a router, and for a blocked one
// the time until it may be tried again. A Trial is not begun until StartTrial.
func (l *List) Decide(now time.Time, f state.Fingerprint, router state.Router) (Verdict, time.Duration) {
	r := l.lookup(now, f)
	if r == nil || r.blockedAt.IsZero() {
		return Free, 0
	}
	trialAt := r.blockedAt.Add(r.trialDelay + stagger(r.trialDelay, f, router))
	if r.trialUntil.After(trialAt) {
		trialAt = r.trialUntil
	}
	if now.Before(trialAt) {
		return Blocked, trialAt.Sub(now)
	}
	return Trial, 0
}

// StartTrial begins the trial of a blocked request at a router, unless it must not
// run by now, and returns the verdict. The caller tells the other routers of a
// Trial, which call TrialStarted.
func (l *List) StartTrial(now time.Time, f state.Fingerprint, router state.Router) Verdict {
	verdict, _ := l.Decide(now, f, router)
	if verdict == Trial {
		l.lookup(now, f).trialUntil = now.Add(trialTimeout)
	}
	return verdict
}

// stagger returns by how much later than others a router may try a request.
func stagger(delay time.Duration, f state.Fingerprint, router state.Router) time.Duration {
	part := float64(xxhash.Sum64String(string(router))^uint64(f)) / float64(1<<63) / 2
	return time.Duration(trialStagger * part * float64(delay))
}

// TrialStarted records that another router tries a blocked request.
func (l *List) TrialStarted(now time.Time, f state.Fingerprint) {
	if r := l.lookup(now, f); r != nil && !r.blockedAt.IsZero() {
		r.trialUntil = now.Add(trialTimeout)
	}
}

// CrashCount returns the number of moments at which a fingerprint has crashed
// upstreams.
func (l *List) CrashCount(f state.Fingerprint) int {
	el, ok := l.records[f]
	if !ok {
		return 0
	}
	return len(el.Value.(*record).moments)
}

// Served records that a request was answered completely: it merely ran where
// upstreams crashed for another cause. It returns true if anything was recorded
// against the request.
func (l *List) Served(f state.Fingerprint) bool {
	el, ok := l.records[f]
	if !ok || len(el.Value.(*record).moments) == 0 {
		return false
	}
	r := el.Value.(*record)
	r.moments, r.blockedAt, r.trialUntil = nil, time.Time{}, time.Time{}
	if r.trialDelay == 0 {
		l.remove(el)
	}
	return true
}

type suspicion struct {
	Suspect
	upstream state.Upstream
}

// Suspect is a request that may have crashed an upstream.
type Suspect struct {
	Fingerprint state.Fingerprint
	Loss        Loss
}

// Suspicions holds, at an upstream's owner, the requests whose connections to
// that upstream were lost, until it is known whether the upstream crashed.
type Suspicions struct {
	pending []suspicion
}

// Add records a lost connection. If the record is full, the oldest suspicion is
// dropped.
func (s *Suspicions) Add(f state.Fingerprint, u state.Upstream, loss Loss) {
	if f == 0 {
		return
	}
	if len(s.pending) >= maxSuspicions {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, suspicion{Suspect: Suspect{Fingerprint: f, Loss: loss}, upstream: u})
}

// Confirm removes and returns the requests that were suspected at an upstream,
// which has now been found to have stopped or restarted. Suspicions
// older than ConfirmationWindow are dropped.
func (s *Suspicions) Confirm(now time.Time, u state.Upstream) []Suspect {
	var confirmed []Suspect
	kept := s.pending[:0]
	for _, p := range s.pending {
		switch {
		case now.Sub(p.Loss.LostAt) > ConfirmationWindow:
		case p.upstream == u:
			confirmed = append(confirmed, p.Suspect)
		default:
			kept = append(kept, p)
		}
	}
	s.pending = kept
	return confirmed
}
