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
	// ReportExpiry is how old the last report may be. An upstream that left
	// without a word gets nothing new after this time; two lost reports at
	// the usual period of one second do not stop it.
	ReportExpiry = 3 * time.Second
	// MaxReportLag is how far a report may lag behind. Work that ended within
	// this time may still be in the report and is not foreign; a greater
	// figure would hide the work of a second owner for longer.
	MaxReportLag = time.Second
	// DepartureExpiry is how long an announced departure is believed without
	// a report: the time a planned restart takes.
	DepartureExpiry = 30 * time.Second
	// handOverTime is the time from the end of a request until the next one
	// reaches the upstream, with messages to and from the owner; about twice
	// what it takes between data centres. As many requests as end within it
	// may wait inside the upstream, so that no slot idles; what waits inside
	// is lost to fairness, so there are no more.
	handOverTime = 10 * time.Millisecond
	// slotTimeWeight averages how long requests hold a slot over some fifty.
	slotTimeWeight = 0.02
)

// outstandingSample is an amount of outstanding grants and when it stopped to hold.
type outstandingSample struct {
	validUntil  time.Time
	outstanding int
}

// departure is an announcement that an upstream leaves.
type departure struct {
	announced bool
	// boot is the run that leaves; empty until a report tells.
	boot        string
	announcedAt time.Time
}

// Tracker follows one upstream. The zero value has no report and no slots.
type Tracker struct {
	report        state.ReceivedReport
	reportTrusted bool
	departure     departure
	slotLimit     int
	outstanding   int
	foreignLoad   int
	// meanSlotSeconds is the mean time that a request holds a slot, in seconds.
	meanSlotSeconds float64
	// recentOutstanding holds falling amounts, the greatest of the window first, so it
	// never outgrows the upstream's slots.
	recentOutstanding []outstandingSample
}

// SetSlotLimit bounds the slots by configuration; zero takes the report's figure.
func (t *Tracker) SetSlotLimit(limit int) {
	t.slotLimit = limit
}

// RecordReport takes in a fresh report and tells whether the upstream's process was
// replaced since the last one.
func (t *Tracker) RecordReport(now time.Time, r state.LoadReport) bool {
	restarted := t.report.Boot != "" && t.report.Boot != r.Boot
	t.settleDeparture(now, r.Boot)
	t.report = state.ReceivedReport{LoadReport: r, At: now}
	t.reportTrusted = true
	t.foreignLoad = max(0, r.Running+r.Waiting-t.maxOutstanding(now))
	return restarted
}

// LastReport returns the last report; ok is false if it may not be relied on.
func (t *Tracker) LastReport(now time.Time) (r state.LoadReport, ok bool) {
	return t.report.LoadReport, t.reportTrusted && now.Sub(t.report.At) <= ReportExpiry
}

// Boot returns the last known run of the upstream.
func (t *Tracker) Boot() string {
	return t.report.Boot
}

// DistrustReport makes the upstream wait for the next report before it gets work.
func (t *Tracker) DistrustReport() {
	t.reportTrusted = false
}

// AnnounceDeparture stops new work until another run of the upstream reports. An
// announcement of an earlier run comes too late and is ignored.
func (t *Tracker) AnnounceDeparture(now time.Time, boot string) {
	if boot != "" && t.report.Boot != "" && boot != t.report.Boot {
		return
	}
	if boot == "" {
		boot = t.report.Boot
	}
	t.departure = departure{announced: true, boot: boot, announcedAt: now}
}

// settleDeparture lets the announcement end with the run it was made for. If
// that run is not known, it is the one that reports next, unless so much time
// has passed that this is more likely to be its successor.
func (t *Tracker) settleDeparture(now time.Time, boot string) {
	d := &t.departure
	if d.boot == "" && now.Sub(d.announcedAt) <= DepartureExpiry {
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

// DepartedRecently tells whether a departure was announced within DepartureMemory.
// A router that gets no reports of the upstream does not hear of its return
// and must not go by an old announcement.
func (t *Tracker) DepartedRecently(now time.Time) bool {
	return t.departure.announced && now.Sub(t.departure.announcedAt) <= DepartureExpiry
}

// Usable reports whether the upstream may get new work at all.
func (t *Tracker) Usable(now time.Time) bool {
	_, fresh := t.LastReport(now)
	return fresh && !t.Leaving() && t.Slots() > 0
}

// Slots returns how many requests the upstream runs at once.
func (t *Tracker) Slots() int {
	if t.slotLimit > 0 {
		return t.slotLimit
	}
	return t.report.Slots
}

// AddGrant counts one more outstanding grant.
func (t *Tracker) AddGrant() {
	t.outstanding++
}

// FinishGrant counts one outstanding grant less, whose request held its slot for
// a while.
func (t *Tracker) FinishGrant(now time.Time, slotTime time.Duration) {
	if t.meanSlotSeconds == 0 {
		t.meanSlotSeconds = slotTime.Seconds()
	}
	t.meanSlotSeconds += slotTimeWeight * (slotTime.Seconds() - t.meanSlotSeconds)
	t.ReleaseGrant(now)
}

// ReleaseGrant counts one outstanding grant less. The work may go on showing in
// reports for a while.
func (t *Tracker) ReleaseGrant(now time.Time) {
	t.rememberOutstanding(now)
	t.outstanding = max(0, t.outstanding-1)
}

// DisownGrant counts one grant less whose work may go on without anybody to
// report its end. It holds its slot until the next load report decides.
func (t *Tracker) DisownGrant() {
	t.outstanding = max(0, t.outstanding-1)
	t.foreignLoad++
	t.recentOutstanding = nil
}

// Outstanding returns the grants counted.
func (t *Tracker) Outstanding() int {
	return t.outstanding
}

// FreeSlots returns the slots that are free, without look-ahead.
func (t *Tracker) FreeSlots(now time.Time) int {
	if !t.Usable(now) {
		return 0
	}
	return max(0, t.Slots()-t.outstanding-t.foreignLoad)
}

// FreeSlotsWithLookAhead returns the free slots with look-ahead. It is meant for work that
// no other owner has taken within a round trip; otherwise work would wait
// inside a full upstream while another one has a slot.
func (t *Tracker) FreeSlotsWithLookAhead(now time.Time) int {
	if !t.Usable(now) {
		return 0
	}
	return max(0, t.Slots()+t.lookAhead()-t.outstanding-t.foreignLoad)
}

// lookAhead is how many requests end within handOver, at least one and at
// most half the slots.
func (t *Tracker) lookAhead() int {
	if t.meanSlotSeconds <= 0 {
		return 1
	}
	ending := math.Ceil(float64(t.Slots()) * handOverTime.Seconds() / t.meanSlotSeconds)
	return max(1, min(int(ending), t.Slots()/2))
}

func (t *Tracker) rememberOutstanding(now time.Time) {
	for len(t.recentOutstanding) > 0 && t.recentOutstanding[len(t.recentOutstanding)-1].outstanding <= t.outstanding {
		t.recentOutstanding = t.recentOutstanding[:len(t.recentOutstanding)-1]
	}
	t.recentOutstanding = append(t.recentOutstanding, outstandingSample{validUntil: now, outstanding: t.outstanding})
}

func (t *Tracker) maxOutstanding(now time.Time) int {
	for len(t.recentOutstanding) > 0 && now.Sub(t.recentOutstanding[0].validUntil) > MaxReportLag {
		t.recentOutstanding = t.recentOutstanding[1:]
	}
	if len(t.recentOutstanding) == 0 {
		return t.outstanding
	}
	return max(t.outstanding, t.recentOutstanding[0].outstanding)
}
