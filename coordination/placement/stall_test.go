package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

// anyRepeat grants every retry.
func anyRepeat(state.Service) bool { return true }

// placeAt sends a request to one upstream.
func (p *Picture) placeAt(now time.Time, id state.Upstream, w Work) *Ticket {
	u := p.hosts[id]
	return p.Place(now, w, Estimate{Upstream: id, Born: u.Born})
}

// An engine runs a request and its answer is lost on the way; the connection
// stays open. Engines begin requests in order of arrival, so the output of a
// later one shows it.
func TestOvertakenRequestIsGivenUp(t *testing.T) {
	p := picture()
	lost := p.placeAt(at(0), "e1", prompt(1, 10))
	later := p.placeAt(at(10), "e1", prompt(2, 10))
	require.Empty(t, p.Stalled(at(500), anyRepeat), "nothing shows yet")
	p.FirstOutput(at(510), later)
	p.Output(at(900), later)
	require.Empty(t, p.Stalled(at(800), anyRepeat))
	p.Output(at(1000), later)
	require.Equal(t, []*Ticket{lost}, p.Stalled(at(1000), anyRepeat))
	require.Empty(t, p.Stalled(at(1010), anyRepeat), "told once")
}

// What must not run twice waits on: its silence proves nothing.
func TestRequestThatMustNotRepeatIsNotGivenUp(t *testing.T) {
	p := picture()
	w := prompt(1, 10)
	w.Repeatable = false
	p.placeAt(at(0), "e1", w)
	later := p.placeAt(at(10), "e1", prompt(2, 10))
	p.FirstOutput(at(510), later)
	p.Output(at(5000), later)
	require.Empty(t, p.Stalled(at(5000), anyRepeat))
}

// One stream of an engine stops, others go on.
func TestSilentStreamIsGivenUp(t *testing.T) {
	p := picture()
	silent, talking := p.placeAt(at(0), "e1", prompt(1, 10)), p.placeAt(at(0), "e1", prompt(2, 10))
	p.FirstOutput(at(100), silent)
	p.FirstOutput(at(100), talking)
	for ms := 200; ms <= 1400; ms += 100 {
		p.Output(at(ms), talking)
	}
	require.Equal(t, []*Ticket{silent}, p.Stalled(at(1400), anyRepeat))
	require.Empty(t, p.Unreachable())
}

// A data centre is cut off without a reset. Two of its engines fall silent at
// once; the third, on which nothing runs here, must not be the next to be
// tried. An engine elsewhere goes on.
func TestSilentDataCentreIsPassedOverWhole(t *testing.T) {
	p := picture()
	for _, id := range []state.Upstream{"far1", "far2", "far3"} {
		p.SetUpstream(directory.Upstream{ID: id, Service: "llm", DataCentre: "far", Slots: 8})
	}
	near := p.placeAt(at(0), "e1", prompt(3, 10))
	one, two := p.placeAt(at(0), "far1", prompt(1, 10)), p.placeAt(at(0), "far2", prompt(2, 10))
	for _, ticket := range []*Ticket{near, one, two} {
		p.FirstOutput(at(100), ticket)
	}
	for ms := 200; ms <= 1000; ms += 100 {
		p.Output(at(ms), near)
	}
	require.ElementsMatch(t, []*Ticket{one, two}, p.Stalled(at(1000), anyRepeat))
	var unreachable []state.Upstream
	for _, u := range p.Unreachable() {
		unreachable = append(unreachable, u.ID)
	}
	require.ElementsMatch(t, []state.Upstream{"far1", "far2", "far3"}, unreachable)

	p.Output(at(1100), one)
	require.Len(t, p.Unreachable(), 2, "who is heard counts again")
}

func TestSlowPlainRequestIsGivenUp(t *testing.T) {
	p := picture()
	w := Work{Service: "web", Repeatable: true}
	ticket := p.placeAt(at(0), "p1", w)
	require.Empty(t, p.Stalled(at(200), anyRepeat))
	require.Equal(t, []*Ticket{ticket}, p.Stalled(at(300), anyRepeat))
}
