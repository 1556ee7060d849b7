package placement

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// SetRegions sets the region of each data centre.
func (v *View) SetRegions(regions map[state.DataCentre]state.Region) { v.regions = regions }

// SetEvacuated sets the data centres to whose upstreams nothing may be sent.
// Once an evacuation ends, the upstreams of the data centre count as cold: they
// may have restarted while no router used them.
func (v *View) SetEvacuated(now time.Time, evacuated map[state.DataCentre]bool) {
	for _, h := range v.hosts {
		if v.evacuated[h.DataCentre] && !evacuated[h.DataCentre] {
			v.coldHosts.markCold(h, now.Add(v.coldHosts.startTime(h.Service)))
		}
	}
	v.evacuated = evacuated
}

// mayReceive reports whether a request that is restricted to some regions may
// be sent to an upstream now.
func (v *View) mayReceive(now time.Time, h *host, regions [][]state.Region, excluded []state.Upstream) bool {
	return !h.Leaving && !v.evacuated[h.DataCentre] &&
		v.inRegions(h, regions) &&
		!slices.Contains(excluded, h.ID) &&
		v.coldHosts.mayReceive(now, h)
}

// inRegions reports whether an upstream's region is in every list. An upstream
// of unknown region is in none.
func (v *View) inRegions(h *host, lists [][]state.Region) bool {
	for _, allowed := range lists {
		region, known := v.regions[h.DataCentre]
		if !known || !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}
