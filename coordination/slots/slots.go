// Package slots computes how many more requests an upstream may be sent. The
// upstream's load report lags behind, so the grants that the owner has made
// since are counted as well.
//
//	free = slots + look-ahead - outstanding - foreign
//	foreign = max(0, reported load - max outstanding within MaxReportLag)
//
// Look-ahead is the number of requests that may wait inside the upstream, so
// that no slot idles until the next request arrives. Foreign load is the
// reported load that exceeds the owner's own grants. If two routers both act as
// the owner of an upstream, each sees the other's work as foreign load, and
// both back off.
package slots

import (
	"math"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// ReportExpiry is the maximum age of a usable report. An upstream that
	// disappeared without an announcement gets no new requests after this time.
	// Two lost reports, at the usual period of one second, do not make an
	// upstream unusable.
	ReportExpiry = 3 * time.Second
	// MaxReportLag is the maximum lag of a report. Work that ended within this
	// time may still be in the report and is not foreign load. A greater value
	// would hide the work of a second owner for longer.
	MaxReportLag = time.Second
	// DepartureExpiry is how long an announced departure is assumed to hold
	// without a report. It is the time that a planned restart takes.
	DepartureExpiry = 30 * time.Second
	// handOverTime is the time from the end of a request until the next one
	// reaches the upstream, including the messages to and from the owner. It is
	// about twice the time needed between data centres. As many requests as end
	// within this time may wait inside the upstream, so that no slot idles.
	// More would be harmful, because requests that wait inside an upstream can
	// no longer be scheduled fairly.
	handOverTime = 10 * time.Millisecond
	// slotTimeWeight is the weight of the newest slot time in the mean, which
	// spans about fifty requests.
	slotTimeWeight = 0.02
)

// outstandingSample is a past number of outstanding grants and the time until
// which it was valid.
type outstandingSample struct {
	validUntil  time.Time
	outstanding int
}

// departure is the announcement that an upstream is leaving.
type departure struct {
	announced bool
	// boot identifies the run that is leaving. It is empty until a report
	// identifies the run.
	boot        string
	announcedAt time.Time
}

// Tracker tracks the slots of one upstream. The zero value has no report and no
// slots.
type Tracker struct {
	report        state.ReceivedReport
	reportTrusted bool
	departure     departure
	slotLimit     int
	outstanding   int
	foreignLoad   int
	// meanSlotSeconds is the mean time that a request holds a slot, in seconds.
	meanSlotSeconds float64
	// recentOutstanding holds decreasing numbers of outstanding grants,
	// starting with the maximum within MaxReportLag. It is never longer than
	// the number of slots.
	recentOutstanding []outstandingSample
}

// SetSlotLimit sets the configured number of slots; zero means that the
// reported number is used.
func (t *Tracker) SetSlotLimit(limit int) {
	t.slotLimit = limit
}

// RecordReport stores a new report and returns true if the upstream's process
// was replaced since the last one.
func (t *Tracker) RecordReport(now time.Time, r state.LoadReport) bool {
	restarted := t.report.Boot != "" && t.report.Boot != r.Boot
	t.settleDeparture(now, r.Boot)
	t.report = state.ReceivedReport{LoadReport: r, At: now}
	t.reportTrusted = true
	t.foreignLoad = max(0, r.Running+r.Waiting-t.maxOutstanding(now))
	return restarted
}

// LastReport returns the last report. The result ok is false if the report is
// missing, distrusted or too old.
func (t *Tracker) LastReport(now time.Time) (r state.LoadReport, ok bool) {
	return t.report.LoadReport, t.reportTrusted && now.Sub(t.report.At) <= ReportExpiry
}

// Boot returns the last known run of the upstream.
func (t *Tracker) Boot() string {
	return t.report.Boot
}

// DistrustReport withholds new work from the upstream until the next report
// arrives.
func (t *Tracker) DistrustReport() {
	t.reportTrusted = false
}

// AnnounceDeparture stops new work until another run of the upstream reports. A
// late announcement of an earlier run is ignored.
func (t *Tracker) AnnounceDeparture(now time.Time, boot string) {
	if boot != "" && t.report.Boot != "" && boot != t.report.Boot {
		return
	}
	if boot == "" {
		boot = t.report.Boot
	}
	t.departure = departure{announced: true, boot: boot, announcedAt: now}
}

// settleDeparture drops the announcement when a run other than the announced
// one reports. If the announced run is not known, it is taken to be the run
// that reports next, unless DepartureExpiry has passed, after which the
// reporting run is more likely its successor.
func (t *Tracker) settleDeparture(now time.Time, boot string) {
	d := &t.departure
	if d.boot == "" && now.Sub(d.announcedAt) <= DepartureExpiry {
		d.boot = boot
	}
	if d.boot != boot {
		*d = departure{}
	}
}

// Leaving reports whether the upstream accepts no new work.
func (t *Tracker) Leaving() bool {
	return t.departure.announced || t.report.Draining
}

// DepartedRecently reports whether a departure was announced within
// DepartureExpiry. A router that receives no reports from the upstream does not
// learn of its return, so it must not rely on an older announcement.
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

// FinishGrant removes an outstanding grant whose request held its slot for
// slotTime.
func (t *Tracker) FinishGrant(now time.Time, slotTime time.Duration) {
	if t.meanSlotSeconds == 0 {
		t.meanSlotSeconds = slotTime.Seconds()
	}
	t.meanSlotSeconds += slotTimeWeight * (slotTime.Seconds() - t.meanSlotSeconds)
	t.ReleaseGrant(now)
}

// ReleaseGrant removes an outstanding grant. Its work may still appear in
// reports for a while.
func (t *Tracker) ReleaseGrant(now time.Time) {
	t.rememberOutstanding(now)
	t.outstanding = max(0, t.outstanding-1)
}

// DisownGrant removes a grant whose work may continue although no router will
// report its end. Its slot counts as in use until the next load report.
func (t *Tracker) DisownGrant() {
	t.outstanding = max(0, t.outstanding-1)
	t.foreignLoad++
	t.recentOutstanding = nil
}

// Outstanding returns the number of outstanding grants.
func (t *Tracker) Outstanding() int {
	return t.outstanding
}

// FreeSlots returns the number of free slots without look-ahead.
func (t *Tracker) FreeSlots(now time.Time) int {
	if !t.Usable(now) {
		return 0
	}
	return max(0, t.Slots()-t.outstanding-t.foreignLoad)
}

// FreeSlotsWithLookAhead returns the number of free slots with look-ahead. It
// is meant for requests that no other owner has granted a slot within a round
// trip. Otherwise requests would wait inside a full upstream while another
// upstream has a free slot.
func (t *Tracker) FreeSlotsWithLookAhead(now time.Time) int {
	if !t.Usable(now) {
		return 0
	}
	return max(0, t.Slots()+t.lookAhead()-t.outstanding-t.foreignLoad)
}

// lookAhead returns how many requests end within handOverTime, at least one and
// at most half the slots.
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
