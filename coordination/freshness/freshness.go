package freshness

import (
	"slices"
	"time"
)

// Sighting is a revision of the configuration, with its source and a time.
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
	// confirmed is the latest confirmation of the held configuration or of an
	// older one, and unheld are those of newer ones, in the order received.
	confirmed Sighting
	unheld    []Sighting
	// refused is the greatest revision that this router received and did not
	// take.
	refused uint64
	// lagReported is the revision that Lagging reported last.
	lagReported uint64
}

// maxUnheld limits the confirmations that wait for their revision to arrive.
// Confirmations arrive a few times a second, and a revision within a second.
const maxUnheld = 16

// Held records that this router now holds a revision. It returns for how long
// the router had known of it, or of a newer one.
func (t *Tracker) Held(s Sighting) time.Duration {
	var lag time.Duration
	if t.newest.Revision >= s.Revision {
		lag = s.At.Sub(t.newest.At)
	}
	t.held = s
	t.Seen(s)
	waiting := t.unheld
	t.unheld = nil
	for _, c := range waiting {
		t.Confirm(c)
	}
	return lag
}

// Refused records that this router received a revision and did not take it, for
// example because it is invalid. The held configuration stays in force.
func (t *Tracker) Refused(revision uint64) { t.refused = max(t.refused, revision) }

// lacksNewer reports whether a newer configuration is known that this router has
// not received.
func (t *Tracker) lacksNewer() bool { return t.newest.Revision > max(t.held.Revision, t.refused) }

// Seen records that a source holds a revision.
func (t *Tracker) Seen(s Sighting) {
	if s.Revision > t.newest.Revision {
		t.newest = s
	}
}

// Confirm records that the store held no newer configuration than s.Revision at
// the time s.At. That says nothing about the configuration held here until it
// is at least as new.
func (t *Tracker) Confirm(s Sighting) {
	if s.Revision > t.held.Revision {
		if len(t.unheld) == maxUnheld {
			t.unheld = slices.Delete(t.unheld, 0, 1)
		}
		t.unheld = append(t.unheld, s)
		return
	}
	if s.At.After(t.confirmed.At) {
		t.confirmed = s
	}
}

// Confirmation returns the held revision and the latest time at which the store
// is known to have held no newer one. ok is false if there is no such time.
func (t *Tracker) Confirmation() (revision uint64, at time.Time, ok bool) {
	return t.held.Revision, t.confirmed.At, !t.confirmed.At.IsZero()
}

// lagReportDelay is how long a newer configuration must be known before
// Lagging reports it. A change usually arrives within some tens of
// milliseconds.
const lagReportDelay = 500 * time.Millisecond

// Lagging reports, once for each revision, that a newer configuration than the
// held one has been known for lagReportDelay.
func (t *Tracker) Lagging(now time.Time) bool {
	if !t.lacksNewer() || t.newest.Revision == t.lagReported || now.Sub(t.newest.At) < lagReportDelay {
		return false
	}
	t.lagReported = t.newest.Revision
	return true
}

// Status describes the configuration that decided on a request.
type Status struct {
	// Current is set if the configuration is regarded as the newest.
	Current bool
	// Behind is set if a newer configuration is known, which other routers hold.
	Behind bool
	// Held is the configuration in use, and Newest the newest one known, each
	// with the time at which this router received it or first heard of it.
	Held, Newest Sighting
	// Confirmation is the latest confirmation of Held: at its time the store
	// held nothing newer.
	Confirmation Sighting
	// Now is the time of the decision.
	Now time.Time
}

// Status returns the current state. The configuration counts as the newest if
// the store confirmed it within the limit and no newer one is known.
func (t *Tracker) Status(now time.Time, limit time.Duration) Status {
	confirmed := !t.confirmed.At.IsZero() && now.Sub(t.confirmed.At) <= limit
	behind := t.lacksNewer()
	return Status{Current: confirmed && !behind, Behind: behind, Held: t.held, Newest: t.newest, Confirmation: t.confirmed, Now: now}
}
