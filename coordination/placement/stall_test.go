package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

// alwaysRetry grants every retry.
func alwaysRetry(state.Service) bool { return true }

// placeOn sends a request to one upstream.
func (v *View) placeOn(now time.Time, id state.Upstream, w Work) *Ticket {
	u := v.hosts[id]
	return v.Place(now, w, Estimate{Upstream: id, Born: u.Born})
}

// An engine runs a request and its answer is lost on the way; the connection
// stays open. Engines begin requests in order of arrival, so the output of a
// later one shows it.
func TestOvertakenRequestIsGivenUp(t *testing.T) {
	p := testView()
	lost := p.placeOn(at(0), "e1", promptRequest(1, 10))
	later := p.placeOn(at(10), "e1", promptRequest(2, 10))
	require.Empty(t, p.TakeStalled(at(500), alwaysRetry), "nothing shows yet")
	p.RecordFirstOutput(at(510), later)
	p.RecordOutput(at(900), later)
	require.Empty(t, p.TakeStalled(at(800), alwaysRetry))
	p.RecordOutput(at(1000), later)
	require.Equal(t, []*Ticket{lost}, p.TakeStalled(at(1000), alwaysRetry))
	require.Empty(t, p.TakeStalled(at(1010), alwaysRetry), "told once")
}

// What must not run twice waits on: its silence proves nothing.
func TestRequestThatMustNotRepeatIsNotGivenUp(t *testing.T) {
	p := testView()
	w := promptRequest(1, 10)
	w.Repeatable = false
	p.placeOn(at(0), "e1", w)
	later := p.placeOn(at(10), "e1", promptRequest(2, 10))
	p.RecordFirstOutput(at(510), later)
	p.RecordOutput(at(5000), later)
	require.Empty(t, p.TakeStalled(at(5000), alwaysRetry))
}

// One stream of an engine stops, others go on.
func TestSilentStreamIsGivenUp(t *testing.T) {
	p := testView()
	silent, talking := p.placeOn(at(0), "e1", promptRequest(1, 10)), p.placeOn(at(0), "e1", promptRequest(2, 10))
	p.RecordFirstOutput(at(100), silent)
	p.RecordFirstOutput(at(100), talking)
	for ms := 200; ms <= 1400; ms += 100 {
		p.RecordOutput(at(ms), talking)
	}
	require.Equal(t, []*Ticket{silent}, p.TakeStalled(at(1400), alwaysRetry))
	require.Empty(t, p.UnreachableUpstreams())
}

// A data centre is cut off without a reset. Two of its engines fall silent at
// once; the third, on which nothing runs here, must not be the next to be
// tried. An engine elsewhere goes on.
func TestSilentDataCentreIsAvoidedEntirely(t *testing.T) {
	p := testView()
	for _, id := range []state.Upstream{"far1", "far2", "far3"} {
		p.SetUpstream(directory.Upstream{ID: id, Service: "llm", DataCentre: "far", Slots: 8})
	}
	near := p.placeOn(at(0), "e1", promptRequest(3, 10))
	one, two := p.placeOn(at(0), "far1", promptRequest(1, 10)), p.placeOn(at(0), "far2", promptRequest(2, 10))
	for _, ticket := range []*Ticket{near, one, two} {
		p.RecordFirstOutput(at(100), ticket)
	}
	for ms := 200; ms <= 1000; ms += 100 {
		p.RecordOutput(at(ms), near)
	}
	require.ElementsMatch(t, []*Ticket{one, two}, p.TakeStalled(at(1000), alwaysRetry))
	var unreachable []state.Upstream
	for _, u := range p.UnreachableUpstreams() {
		unreachable = append(unreachable, u.ID)
	}
	require.ElementsMatch(t, []state.Upstream{"far1", "far2", "far3"}, unreachable)

	p.RecordOutput(at(1100), one)
	require.Len(t, p.UnreachableUpstreams(), 2, "who is heard counts again")
}

func TestSlowPlainRequestIsGivenUp(t *testing.T) {
	p := testView()
	w := Work{Service: "web", Repeatable: true}
	ticket := p.placeOn(at(0), "p1", w)
	require.Empty(t, p.TakeStalled(at(200), alwaysRetry))
	require.Equal(t, []*Ticket{ticket}, p.TakeStalled(at(300), alwaysRetry))
}
