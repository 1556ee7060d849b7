package freshness

import "time"

// Sighting is a revision of the configuration, with its source and the time at
// which this router received it or heard of it.
type Sighting struct {
	Revision uint64
	// Source is a router, or the store.
	Source string
	At     time.Time
}

// Tracker is the state of one router. The zero value represents a router
// without a configuration. A Tracker is not safe for concurrent use.
type Tracker struct {
	held, newest Sighting
	// confirmation is the latest message that made this router regard its
	// configuration as the newest, with the revision that the message names.
	confirmation Sighting
	// lagReported is the revision that Lagging reported last.
	lagReported uint64
}

// Held records that this router now holds a revision. It returns for how long
// the router had known of it, or of a newer one.
func (t *Tracker) Held(s Sighting) time.Duration {
	var lag time.Duration
	if t.newest.Revision >= s.Revision {
		lag = s.At.Sub(t.newest.At)
	}
	t.held = s
	t.Seen(s)
	return lag
}

// Seen records that a source holds a revision.
func (t *Tracker) Seen(s Sighting) {
	if s.Revision > t.newest.Revision {
		t.newest = s
	}
}

// Confirm records a message that confirms the configuration as the newest.
func (t *Tracker) Confirm(s Sighting) { t.confirmation = s }

// lagReportDelay is how long a newer configuration must be known before
// Lagging reports it. A change usually arrives within some tens of
// milliseconds.
const lagReportDelay = 500 * time.Millisecond

// Lagging reports, once for each revision, that a newer configuration than the
// held one has been known for lagReportDelay.
func (t *Tracker) Lagging(now time.Time) bool {
	if t.newest.Revision <= max(t.held.Revision, t.lagReported) || now.Sub(t.newest.At) < lagReportDelay {
		return false
	}
	t.lagReported = t.newest.Revision
	return true
}

// Status describes the configuration that decided on a request.
type Status struct {
	// Current is set if the configuration is regarded as the newest.
	Current bool
	// Held is the configuration in use, Newest the newest one known, and
	// Confirmation the latest message that made Held count as the newest.
	Held, Newest, Confirmation Sighting
	// Now is the time of the decision.
	Now time.Time
}

// Status returns the current state. The configuration counts as the newest for
// a limited time after a confirmation.
func (t *Tracker) Status(now time.Time, limit time.Duration) Status {
	current := !t.confirmation.At.IsZero() && now.Sub(t.confirmation.At) <= limit
	return Status{Current: current, Held: t.held, Newest: t.newest, Confirmation: t.confirmation, Now: now}
}
