package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/coordination/coldstart"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

// A data centre is evacuated. No request, resumed stream or probe may reach its
// upstreams, even if those of the others are excluded.
func TestNothingGoesToAnEvacuatedDataCentre(t *testing.T) {
	v := testView()
	v.SetEvacuated(start, "here", true)
	for i := range 20 {
		w := promptRequest(uint64(i), 100)
		w.Resumed = i%2 == 0
		require.EqualValues(t, "e3", v.send(t, at(i), w).Upstream())
	}
	w := promptRequest(1, 100)
	w.Excluded = []state.Upstream{"e3"}
	_, ok := v.Choose(at(30), w)
	require.False(t, ok)
	unreachable := v.send(t, at(40), promptRequest(2, 100))
	v.SetEvacuated(at(50), "there", true)
	v.RecordEnd(at(60), unreachable, Unconnected)
	require.Empty(t, v.UnreachableUpstreams())
	_, ok = v.Choose(at(70), promptRequest(3, 100))
	require.False(t, ok)
	v.SetEvacuated(at(80), "here", false)
	_, ok = v.Choose(at(90), promptRequest(3, 100))
	require.True(t, ok)
}

// A stream falls silent while the only other upstreams are evacuated. It must
// not be given up, since nothing may take it over.
func TestStreamWithoutPermittedAlternativeIsNotGivenUp(t *testing.T) {
	v := testView()
	w := promptRequest(1, 100)
	w.Excluded = []state.Upstream{"e1", "e2"}
	stream := v.send(t, at(0), w)
	require.EqualValues(t, "e3", stream.Upstream())
	stream.excluded = nil
	v.RecordFirstOutput(at(100), stream)
	v.SetEvacuated(at(200), "here", true)
	grant := func(state.Service) bool { return true }
	require.Empty(t, v.TakeStalled(at(5000), grant))
	v.SetEvacuated(at(6000), "here", false)
	require.Len(t, v.TakeStalled(at(6000), grant), 1)
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	v := testView()
	v.SetRegions(map[state.DataCentre]state.Region{"here": "north", "there": "south"})
	choose := func(lists ...[]state.Region) state.Upstream {
		w := promptRequest(1, 100)
		w.Regions = lists
		e, _ := v.Choose(start, w)
		return e.Upstream
	}
	require.EqualValues(t, "e3", choose([]state.Region{"south"}))
	require.EqualValues(t, "e3", choose([]state.Region{"south", "north"}, []state.Region{"south"}))
	require.Empty(t, choose([]state.Region{"south"}, []state.Region{"north"}), "route and workspace have no region in common")
	require.Empty(t, choose([]state.Region{"west"}))
	require.Empty(t, v.homeOf([]state.Region{""}), "a data centre of unknown region is in no list")
}

// homeOf returns the upstream chosen after all regions were forgotten.
func (v *View) homeOf(list []state.Region) state.Upstream {
	v.SetRegions(nil)
	w := promptRequest(1, 100)
	w.Regions = [][]state.Region{list}
	e, _ := v.Choose(start, w)
	return e.Upstream
}

// coldLimit allows 19.7 requests in a second to an upstream that tolerates 9.8.
var coldLimit = coldstart.Limit{Factor: 1.5, Extra: 5}

func coldServices() []routing.Service {
	return []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 48, CacheTokens: 400000}, ColdStart: 3 * time.Second, ColdRate: 9.8}}
}

// A burst meets an engine that has just started among busy ones. All routers see
// it idle, and together they must not send more to it in any second than it
// bears, even if they are divided into two parts.
func TestColdEngineGetsNoRush(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 8).Draw(t, "routers")
		firstPart := rapid.IntRange(0, routers).Draw(t, "first part")
		begin := start.Add(time.Minute)
		var views []*View
		var peers []scheduler.Peer
		for i := range routers {
			peers = append(peers, scheduler.Peer{Router: state.Router(fmt.Sprintf("r%d", i)), DataCentre: "dc"})
		}
		for i, p := range peers {
			senders := coldstart.NewSenders(start, p.Router)
			senders.SetLive(start, peers)
			part := peers[:firstPart]
			if i >= firstPart {
				part = peers[firstPart:]
			}
			senders.SetLive(begin.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "part seen for ms"))*time.Millisecond), part)
			v := New("dc")
			v.LimitColdStarts(coldLimit, senders)
			v.SetServices(coldServices())
			v.SetUpstream(directory.Upstream{ID: "old", Service: "llm", DataCentre: "dc", Slots: 48})
			v.SetUpstream(directory.Upstream{ID: "new", Service: "llm", DataCentre: "dc", Slots: 48})
			v.SetColdTime(begin, "new", time.Duration(rapid.IntRange(2500, 3500).Draw(t, "cold ms"))*time.Millisecond)
			views = append(views, v)
		}
		var sent []time.Time
		for ms := range 2500 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			v := views[ms%routers]
			e, ok := v.Choose(now, promptRequest(uint64(ms), 200))
			if !ok {
				continue
			}
			v.Place(now, promptRequest(uint64(ms), 200), e)
			if e.Upstream == "new" {
				sent = append(sent, now)
			}
		}
		for i, first := range sent {
			inSecond := 0
			for _, at := range sent[i:] {
				if at.Sub(first) <= time.Second {
					inSecond++
				}
			}
			if inSecond > 19 {
				t.Fatalf("%d requests within a second", inSecond)
			}
		}
	})
}

// Once an evacuation ends, the upstreams of the data centre are cold, whatever
// their entries said before.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	v := New("dc")
	v.LimitColdStarts(coldLimit, coldstart.NewSenders(start, "r"))
	v.SetServices(coldServices())
	v.SetUpstream(directory.Upstream{ID: "u", Service: "llm", DataCentre: "dc", Slots: 48})
	_, ok := v.Choose(at(0), promptRequest(1, 100))
	require.True(t, ok)
	v.SetEvacuated(at(0), "dc", true)
	v.SetEvacuated(at(1000), "dc", false)
	_, ok = v.Choose(at(3999), promptRequest(1, 100))
	require.False(t, ok)
	v.SetUpstream(directory.Upstream{ID: "added", Service: "llm", DataCentre: "dc", Slots: 48})
	v.SetColdTime(at(3999), "added", 0)
	_, ok = v.Choose(at(3999), promptRequest(1, 100))
	require.False(t, ok, "also for one that is added after the end")
	_, ok = v.Choose(at(4000), promptRequest(1, 100))
	require.True(t, ok)
}

// A service whose configuration has no cold starts is not limited.
func TestServiceWithoutColdStartsIsNotLimited(t *testing.T) {
	v := New("here")
	v.LimitColdStarts(coldLimit, coldstart.NewSenders(start, "r"))
	v.SetServices([]routing.Service{{Name: "web"}})
	v.SetUpstream(directory.Upstream{ID: "p", Service: "web", DataCentre: "here"})
	v.SetColdTime(start, "p", 5*time.Second)
	_, ok := v.Choose(start, Work{Service: "web"})
	require.True(t, ok)
}
