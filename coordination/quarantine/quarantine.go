// Package quarantine recognises requests that crash upstreams. Occasionally a
// single request crashes each upstream that runs it, and its caller sends it
// again. Without a record of such requests, one caller can take down all
// upstreams of the fleet. A request is blocked once it has crashed two
// different runs of upstreams, each crash confirmed by the router that owns the
// upstream.
package quarantine

import (
	"container/list"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// BlockThreshold is the number of upstream runs that a request must have
	// crashed before it is blocked. A threshold of one would also block
	// requests that merely ran on an engine that crashed for another reason.
	BlockThreshold = 2
	// DefaultCapacity bounds the number of recorded fingerprints. The least
	// recently recorded ones are dropped first.
	DefaultCapacity = 4096
	// RecordExpiry is how long a fingerprint is recorded after its last crash.
	// It is long enough to outlast a caller that retries by hand, and short
	// enough that a fixed engine version soon serves the request again.
	RecordExpiry = time.Hour
	// ConfirmationWindow is how long after a lost connection a crash of the
	// upstream is attributed to the request. It covers a restart of the process
	// and several periods of load reports.
	ConfirmationWindow = 10 * time.Second
	// maxSuspicions bounds the number of suspicions awaiting confirmation.
	maxSuspicions = 1024
)

// Run identifies one run of an upstream's process.
type Run struct {
	Upstream state.Upstream
	Boot     string
}

type record struct {
	fingerprint state.Fingerprint
	runs        map[Run]struct{}
	lastCrash   time.Time
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
// true if that crash was not recorded before and counts towards BlockThreshold.
func (l *List) RecordCrash(now time.Time, f state.Fingerprint, run Run) bool {
	if f == 0 || run.Boot == "" {
		return false
	}
	r := l.recordFor(f)
	r.lastCrash = now
	if _, known := r.runs[run]; known || len(r.runs) >= BlockThreshold {
		return false
	}
	r.runs[run] = struct{}{}
	return true
}

func (l *List) recordFor(f state.Fingerprint) *record {
	if el, ok := l.records[f]; ok {
		l.byRecency.MoveToFront(el)
		return el.Value.(*record)
	}
	if l.byRecency.Len() >= l.capacity {
		l.remove(l.byRecency.Back())
	}
	r := &record{fingerprint: f, runs: make(map[Run]struct{}, BlockThreshold)}
	l.records[f] = l.byRecency.PushFront(r)
	return r
}

func (l *List) remove(el *list.Element) {
	delete(l.records, el.Value.(*record).fingerprint)
	l.byRecency.Remove(el)
}

// Blocked reports whether requests with this fingerprint must not run again.
func (l *List) Blocked(now time.Time, f state.Fingerprint) bool {
	el, ok := l.records[f]
	if !ok {
		return false
	}
	r := el.Value.(*record)
	if now.Sub(r.lastCrash) > RecordExpiry {
		l.remove(el)
		return false
	}
	return len(r.runs) >= BlockThreshold
}

// CrashCount returns the number of recorded runs that a fingerprint has
// crashed.
func (l *List) CrashCount(f state.Fingerprint) int {
	el, ok := l.records[f]
	if !ok {
		return 0
	}
	return len(el.Value.(*record).runs)
}

// ForgetUnblocked removes a fingerprint whose request was answered completely
// before it reached the threshold. Such a request merely ran beside the request
// that crashed the upstream.
func (l *List) ForgetUnblocked(f state.Fingerprint) {
	el, ok := l.records[f]
	if ok && len(el.Value.(*record).runs) < BlockThreshold {
		l.remove(el)
	}
}

type suspicion struct {
	fingerprint state.Fingerprint
	upstream    state.Upstream
	lostAt      time.Time
}

// Suspicions holds, at an upstream's owner, the requests whose connections to
// that upstream were lost, until it is known whether the upstream crashed.
type Suspicions struct {
	pending []suspicion
}

// Add records a lost connection. If the record is full, the oldest suspicion is
// dropped.
func (s *Suspicions) Add(now time.Time, f state.Fingerprint, u state.Upstream) {
	if f == 0 {
		return
	}
	if len(s.pending) >= maxSuspicions {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, suspicion{fingerprint: f, upstream: u, lostAt: now})
}

// Confirm removes and returns the fingerprints that were suspected at an
// upstream, which has now been found to have stopped or restarted. Suspicions
// older than ConfirmationWindow are dropped.
func (s *Suspicions) Confirm(now time.Time, u state.Upstream) []state.Fingerprint {
	var confirmed []state.Fingerprint
	kept := s.pending[:0]
	for _, p := range s.pending {
		switch {
		case now.Sub(p.lostAt) > ConfirmationWindow:
		case p.upstream == u:
			confirmed = append(confirmed, p.fingerprint)
		default:
			kept = append(kept, p)
		}
	}
	s.pending = kept
	return confirmed
}
