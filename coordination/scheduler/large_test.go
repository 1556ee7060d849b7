package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// largeRouters and largeUpstreams are the planned size of the fleet. With its
// 25 data centres a router owns about 14 upstreams.
const (
	largeRouters     = 730
	largeUpstreams   = 10_000
	largeDataCentres = 25
)

func largePeers(n int) []Peer {
	list := make([]Peer, 0, n)
	for i := range n {
		dc := state.DataCentre(fmt.Sprintf("dc-%02d", i%largeDataCentres))
		list = append(list, Peer{Router: state.Router(fmt.Sprintf("router-%04d", i)), DataCentre: dc, Incarnation: 1})
	}
	return list
}

func largeSettings(upstreams int) Configured {
	svc := config.Service{Name: "draft"}
	for i := range upstreams {
		dc := state.DataCentre(fmt.Sprintf("dc-%02d", i%largeDataCentres))
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: state.Upstream(fmt.Sprintf("vm-%05d", i)), DataCentre: dc})
	}
	return Configured{Settings: config.Settings{Services: []config.Service{svc}}}
}

// newLargeFleetRouter returns a router of a large fleet and the upstreams that
// it owns.
func newLargeFleetRouter(now time.Time, upstreams int) (*Scheduler, []state.Upstream) {
	all := largePeers(largeRouters)
	s := New(Options{Self: all[0]})
	s.Step(now, PeersChanged{Peers: all})
	owned := actionsOf[Owned](s.Step(now, largeSettings(upstreams)))
	return s, owned[0].Upstreams
}

func runBySize(b *testing.B, run func(b *testing.B, upstreams int)) {
	for _, n := range []int{1000, largeUpstreams} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkLargeRequest measures a request that an own upstream serves at once.
func BenchmarkLargeRequest(b *testing.B) {
	runBySize(b, func(b *testing.B, upstreams int) {
		now := time.Unix(1000, 0)
		s, owned := newLargeFleetRouter(now, upstreams)
		for _, u := range owned {
			s.Step(now, Reported{Report: state.LoadReport{Upstream: u, Boot: "1", Slots: 8}})
		}
		id := state.RequestID(0)
		for b.Loop() {
			id++
			s.Step(now, Arrived{Request: Request{ID: id, Service: "draft", Workspace: "w"}})
			s.Step(now, Ended{ID: id, Cost: 1, Outcome: OutcomeServed})
		}
	})
}

// BenchmarkLargeTick measures the mean time of ticks, including those with
// exchanges and other periodic tasks.
func BenchmarkLargeTick(b *testing.B) {
	runBySize(b, func(b *testing.B, upstreams int) {
		now := time.Unix(1000, 0)
		s, _ := newLargeFleetRouter(now, upstreams)
		for b.Loop() {
			now = now.Add(TickInterval)
			s.Step(now, Tick{})
		}
	})
}

// BenchmarkLargePeers measures a change of peers: the restart of a router, and
// a router that leaves and joins again.
func BenchmarkLargePeers(b *testing.B) {
	now := time.Unix(1000, 0)
	all := largePeers(largeRouters)
	b.Run("restart", func(b *testing.B) {
		s, _ := newLargeFleetRouter(now, largeUpstreams)
		for b.Loop() {
			all[1].Incarnation++
			s.Step(now, PeersChanged{Peers: all})
		}
	})
	b.Run("leave-and-join", func(b *testing.B) {
		s, _ := newLargeFleetRouter(now, largeUpstreams)
		for b.Loop() {
			s.Step(now, PeersChanged{Peers: all[:len(all)-1]})
			s.Step(now, PeersChanged{Peers: all})
		}
	})
}

// BenchmarkLargeIntroduce measures sending the counters of 6,300 workspaces to
// a router that has just started. It reports the number of entries in the
// longest message.
func BenchmarkLargeIntroduce(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New(Options{Self: Peer{Router: "a", Incarnation: 1}})
	received := UsageHeard{Origin: "gone", Incarnation: 1}
	for i := range 6300 {
		received.Entries = append(received.Entries, UsageEntry{Service: "draft", Workspace: state.Workspace(fmt.Sprint("w", i)), Charged: 1})
	}
	s.Step(now, received)
	longest := 0
	starting := Peer{Router: "b"}
	for b.Loop() {
		starting.Incarnation++
		for _, m := range actionsOf[SendUsage](s.Step(now, PeersChanged{Peers: []Peer{starting}})) {
			longest = max(longest, len(m.Entries))
		}
	}
	b.ReportMetric(float64(longest), "entries/message")
}
