// Package slots works out how many more requests an upstream may be sent. Its
// load report lags, so what the owner has granted since is counted as well.
//
//	free = slots + look-ahead - outstanding - foreign
//	foreign = max(0, reported load - most outstanding within ReportLag)
//
// Foreign load is what the report shows beyond the owner's own grants. Two
// routers that both believe they own an upstream see each other's work as
// foreign load, and both back off.
package slots

import (
	"math"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// Freshness is how old the last report may be. An upstream that left
	// without a word gets nothing new after this time; two lost reports at
	// the usual period of one second do not stop it.
	Freshness = 3 * time.Second
	// ReportLag is how far a report may lag behind. Work that ended within
	// this time may still be in the report and is not foreign; a greater
	// figure would hide the work of a second owner for longer.
	ReportLag = time.Second
	// DepartureMemory is how long an announced departure is believed without
	// a report: the time a planned restart takes.
	DepartureMemory = 30 * time.Second
	// handOver is the time from the end of a request until the next one
	// reaches the upstream, with messages to and from the owner; about twice
	// what it takes between data centres. As many requests as end within it
	// may wait inside the upstream, so that no slot idles; what waits inside
	// is lost to fairness, so there are no more.
	handOver = 10 * time.Millisecond
	// holdSmoothing averages how long requests hold a slot over some fifty.
	holdSmoothing = 0.02
)

// sample is an amount of outstanding grants and when it stopped to hold.
type sample struct {
	until       time.Time
	outstanding int
}

// departure is an announcement that an upstream leaves.
type departure struct {
	announced bool
	// boot is the run that leaves; empty until a report tells.
	boot string
	at   time.Time
}

// Tracker follows one upstream. The zero value has no report and no slots.
type Tracker struct {
	report      state.ReceivedReport
	known       bool
	departure   departure
	limit       int
	outstanding int
	foreign     int
	// hold is the mean time that a request holds a slot, in seconds.
	hold float64
	// recent holds falling amounts, the greatest of the window first, so it
	// never outgrows the upstream's slots.
	recent []sample
}

// SetLimit bounds the slots by configuration; zero takes the report's figure.
func (t *Tracker) SetLimit(limit int) {
	t.limit = limit
}

// Report takes in a fresh report and tells whether the upstream's process was
// replaced since the last one.
func (t *Tracker) Report(now time.Time, r state.LoadReport) bool {
	restarted := t.report.Boot != "" && t.report.Boot != r.Boot
	t.settleDeparture(now, r.Boot)
	t.report = state.ReceivedReport{LoadReport: r, At: now}
	t.known = true
	t.foreign = max(0, r.Running+r.Waiting-t.mostOutstanding(now))
	return restarted
}

// Last returns the last report; ok is false if it may not be relied on.
func (t *Tracker) Last(now time.Time) (r state.LoadReport, ok bool) {
	return t.report.LoadReport, t.known && now.Sub(t.report.At) <= Freshness
}

// Boot returns the last known run of the upstream.
func (t *Tracker) Boot() string {
	return t.report.Boot
}

// Distrust makes the upstream wait for the next report before it gets work.
func (t *Tracker) Distrust() {
	t.known = false
}

// Leave stops new work until another run of the upstream reports. An
// announcement of an earlier run comes too late and is ignored.
func (t *Tracker) Leave(now time.Time, boot string) {
	if boot != "" && t.report.Boot != "" && boot != t.report.Boot {
		return
	}
	if boot == "" {
		boot = t.report.Boot
	}
	t.departure = departure{announced: true, boot: boot, at: now}
}

// settleDeparture lets the announcement end with the run it was made for. If
// that run is not known, it is the one that reports next, unless so much time
// has passed that this is more likely to be its successor.
func (t *Tracker) settleDeparture(now time.Time, boot string) {
	d := &t.departure
	if d.boot == "" && now.Sub(d.at) <= DepartureMemory {
		d.boot = boot
	}
	if d.boot != boot {
		*d = departure{}
	}
}

// Leaving tells whether the upstream wants no new work.
func (t *Tracker) Leaving() bool {
	return t.departure.announced || t.report.Draining
}

// LeftLately tells whether a departure was announced within DepartureMemory.
// A router that gets no reports of the upstream does not hear of its return
// and must not go by an old announcement.
func (t *Tracker) LeftLately(now time.Time) bool {
	return t.departure.announced && now.Sub(t.departure.at) <= DepartureMemory
}

// Usable reports whether the upstream may get new work at all.
func (t *Tracker) Usable(now time.Time) bool {
	_, fresh := t.Last(now)
	return fresh && !t.Leaving() && t.Slots() > 0
}

// Slots returns how many requests the upstream runs at once.
func (t *Tracker) Slots() int {
	if t.limit > 0 {
		return t.limit
	}
	return t.report.Slots
}

// Granted counts one more outstanding grant.
func (t *Tracker) Granted() {
	t.outstanding++
}

// Finished counts one outstanding grant less, whose request held its slot for
// a while.
func (t *Tracker) Finished(now time.Time, held time.Duration) {
	if t.hold == 0 {
		t.hold = held.Seconds()
	}
	t.hold += holdSmoothing * (held.Seconds() - t.hold)
	t.Released(now)
}

// Released counts one outstanding grant less. The work may go on showing in
// reports for a while.
func (t *Tracker) Released(now time.Time) {
	t.remember(now)
	t.outstanding = max(0, t.outstanding-1)
}

// Disowned counts one grant less whose work may go on without anybody to
// report its end. It holds its slot until the next load report decides.
func (t *Tracker) Disowned() {
	t.outstanding = max(0, t.outstanding-1)
	t.foreign++
	t.recent = nil
}

// Outstanding returns the grants counted.
func (t *Tracker) Outstanding() int {
	return t.outstanding
}

// Free returns the slots that are free, without look-ahead.
func (t *Tracker) Free(now time.Time) int {
	if !t.Usable(now) {
		return 0
	}
	return max(0, t.Slots()-t.outstanding-t.foreign)
}

// FreeAhead returns the free slots with look-ahead. It is meant for work that
// no other owner has taken within a round trip; otherwise work would wait
// inside a full upstream while another one has a slot.
func (t *Tracker) FreeAhead(now time.Time) int {
	if !t.Usable(now) {
		return 0
	}
	return max(0, t.Slots()+t.lookAhead()-t.outstanding-t.foreign)
}

// lookAhead is how many requests end within handOver, at least one and at
// most half the slots.
func (t *Tracker) lookAhead() int {
	if t.hold <= 0 {
		return 1
	}
	ending := math.Ceil(float64(t.Slots()) * handOver.Seconds() / t.hold)
	return max(1, min(int(ending), t.Slots()/2))
}

func (t *Tracker) remember(now time.Time) {
	for len(t.recent) > 0 && t.recent[len(t.recent)-1].outstanding <= t.outstanding {
		t.recent = t.recent[:len(t.recent)-1]
	}
	t.recent = append(t.recent, sample{until: now, outstanding: t.outstanding})
}

func (t *Tracker) mostOutstanding(now time.Time) int {
	for len(t.recent) > 0 && now.Sub(t.recent[0].until) > ReportLag {
		t.recent = t.recent[1:]
	}
	if len(t.recent) == 0 {
		return t.outstanding
	}
	return max(t.outstanding, t.recent[0].outstanding)
}
