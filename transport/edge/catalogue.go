package edge

import (
	"errors"
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

// storeReturnGrace is the time after the store became reachable again during
// which an upstream stays in use whose entry expired while the store was
// unavailable. A running upstream registers again within about two seconds.
const storeReturnGrace = 2200 * time.Millisecond

// pendingRemoval is a removal that is applied at due, unless the upstream
// registers again before.
type pendingRemoval struct {
	removal Object
	due     time.Time
}

// catalogue holds the newest known version of each object of the store,
// received from the store or from a peer. The revision of an object never
// decreases.
type catalogue struct {
	platform   Platform
	dispatcher *dispatcher
	log        zerolog.Logger
	now        func() time.Time

	// decodeMu serialises the decoding of configurations, during which mu is
	// not held.
	decodeMu sync.Mutex

	mu     sync.Mutex
	config Object
	// earlierConfigs are previous configurations that peers may still hold,
	// oldest first.
	earlierConfigs []Object
	// encodedConfigs caches the encoded configuration by the revision that the
	// encoding is a delta of; 0 is the full encoding.
	encodedConfigs map[uint64][]byte
	configVersion  uint64
	// decodingRevision is the greatest revision that was received and is being
	// decoded, or was refused.
	decodingRevision uint64
	objects          map[string]Object
	// objectChanges counts the changes of objects and of evacuations.
	objectChanges uint64
	directory     *directory.Directory
	// upstreamsKnown is set once all upstreams were received.
	upstreamsKnown bool
	// upstreamDigest is a digest of the content of all upstream entries,
	// without their revisions.
	upstreamDigest uint64
	// pendingRemovals are upstreams whose entries may have expired while the
	// store was unavailable. confirmedRemovals were pending, are applied, and
	// still have to be sent to peers.
	pendingRemovals   map[state.Upstream]pendingRemoval
	confirmedRemovals []Object
	// lost are the requests that were lost with removed upstreams and are not
	// reported yet.
	lost []lostRequest
	// storeUnavailable is set while the store does not answer. storeReturnedAt
	// is the time at which it last became reachable again.
	storeUnavailable bool
	storeReturnedAt  time.Time
	// storeAnsweredAt is the time of the store's last answer, of any kind.
	storeAnsweredAt time.Time
}

func newCatalogue(platform Platform, dispatcher *dispatcher, log zerolog.Logger, now func() time.Time) *catalogue {
	return &catalogue{
		platform: platform, dispatcher: dispatcher, log: log, now: now,
		objects:         make(map[string]Object),
		directory:       directory.New(),
		pendingRemovals: make(map[state.Upstream]pendingRemoval),
	}
}

// applyObject applies an object and reports whether it has to be sent to peers.
// The source only appears in the log.
func (c *catalogue) applyObject(kind Kind, o Object, source string) bool {
	switch kind {
	case KindConfig:
		return c.applyConfig(o, source)
	case KindEvacuation:
		return c.applyEvacuation(o, source)
	}
	c.mu.Lock()
	changed, lost := c.applyUpstream(o, source), c.takeLost()
	c.mu.Unlock()
	c.dispatcher.reportLost(lost)
	return changed
}

// takeLost returns the requests that were lost with removed upstreams since its
// last call. The caller reports them after it has released the lock.
func (c *catalogue) takeLost() []lostRequest {
	lost := c.lost
	c.lost = nil
	return lost
}

// decodeYieldTime is the sleep between the parts of a configuration that is
// being decoded. On a VM with a fraction of a core, requests have priority.
const decodeYieldTime = 5 * time.Millisecond

func (c *catalogue) applyConfig(o Object, source string) bool {
	c.decodeMu.Lock()
	defer c.decodeMu.Unlock()
	if o.Removed || o.Revision <= c.contentSummary().ConfigRevision {
		return false
	}
	c.startDecoding(o.Revision)
	config, err := c.platform.DecodeConfig(o.Spec, func() { time.Sleep(decodeYieldTime) })
	if err != nil {
		c.log.Error().Err(err).Uint64("revision", o.Revision).Str("source", source).Msg("configuration refused")
		c.dispatcher.configRefused(o.Revision)
		return false
	}
	table := routing.NewTable(config)
	c.mu.Lock()
	defer c.mu.Unlock()
	if config.Version < c.configVersion {
		c.log.Warn().Uint64("version", config.Version).Uint64("held", c.configVersion).Msg("configuration older than the one in force")
		c.dispatcher.configRefused(o.Revision)
		return false
	}
	c.replaceConfig(o)
	c.configVersion = config.Version
	c.dispatcher.setTable(table)
	lag := c.dispatcher.configHeld(o.Revision, source)
	c.log.Info().Uint64("version", config.Version).Uint64("revision", o.Revision).Str("source", source).Int64("known_ms", lag.Milliseconds()).
		Int("routes", len(config.Routes)).Int("workspaces", len(config.Workspaces)).Msg("configuration taken")
	return true
}

func (c *catalogue) startDecoding(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decodingRevision = max(c.decodingRevision, revision)
}

// receivedRevision returns the newest revision of the configuration that was
// received, whether or not it has been taken yet.
func (c *catalogue) receivedRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.config.Revision, c.decodingRevision)
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
	if errors.Is(err, ErrInvalidColdTime) {
		c.log.Error().Err(err).Uint64("revision", o.Revision).Msg("cold time ignored")
		before, _ := c.directory.Entry(state.Upstream(o.Name))
		decoded.ColdFor, err = before.Upstream.ColdFor, nil
	}
	if err != nil {
		c.log.Debug().Err(err).Str("upstream", o.Name).Msg("entry names no upstream")
	}
	entry.Present, entry.Upstream = err == nil, decoded
	return entry
}

