package placement

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// SetRegions sets the region of each data centre.
func (v *View) SetRegions(regions map[state.DataCentre]state.Region) { v.regions = regions }

// SetEvacuated sets whether a data centre is evacuated, so that nothing may be
// sent to its upstreams. Once its evacuation ends they count as cold, also those
// that are added later: they may have restarted while no router used them.
func (v *View) SetEvacuated(now time.Time, dc state.DataCentre, evacuated bool) {
	if evacuated {
		v.evacuated[dc] = true
		return
	}
	delete(v.evacuated, dc)
	v.evacuationEnds[dc] = now
	for _, h := range v.hosts {
		if h.DataCentre == dc {
			v.markColdAfterEvacuation(h)
		}
	}
}

// SetColdTime records that an upstream stated how much longer it stays cold.
func (v *View) SetColdTime(now time.Time, id state.Upstream, remaining time.Duration) {
	if h := v.hosts[id]; h != nil {
		v.coldHosts.markCold(h, now.Add(remaining))
		v.markColdAfterEvacuation(h)
	}
}

func (v *View) markColdAfterEvacuation(h *host) {
	if end, ok := v.evacuationEnds[h.DataCentre]; ok {
		v.coldHosts.markCold(h, end.Add(v.coldHosts.startTime(h.Service)))
	}
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
