package edge

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

// storeReturnGrace is how long after the store's return an upstream whose entry
// lapsed while the store was away is still used: it registers again within
// about two seconds if it lives.
const storeReturnGrace = 2200 * time.Millisecond

// pendingRemoval is a removal that is not in force yet.
type pendingRemoval struct {
	removal Object
	due     time.Time
}

// catalogue holds the newest known objects of the store, whoever told them:
// the store or a peer. Revisions only rise.
type catalogue struct {
	platform   Platform
	dispatcher *dispatcher
	log        zerolog.Logger
	now        func() time.Time

	// decodeMu is held while a configuration is decoded, without mu.
	decodeMu sync.Mutex

	mu     sync.Mutex
	config Object
	// earlierConfigs are configurations that peers may still hold, the latest last.
	earlierConfigs []Object
	// encodedConfigs are the forms in which the configuration was sent, by the
	// revision that each builds on.
	encodedConfigs map[uint64][]byte
	configVersion  uint64
	objects        map[string]Object
	directory      *directory.Directory
	// upstreamDigest is of what the entries say, without their revisions.
	upstreamDigest uint64
	// pendingRemovals are upstreams whose entries may have lapsed while the store was
	// away; settled are removals that no longer wait and are yet to be told.
	pendingRemovals   map[state.Upstream]pendingRemoval
	confirmedRemovals []Object
	// storeUnavailable is set while the store does not answer; returned is when it last
	// came back.
	storeUnavailable bool
	storeReturnedAt  time.Time
}

func newCatalogue(platform Platform, dispatcher *dispatcher, log zerolog.Logger, now func() time.Time) *catalogue {
	return &catalogue{
		platform: platform, dispatcher: dispatcher, log: log, now: now,
		objects:         make(map[string]Object),
		directory:       directory.New(),
		pendingRemovals: make(map[state.Upstream]pendingRemoval),
	}
}