// applyEntry stores an upstream's entry and reports whether any content that
// decisions depend on has changed.
func (c *catalogue) applyEntry(o Object, entry directory.Entry, source string) bool {
	id := state.Upstream(o.Name)
	before, _ := c.directory.Entry(id)
	if !c.directory.Apply(id, entry) {
		return false
	}
	delete(c.pendingRemovals, id)
	c.objects[o.Name] = o
	c.objectChanges++
	c.upstreamDigest ^= entryDigest(before) ^ entryDigest(entry)
	c.updateDispatcher(id, before, entry, source)
	return !sameContent(before, entry)
}

// entryDigest returns a digest of an entry's content, or 0 if the entry does
// not name an upstream. It does not depend on how long the upstream stays cold,
// which decreases with each entry.
func entryDigest(entry directory.Entry) uint64 {
	if !entry.Present {
		return 0
	}
	u := entry.Upstream
	u.ColdFor = 0
	return xxhash.Sum64String(fmt.Sprintf("%+v", u))
}

// contentSummary identifies the configuration and the upstreams that this
// router holds. Two routers with the same content have equal summaries,
// whichever source they received it from.
func (c *catalogue) contentSummary() exchange.StateSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return exchange.StateSummary{ConfigRevision: c.config.Revision, UpstreamsDigest: c.upstreamDigest ^ c.dispatcher.evacuationDigest()}
}

// sameContent reports whether two entries are equal in all that decisions
// depend on.
func sameContent(a, b directory.Entry) bool {
	return a.Present == b.Present && a.Upstream == b.Upstream
}

// onlyColdTimeDiffers reports whether two entries describe an upstream that is
// cold for different times. A cold upstream writes such an entry every second.
func onlyColdTimeDiffers(a, b directory.Entry) bool {
	return a.Upstream.ColdFor > 0 && b.Upstream.ColdFor > 0 && entryDigest(a) == entryDigest(b)
}

// updateDispatcher passes a changed entry to the dispatcher.
func (c *catalogue) updateDispatcher(id state.Upstream, before, entry directory.Entry, source string) {
	if sameContent(before, entry) {
		return
	}
	c.lost = append(c.lost, c.dispatcher.setUpstream(id, entry.Upstream, entry.Present)...)
	if onlyColdTimeDiffers(before, entry) {
		return
	}
	c.log.Info().Str("upstream", string(id)).Str("service", string(entry.Upstream.Service)).
		Str("address", entry.Upstream.Address).Bool("present", entry.Present).Bool("leaving", entry.Upstream.Leaving).
		Dur("cold", entry.Upstream.ColdFor).
		Uint64("revision", entry.Revision).Str("source", source).Msg("upstream changed")
}

