package devfleet

import (
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/state/config"
)

// Skew tells at which routers the load arrives.
type Skew string

// The skews.
const (
	// Spread sends each request to any router.
	Spread Skew = "spread"
	// OneRouter sends everything to the first router.
	OneRouter Skew = "one-router"
	// OneEach sends each workspace to one router.
	OneEach Skew = "one-each"
)

// The load of a sample in requests a second. A large workspace alone asks for
// about a third of the engines and half of the workers, a small one for about
// its share, so that with four large ones work waits all the time.
const (
	largeDrafts   = 14
	largeBlurbs   = 30
	largePages    = 160
	smallDrafts   = 1.5
	smallBlurbs   = 4
	smallPages    = 12
	smallBookings = 2
	urgent        = 3
	burstSize     = 8
)

// Workload returns the mixed load of the sample.
func (s Sample) Workload(d time.Duration, skew Skew) loadgen.Workload {
	w := loadgen.Workload{
		Name:    s.Name + "-" + string(skew),
		Seed:    1,
		Seconds: d.Seconds(),
		Classes: s.classes(),
	}
	for _, team := range s.Teams {
		for _, tenant := range team.Workspaces {
			ws := loadgen.Workspace{
				Name:     tenant.Name,
				Token:    Token(tenant.Name),
				Share:    s.share(team, tenant),
				Targets:  skew.targets(len(w.Workspaces)),
				Arrivals: s.arrivals(tenant),
			}
			w.Workspaces = append(w.Workspaces, ws)
		}
	}
	return w
}

func (s Skew) targets(index int) []int {
	switch s {
	case OneRouter:
		return []int{0}
	case OneEach:
		return []int{index}
	default:
		return nil
	}
}

func (s Sample) classes() []loadgen.Class {
	return []loadgen.Class{
		{
			Name: s.Draft, Service: s.Engines, Kind: config.KindEngine, Path: "/v1/chat/completions", Stream: true,
			Prompt: loadgen.Size{Median: 200, Sigma: 0.5, Max: 1000}, Output: loadgen.Size{Median: 60, Sigma: 0.7, Max: 240},
			Abandoned: 0.01, AbandonAfterMS: 500,
		},
		{
			Name: s.Blurb, Service: s.Engines, Kind: config.KindEngine, Path: "/v1/chat/completions", Stream: true,
			Prompt: loadgen.Size{Median: 40, Sigma: 0.5, Max: 200}, Output: loadgen.Size{Median: 12, Sigma: 0.6, Max: 60},
		},
		{
			// A deadline this short cannot be met in a rush, so that some are
			// refused and others end while they run.
			Name: s.Urgent, Service: s.Engines, Kind: config.KindEngine, Path: "/v1/chat/completions", Stream: true,
			Prompt: loadgen.Size{Median: 40, Sigma: 0.5, Max: 200}, Output: loadgen.Size{Median: 8, Sigma: 0.6, Max: 40},
			DeadlineMS: 400,
		},
		{
			Name: s.Page, Service: s.Workers, Kind: config.KindWorker, Path: "/" + s.Page,
			Busy: loadgen.Size{Median: 50, Sigma: 0.5, Max: 300},
		},
		{
			Name: s.Booking, Service: s.Workers, Kind: config.KindWorker, Path: "/" + s.Booking,
			Busy:  loadgen.Size{Median: 50, Sigma: 0.5, Max: 300},
			Keyed: 1, Resent: 0.2, ResendAfterMS: 300,
		},
	}
}

func (s Sample) arrivals(t Tenant) []loadgen.Arrival {
	if t.Large {
		return []loadgen.Arrival{
			{Class: s.Draft, Process: loadgen.Poisson, Rate: largeDrafts},
			{Class: s.Blurb, Process: loadgen.Poisson, Rate: largeBlurbs},
			{Class: s.Urgent, Process: loadgen.Poisson, Rate: urgent},
			{Class: s.Page, Process: loadgen.Poisson, Rate: largePages},
			{Class: s.Booking, Process: loadgen.Poisson, Rate: smallBookings},
		}
	}
	return []loadgen.Arrival{
		{Class: s.Draft, Process: loadgen.Poisson, Rate: smallDrafts},
		{Class: s.Blurb, Process: loadgen.Bursts, Rate: smallBlurbs, Burst: burstSize},
		{Class: s.Page, Process: loadgen.OnOff, Rate: smallPages, OnSeconds: 2, OffSeconds: 1},
		{Class: s.Booking, Process: loadgen.Poisson, Rate: smallBookings},
	}
}