// applyObject applies an object and says whether peers should hear of it. Source is
// for the log.
func (c *catalogue) applyObject(kind Kind, o Object, source string) bool {
	if kind == KindConfig {
		return c.applyConfig(o, source)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyUpstream(o, source)
}

// decodeYieldTime is the pause between parts of a configuration that is decoded: on
// a small part of a core, requests come first.
const decodeYieldTime = 5 * time.Millisecond

func (c *catalogue) applyConfig(o Object, source string) bool {
	c.decodeMu.Lock()
	defer c.decodeMu.Unlock()
	if o.Removed || o.Revision <= c.contentSummary().ConfigRevision {
		return false
	}
	config, err := c.platform.DecodeConfig(o.Spec, func() { time.Sleep(decodeYieldTime) })
	if err != nil {
		c.log.Error().Err(err).Uint64("revision", o.Revision).Str("source", source).Msg("configuration refused")
		return false
	}
	table := routing.NewTable(config)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceConfig(o)
	if config.Version < c.configVersion {
		c.log.Warn().Uint64("version", config.Version).Uint64("held", c.configVersion).Msg("configuration older than the one in force")
		return false
	}
	c.configVersion = config.Version
	c.dispatcher.setTable(table)
	c.log.Info().Uint64("version", config.Version).Uint64("revision", o.Revision).Str("source", source).
		Int("routes", len(config.Routes)).Int("workspaces", len(config.Workspaces)).Msg("configuration taken")
	return true
}

func (c *catalogue) applyUpstream(o Object, source string) bool {
	entry := c.decodeEntry(o)
	if pending, ok := c.pendingRemovals[state.Upstream(o.Name)]; ok && c.resolvePendingRemoval(pending, o, entry, source) {
		return false
	}
	if source == sourceStore && c.mayHaveExpired(o, entry) {
		c.deferRemoval(o)
		return false
	}
	return c.applyEntry(o, entry, source)
}

func (c *catalogue) decodeEntry(o Object) directory.Entry {
	entry := directory.Entry{Revision: o.Revision}
	if o.Removed {
		return entry
	}
	decoded, err := c.platform.DecodeUpstream(o.Name, o.Spec)
	if err != nil {
		c.log.Debug().Err(err).Str("upstream", o.Name).Msg("entry names no upstream")
	}
	entry.Present, entry.Upstream = err == nil, decoded
	return entry
}

// applyEntry puts an entry in force, and says whether that changed anything that is
// decided on.
func (c *catalogue) applyEntry(o Object, entry directory.Entry, source string) bool {
	id := state.Upstream(o.Name)
	before, _ := c.directory.Entry(id)
	if !c.directory.Apply(id, entry) {
		return false
	}
	delete(c.pendingRemovals, id)
	c.objects[o.Name] = o
	c.upstreamDigest ^= entryDigest(before) ^ entryDigest(entry)
	c.updateDispatcher(id, before, entry, source)
	return !sameContent(before, entry)
}

// entryDigest recognises what an entry says; one that names no upstream says
// nothing.
func entryDigest(entry directory.Entry) uint64 {
	if !entry.Present {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%+v", entry.Upstream))
}

// contentSummary recognises what is held. Two routers that hold the same agree on it,
// whoever told them.
func (c *catalogue) contentSummary() exchange.StateSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return exchange.StateSummary{ConfigRevision: c.config.Revision, UpstreamsDigest: c.upstreamDigest}
}

// sameContent says whether two entries differ in nothing that is decided on.
func sameContent(a, b directory.Entry) bool {
	return a.Present == b.Present && a.Upstream == b.Upstream
}

// updateDispatcher tells the dispatcher of a changed entry.
func (c *catalogue) updateDispatcher(id state.Upstream, before, entry directory.Entry, source string) {
	if sameContent(before, entry) {
		return
	}
	c.dispatcher.setUpstream(id, entry.Upstream, entry.Present)
	c.log.Info().Str("upstream", string(id)).Str("service", string(entry.Upstream.Service)).
		Str("address", entry.Upstream.Address).Bool("present", entry.Present).Bool("leaving", entry.Upstream.Leaving).
		Uint64("revision", entry.Revision).Str("source", source).Msg("upstream changed")
}

// mayHaveExpired says whether an entry that the store no longer holds may only
// have lapsed while the store was away. This router cannot tell that from
// having been cut off itself, so only the store's word is in doubt: a peer
// tells of a removal once it is sure.
func (c *catalogue) mayHaveExpired(o Object, entry directory.Entry) bool {
	id := state.Upstream(o.Name)
	current, _ := c.directory.Entry(id)
	if entry.Present || !current.Present || current.Upstream.Leaving || !c.directory.IsNewer(id, entry) {
		return false
	}
	return !c.storeReturnedAt.IsZero() && c.now().Sub(c.storeReturnedAt) < storeReturnGrace
}

// deferRemoval keeps an upstream in use whose entry may have lapsed. The directory and
// its digest keep the entry and peers are not told: they would take the
// upstream as gone, and drop one that is about to register again.
func (c *catalogue) deferRemoval(o Object) {
	id := state.Upstream(o.Name)
	pending, ok := c.pendingRemovals[id]
	if !ok {
		pending.due = c.storeReturnedAt.Add(storeReturnGrace)
		c.log.Info().Str("upstream", o.Name).Uint64("revision", o.Revision).Msg("upstream may have lapsed")
	}
	pending.removal = o
	c.pendingRemovals[id] = pending
}

// resolvePendingRemoval weighs what is told of an upstream that may have lapsed, and says
// whether nothing else is to be made of it. The upstream is gone if a peer says
// so, or if it said that it leaves before its entry went. Without the peer's
// word a router that was cut off itself sends requests for two seconds to an
// upstream that all others know to be gone. The word holds because peers give
// it only when they are sure; one no newer than the entry held here is of an
// earlier end, and does not count.
func (c *catalogue) resolvePendingRemoval(pending pendingRemoval, o Object, entry directory.Entry, source string) bool {
	outdated := o.Revision <= pending.removal.Revision
	removed := !entry.Present && source != sourceStore
	wasLeaving := entry.Upstream.Leaving && outdated
	if !removed && !wasLeaving || !c.directory.IsNewer(state.Upstream(o.Name), entry) {
		return outdated
	}
	if outdated {
		o = pending.removal
	}
	c.confirmRemoval(o, source)
	return true
}

// confirmRemoval takes an upstream as gone that may have lapsed.
func (c *catalogue) confirmRemoval(removal Object, source string) {
	c.log.Info().Str("upstream", removal.Name).Str("source", source).Msg("upstream gone after the store's return")
	if c.applyEntry(removal, directory.Entry{Revision: removal.Revision}, source) {
		c.confirmedRemovals = append(c.confirmedRemovals, removal)
	}
}

// confirmDueRemovals drops upstreams that did not register again in time, and returns
// the removals that peers are to be told of.
func (c *catalogue) confirmDueRemovals() []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, pending := range c.pendingRemovals {
		if !now.Before(pending.due) {
			c.confirmRemoval(pending.removal, sourceStore)
		}
	}
	confirmed := c.confirmedRemovals
	c.confirmedRemovals = nil
	return confirmed
}

// hasPendingRemovals says whether there are upstreams that may have lapsed.
func (c *catalogue) hasPendingRemovals() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingRemovals) > 0
}

// replaceUpstreams takes a whole list: what it lacks is gone.
func (c *catalogue) replaceUpstreams(objects []Object, revision uint64, source string) []Object {
	var changed []Object
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		if c.applyObject(KindUpstream, o, source) {
			changed = append(changed, o)
		}
	}
	for _, name := range c.missingUpstreams(listed, revision) {
		removed := Object{Name: name, Revision: revision, Removed: true}
		if c.applyObject(KindUpstream, removed, source) {
			changed = append(changed, removed)
		}
	}
	return changed
}

func (c *catalogue) missingUpstreams(listed map[string]bool, revision uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for id, entry := range c.directory.Entries() {
		if entry.Present && !listed[string(id)] && entry.Revision <= revision {
			names = append(names, string(id))
		}
	}
	return names
}

// markStoreAvailable and unreached note whether the store answers.
func (c *catalogue) markStoreAvailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailable {
		c.storeUnavailable = false
		c.storeReturnedAt = c.now()
		c.log.Info().Msg("store regained")
	}
}

func (c *catalogue) markStoreUnavailable(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnavailable {
		c.storeUnavailable = true
		c.log.Warn().Err(err).Msg("store lost")
	}
}

// hasNoConfig says whether no configuration is held.
func (c *catalogue) hasNoConfig() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Revision == 0
}

// upstreamObjects returns every object of an upstream that is held, for a peer that
// starts from nothing.
func (c *catalogue) upstreamObjects() []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.objects))
}