// mayHaveExpired reports whether an entry that the store no longer holds may
// have expired only because the store was unavailable. This router cannot
// distinguish an outage of the store from a partition between itself and the
// store, so removals that it reads from the store are in doubt. Removals from
// peers are not: a peer sends a removal only after confirming it.
func (c *catalogue) mayHaveExpired(o Object, entry directory.Entry) bool {
	id := state.Upstream(o.Name)
	current, _ := c.directory.Entry(id)
	if entry.Present || !current.Present || current.Upstream.Leaving || !c.directory.IsNewer(id, entry) {
		return false
	}
	return !c.storeReturnedAt.IsZero() && c.now().Sub(c.storeReturnedAt) < storeReturnGrace
}

// deferRemoval keeps an upstream in use whose entry may have expired. The
// directory and its digest keep the entry, and peers are not informed: they
// would apply the removal and drop an upstream that is about to register again.
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

// resolvePendingRemoval checks a received object against the pending removal of
// its upstream and reports whether the object needs no further handling. The
// removal is confirmed if a peer sends a removal, or if the object shows that
// the upstream was leaving before its entry disappeared. Without the peer's
// report, a router that was partitioned would send requests for two seconds to
// an upstream that all other routers have removed. The report is reliable
// because peers only send confirmed removals. A removal that is not newer than
// the entry held here belongs to an earlier registration and is ignored.
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

// confirmRemoval applies a removal that was pending.
func (c *catalogue) confirmRemoval(removal Object, source string) {
	c.log.Info().Str("upstream", removal.Name).Str("source", source).Msg("upstream gone after the store's return")
	if c.applyEntry(removal, directory.Entry{Revision: removal.Revision}, source) {
		c.confirmedRemovals = append(c.confirmedRemovals, removal)
	}
}

// confirmDueRemovals applies the removals of upstreams that did not register
// again in time. It returns all removals confirmed since the last call, which
// have to be sent to peers.
func (c *catalogue) confirmDueRemovals() []Object {
	c.mu.Lock()
	confirmed, lost := c.takeDueRemovals(), c.takeLost()
	c.mu.Unlock()
	c.dispatcher.reportLost(lost)
	return confirmed
}

// takeDueRemovals implements confirmDueRemovals. The caller holds the lock.
func (c *catalogue) takeDueRemovals() []Object {
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

// hasPendingRemovals reports whether the entry of any upstream may have
// expired.
func (c *catalogue) hasPendingRemovals() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingRemovals) > 0
}

// replaceUpstreams applies a complete list of upstreams, read at a revision.
// Upstreams that are missing from the list are removed. It returns the objects
// that have to be sent to peers.
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreamsKnown = true
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

// markStoreAvailable and markStoreUnavailable record whether the store answers.
func (c *catalogue) markStoreAvailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAnsweredAt = c.now()
	if c.storeUnavailable {
		c.storeUnavailable = false
		c.storeReturnedAt = c.now()
		c.log.Info().Msg("store regained")
	}
}

// storeSilence returns the time since the store's last answer.
func (c *catalogue) storeSilence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.storeAnsweredAt)
}

func (c *catalogue) markStoreUnavailable(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnavailable {
		c.storeUnavailable = true
		c.log.Warn().Err(err).Msg("store lost")
	}
}

// lacksOperatorObjects reports whether this router lacks the configuration or
// does not know which data centres are evacuated.
func (c *catalogue) lacksOperatorObjects() bool {
	return c.hasNoConfig() || !c.dispatcher.evacuationsKnown()
}

// isIncomplete reports whether this router lacks objects that a peer may have.
func (c *catalogue) isIncomplete() bool {
	c.mu.Lock()
	known := c.upstreamsKnown
	c.mu.Unlock()
	return !known || c.lacksOperatorObjects()
}

// markComplete records that this router has received all objects of a peer that
// is not incomplete.
func (c *catalogue) markComplete() {
	c.markEvacuationsKnown()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreamsKnown = true
}

// objectsVersion returns a number that changes whenever an upstream's object or
// an evacuation changes.
func (c *catalogue) objectsVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objectChanges
}

// hasNoConfig reports whether no configuration was received yet.
func (c *catalogue) hasNoConfig() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Revision == 0
}

// upstreamObjects returns the objects of all upstreams, for a peer that has
// none.
func (c *catalogue) upstreamObjects() []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.objects))
}
