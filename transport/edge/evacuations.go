package edge

import (
	"maps"
	"time"

	"github.com/figstile/figstile/coordination/evacuation"
	"github.com/figstile/figstile/state"
)

// applyEvacuation applies the begin or the end of an evacuation. The content of
// the object is not read.
func (c *catalogue) applyEvacuation(o Object, source string) bool {
	entry := evacuation.Entry{Revision: o.Revision, Evacuated: !o.Removed}
	if !c.dispatcher.setEvacuation(state.DataCentre(o.Name), entry) {
		return false
	}
	c.mu.Lock()
	c.objectChanges++
	c.mu.Unlock()
	if !c.dispatcher.isKnownDataCentre(state.DataCentre(o.Name)) {
		c.log.Error().Str("data_centre", o.Name).Msg("evacuation names an unknown data centre")
	}
	c.log.Warn().Str("data_centre", o.Name).Bool("evacuated", entry.Evacuated).Uint64("revision", o.Revision).
		Str("source", source).Msg("evacuation changed")
	return true
}

// replaceEvacuations applies a complete list of evacuations, read at a revision.
// Evacuations that are missing from the list have ended. It returns the objects
// that have to be sent to peers.
func (c *catalogue) replaceEvacuations(objects []Object, revision uint64, source string) []Object {
	var changed []Object
	listed := make(map[state.DataCentre]bool, len(objects))
	for _, o := range objects {
		listed[state.DataCentre(o.Name)] = true
	}
	for _, dc := range c.dispatcher.missingEvacuations(listed, revision) {
		objects = append(objects, Object{Name: string(dc), Revision: revision, Removed: true})
	}
	for _, o := range objects {
		if c.applyEvacuation(o, source) {
			changed = append(changed, o)
		}
	}
	c.markEvacuationsKnown()
	return changed
}

// markEvacuationsKnown records that this router has received all evacuations.
func (c *catalogue) markEvacuationsKnown() { c.dispatcher.markEvacuationsKnown() }

// evacuationObjects returns the objects of all evacuations, ended ones included,
// for a peer that may have missed changes.
func (c *catalogue) evacuationObjects() []Object {
	var objects []Object
	for dc, entry := range c.dispatcher.evacuationEntries() {
		objects = append(objects, Object{Name: string(dc), Revision: entry.Revision, Removed: !entry.Evacuated})
	}
	return objects
}

// setEvacuation applies an entry if it is newer than the one held, and reports
// whether it did.
func (d *dispatcher) setEvacuation(dc state.DataCentre, entry evacuation.Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if !d.evacuations.Apply(now, dc, entry) {
		return false
	}
	d.loadView.SetEvacuated(now, dc, entry.Evacuated)
	return true
}

// isKnownDataCentre reports whether the settings name a data centre.
func (d *dispatcher) isKnownDataCentre(dc state.DataCentre) bool {
	_, known := d.settings.Regions[dc]
	return known
}

func (d *dispatcher) missingEvacuations(listed map[state.DataCentre]bool, revision uint64) []state.DataCentre {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations.MissingFrom(listed, revision)
}

func (d *dispatcher) evacuationEntries() map[state.DataCentre]evacuation.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.evacuations.Entries())
}

func (d *dispatcher) evacuationDigest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations.Digest()
}

// evacuationAges returns, for each data centre of the settings, how long this
// router has known of its evacuation; 0 if it is not evacuated.
func (d *dispatcher) evacuationAges() map[state.DataCentre]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ages := make(map[state.DataCentre]time.Duration)
	since := d.evacuations.Since()
	for dc := range d.settings.Regions {
		ages[dc] = 0
		if begin, ok := since[dc]; ok {
			ages[dc] = d.now().Sub(begin)
		}
	}
	return ages
}

func (d *dispatcher) markEvacuationsKnown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuations.SetKnown()
}

func (d *dispatcher) evacuationsKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knowsEvacuations()
}

// knowsEvacuations implements evacuationsKnown. The caller holds the lock.
func (d *dispatcher) knowsEvacuations() bool {
	return d.settings.EvacuationLimit == 0 || d.evacuations.Known()
}
