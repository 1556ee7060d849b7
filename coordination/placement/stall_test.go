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

// placeOn sends a request to a given upstream.
func (v *View) placeOn(now time.Time, id state.Upstream, w Work) *Ticket {
	u := v.hosts[id]
	return v.Place(now, w, Estimate{Upstream: id, Born: u.Born})
}

// An engine runs a request and its answer is lost in transit, while the
// connection stays open. Engines start requests in order of arrival, so the
// output of a later request reveals the loss.
func TestOvertakenRequestIsGivenUp(t *testing.T) {
	v := testView()
	lost := v.placeOn(at(0), "e1", promptRequest(1, 10))
	later := v.placeOn(at(10), "e1", promptRequest(2, 10))
	require.Empty(t, v.TakeStalled(at(500), alwaysRetry), "no later request has output yet")
	v.RecordFirstOutput(at(510), later)
	v.RecordOutput(at(900), later)
	require.Empty(t, v.TakeStalled(at(800), alwaysRetry))
	v.RecordOutput(at(1000), later)
	require.Equal(t, []*Ticket{lost}, v.TakeStalled(at(1000), alwaysRetry))
	require.Empty(t, v.TakeStalled(at(1010), alwaysRetry), "each request is returned once")
}

// A request that must not run twice keeps waiting, because the silence of its
// upstream does not prove that it has not run.
func TestRequestThatMustNotRepeatIsNotGivenUp(t *testing.T) {
	v := testView()
	w := promptRequest(1, 10)
	w.Repeatable = false
	v.placeOn(at(0), "e1", w)
	later := v.placeOn(at(10), "e1", promptRequest(2, 10))
	v.RecordFirstOutput(at(510), later)
	v.RecordOutput(at(5000), later)
	require.Empty(t, v.TakeStalled(at(5000), alwaysRetry))
}

// One stream of an engine stops while others continue.
func TestSilentStreamIsGivenUp(t *testing.T) {
	v := testView()
	silent, sending := v.placeOn(at(0), "e1", promptRequest(1, 10)), v.placeOn(at(0), "e1", promptRequest(2, 10))
	v.RecordFirstOutput(at(100), silent)
	v.RecordFirstOutput(at(100), sending)
	for ms := 200; ms <= 1400; ms += 100 {
		v.RecordOutput(at(ms), sending)
	}
	require.Equal(t, []*Ticket{silent}, v.TakeStalled(at(1400), alwaysRetry))
	require.Empty(t, v.UnreachableUpstreams())
}

// A data centre becomes unreachable without a connection reset. Two of its
// engines fall silent at the same time. The third one, which runs no request of
// this router, must not be tried next. An engine in another data centre
// continues.
func TestSilentDataCentreIsAvoidedEntirely(t *testing.T) {
	v := testView()
	for _, id := range []state.Upstream{"far1", "far2", "far3"} {
		v.SetUpstream(directory.Upstream{ID: id, Service: "llm", DataCentre: "far", Slots: 8})
	}
	near := v.placeOn(at(0), "e1", promptRequest(3, 10))
	one, two := v.placeOn(at(0), "far1", promptRequest(1, 10)), v.placeOn(at(0), "far2", promptRequest(2, 10))
	for _, ticket := range []*Ticket{near, one, two} {
		v.RecordFirstOutput(at(100), ticket)
	}
	for ms := 200; ms <= 1000; ms += 100 {
		v.RecordOutput(at(ms), near)
	}
	require.ElementsMatch(t, []*Ticket{one, two}, v.TakeStalled(at(1000), alwaysRetry))
	var unreachable []state.Upstream
	for _, u := range v.UnreachableUpstreams() {
		unreachable = append(unreachable, u.ID)
	}
	require.ElementsMatch(t, []state.Upstream{"far1", "far2", "far3"}, unreachable)

	v.RecordOutput(at(1100), one)
	require.Len(t, v.UnreachableUpstreams(), 2, "an upstream that sends something is reachable again")
}

func TestSlowPlainRequestIsGivenUp(t *testing.T) {
	v := testView()
	w := Work{Service: "web", Repeatable: true}
	ticket := v.placeOn(at(0), "p1", w)
	require.Empty(t, v.TakeStalled(at(200), alwaysRetry))
	require.Equal(t, []*Ticket{ticket}, v.TakeStalled(at(300), alwaysRetry))
}
