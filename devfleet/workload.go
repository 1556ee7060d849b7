package devfleet

import (
	"slices"
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/state/config"
)

// Load is how much a sample's workspaces ask for.
type Load string

// The loads.
const (
	// LoadIdle asks for next to nothing and shows what routers exchange anyway.
	LoadIdle Load = "idle"
	// LoadUsual keeps about two thirds of all slots busy.
	LoadUsual Load = "usual"
	// LoadRush has four large workspaces that together ask for more than there
	// is, and small ones that ask for less than their share.
	LoadRush Load = "rush"
	// LoadSaturated has every workspace ask for about twice its share.
	LoadSaturated Load = "saturated"
	// LoadFlood is Saturated with one workspace that asks for 16 times as much.
	LoadFlood Load = "flood"
)

// Loads lists the loads.
func Loads() []Load { return []Load{LoadIdle, LoadUsual, LoadRush, LoadSaturated, LoadFlood} }

// rates are a workspace's requests a second.
type rates struct {
	drafts, blurbs, urgent, pages, bookings float64
}

// The engines of a sample write about 85 drafts a second and its workers
// answer about 280 pages; a workspace's share is a sixteenth, more or less.
var (
	idleRates       = rates{pages: 0.02}
	usualLargeRates = rates{drafts: 8, blurbs: 10, pages: 30, bookings: 1}
	usualSmallRates = rates{drafts: 1, blurbs: 2, pages: 6, bookings: 1}
	rushLargeRates  = rates{drafts: 14, blurbs: 30, urgent: 3, pages: 80, bookings: 2}
	rushSmallRates  = rates{drafts: 1.5, blurbs: 4, pages: 6, bookings: 2}
	saturatedRates  = rates{drafts: 10, pages: 30, bookings: 2}
	floodRates      = rates{drafts: 160, pages: 480, bookings: 2}
)

// burstSize is how many blurbs of a small workspace arrive at once.
const burstSize = 8

func (l Load) rates(t Workspace, first bool) rates {
	switch {
	case l == LoadIdle:
		return idleRates
	case l == LoadFlood && first:
		return floodRates
	case l == LoadFlood || l == LoadSaturated:
		return saturatedRates
	case l == LoadUsual && t.Large:
		return usualLargeRates
	case l == LoadUsual:
		return usualSmallRates
	case t.Large:
		return rushLargeRates
	default:
		return rushSmallRates
	}
}

// Workload returns a load of the sample.
func (s Sample) Workload(d time.Duration, load Load) loadgen.Workload {
	w := loadgen.Workload{
		Name:    s.Name + "-" + string(load),
		Seed:    1,
		Seconds: d.Seconds(),
		Classes: s.classes(),
	}
	for _, team := range s.Teams {
		for _, workspace := range team.Workspaces {
			w.Workspaces = append(w.Workspaces, loadgen.Workspace{
				Name:     workspace.Name,
				Token:    Token(workspace.Name),
				Share:    s.workspaceShare(team, workspace),
				Arrivals: s.arrivals(load.rates(workspace, len(w.Workspaces) == 0), load == LoadRush && !workspace.Large),
			})
		}
	}
	return w
}

func (s Sample) classes() []loadgen.Class {
	return []loadgen.Class{
		{
			Name: s.Draft, Service: s.Engines, Kind: config.KindEngine, Path: "/v1/chat/completions", Stream: true,
			PromptTokens: loadgen.SizeDistribution{Median: 200, Sigma: 0.5, Max: 1000}, OutputTokens: loadgen.SizeDistribution{Median: 60, Sigma: 0.7, Max: 240},
			AbandonedFraction: 0.01, AbandonAfterMS: 500,
		},
		{
			Name: s.Blurb, Service: s.Engines, Kind: config.KindEngine, Path: "/v1/chat/completions", Stream: true,
			PromptTokens: loadgen.SizeDistribution{Median: 40, Sigma: 0.5, Max: 200}, OutputTokens: loadgen.SizeDistribution{Median: 12, Sigma: 0.6, Max: 60},
		},
		{
			// A deadline this short cannot be met in a rush, so that some are
			// refused and others end while they run.
			Name: s.Urgent, Service: s.Engines, Kind: config.KindEngine, Path: "/v1/chat/completions", Stream: true,
			PromptTokens: loadgen.SizeDistribution{Median: 40, Sigma: 0.5, Max: 200}, OutputTokens: loadgen.SizeDistribution{Median: 8, Sigma: 0.6, Max: 40},
			DeadlineMS: 400,
		},
		{
			Name: s.Page, Service: s.Workers, Kind: config.KindWorker, Path: "/" + s.Page,
			BusyMS: loadgen.SizeDistribution{Median: 100, Sigma: 0.5, Max: 500},
		},
		{
			Name: s.Booking, Service: s.Workers, Kind: config.KindWorker, Path: "/" + s.Booking,
			BusyMS:        loadgen.SizeDistribution{Median: 100, Sigma: 0.5, Max: 500},
			KeyedFraction: 1, ResentFraction: 0.2, ResendAfterMS: 300,
		},
	}
}

// arrivals come evenly, or with blurbs in bursts and pages on and off.
func (s Sample) arrivals(r rates, uneven bool) []loadgen.ArrivalStream {
	blurbs := loadgen.ArrivalStream{Class: s.Blurb, Process: loadgen.Poisson, Rate: r.blurbs}
	pages := loadgen.ArrivalStream{Class: s.Page, Process: loadgen.Poisson, Rate: r.pages}
	if uneven {
		blurbs.Process, blurbs.BurstSize = loadgen.Bursts, burstSize
		pages.Process, pages.OnSeconds, pages.OffSeconds = loadgen.OnOff, 2, 1
	}
	all := []loadgen.ArrivalStream{
		{Class: s.Draft, Process: loadgen.Poisson, Rate: r.drafts},
		blurbs,
		{Class: s.Urgent, Process: loadgen.Poisson, Rate: r.urgent},
		pages,
		{Class: s.Booking, Process: loadgen.Poisson, Rate: r.bookings},
	}
	return slices.DeleteFunc(all, func(a loadgen.ArrivalStream) bool { return a.Rate == 0 })
}
