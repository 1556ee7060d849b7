package devfleet

import (
	"slices"
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/state/config"
)

// Load selects how much work the workspaces of a sample request.
type Load string

// The loads.
const (
	// LoadIdle sends almost no requests. It shows the traffic that routers
	// exchange without load.
	LoadIdle Load = "idle"
	// LoadUsual keeps about two thirds of all slots busy.
	LoadUsual Load = "usual"
	// LoadRush has four large workspaces that together request more than the
	// fleet can serve, and small ones that request less than their share.
	LoadRush Load = "rush"
	// LoadSaturated makes every workspace request about twice its share.
	LoadSaturated Load = "saturated"
	// LoadFlood is LoadSaturated with one workspace that requests 16 times as
	// much as the others.
	LoadFlood Load = "flood"
)

// Loads returns all loads.
func Loads() []Load { return []Load{LoadIdle, LoadUsual, LoadRush, LoadSaturated, LoadFlood} }

// rates holds the requests per second of a workspace by class.
type rates struct {
	drafts, blurbs, urgent, pages, bookings float64
}

// The rates of the loads. The engines of a sample serve about 85 drafts per
// second and its workers about 280 pages per second; the share of a workspace
// is about a sixteenth of that.
var (
	idleRates       = rates{pages: 0.02}
	usualLargeRates = rates{drafts: 8, blurbs: 10, pages: 30, bookings: 1}
	usualSmallRates = rates{drafts: 1, blurbs: 2, pages: 6, bookings: 1}
	rushLargeRates  = rates{drafts: 14, blurbs: 30, urgent: 3, pages: 80, bookings: 2}
	rushSmallRates  = rates{drafts: 1.5, blurbs: 4, pages: 6, bookings: 2}
	saturatedRates  = rates{drafts: 10, pages: 30, bookings: 2}
	floodRates      = rates{drafts: 160, pages: 480, bookings: 2}
)

// burstSize is the number of blurbs of a small workspace that arrive at once.
const burstSize = 8

func (l Load) rates(workspace Workspace, first bool) rates {
	switch {
	case l == LoadIdle:
		return idleRates
	case l == LoadFlood && first:
		return floodRates
	case l == LoadFlood || l == LoadSaturated:
		return saturatedRates
	case l == LoadUsual && workspace.Large:
		return usualLargeRates
	case l == LoadUsual:
		return usualSmallRates
	case workspace.Large:
		return rushLargeRates
	default:
		return rushSmallRates
	}
}

// Workload returns the workload of the sample under a load.
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
			// The deadline is too short for a rush, so some of these requests
			// are refused and others end while they run.
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

// arrivals returns the arrivals of a workspace's requests. If uneven is set,
// blurbs arrive in bursts of burstSize, and pages arrive for two seconds at a
// time with breaks of one second.
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
