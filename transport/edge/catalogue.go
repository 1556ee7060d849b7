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

// returnGrace is how long after the store's return an upstream whose entry
// lapsed while the store was away is still used: it registers again within
// about two seconds if it lives.
const returnGrace = 2200 * time.Millisecond

// lapse is a removal that is not in force yet.
type lapse struct {
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

	// decoding is held while a configuration is decoded, without mu.
	decoding sync.Mutex

	mu     sync.Mutex
	config Object
	// earlier are configurations that peers may still hold, the latest last.
	earlier []Object
	// encoded are the forms in which the configuration was sent, by the
	// revision that each builds on.
	encoded  map[uint64][]byte
	version  uint64
	objects  map[string]Object
	upstream *directory.Directory
	// digest is of what the entries say, without their revisions.
	digest uint64
	// lapsed are upstreams whose entries may have lapsed while the store was
	// away; settled are removals that no longer wait and are yet to be told.
	lapsed  map[state.Upstream]lapse
	settled []Object
	// away is set while the store does not answer; returned is when it last
	// came back.
	away     bool
	returned time.Time
}

func newCatalogue(platform Platform, dispatcher *dispatcher, log zerolog.Logger, now func() time.Time) *catalogue {
	return &catalogue{
		platform: platform, dispatcher: dispatcher, log: log, now: now,
		objects:  make(map[string]Object),
		upstream: directory.New(),
		lapsed:   make(map[state.Upstream]lapse),
	}
}

// take applies an object and says whether peers should hear of it. Source is
// for the log.
func (c *catalogue) take(kind Kind, o Object, source string) bool {
	if kind == KindConfig {
		return c.takeConfig(o, source)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeUpstream(o, source)
}

// decodePause is the pause between parts of a configuration that is decoded: on
// a small part of a core, requests come first.
const decodePause = 5 * time.Millisecond

func (c *catalogue) takeConfig(o Object, source string) bool {
	c.decoding.Lock()
	defer c.decoding.Unlock()
	if o.Removed || o.Revision <= c.holding().ConfigRevision {
		return false
	}
	config, err := c.platform.DecodeConfig(o.Spec, func() { time.Sleep(decodePause) })
	if err != nil {
		c.log.Error().Err(err).Uint64("revision", o.Revision).Str("source", source).Msg("configuration refused")
		return false
	}
	table := routing.NewTable(config)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceConfig(o)
	if config.Version < c.version {
		c.log.Warn().Uint64("version", config.Version).Uint64("held", c.version).Msg("configuration older than the one in force")
		return false
	}
	c.version = config.Version
	c.dispatcher.setTable(table)
	c.log.Info().Uint64("version", config.Version).Uint64("revision", o.Revision).Str("source", source).
		Int("routes", len(config.Routes)).Int("workspaces", len(config.Workspaces)).Msg("configuration taken")
	return true
}

func (c *catalogue) takeUpstream(o Object, source string) bool {
	entry := c.entryOf(o)
	if l, ok := c.lapsed[state.Upstream(o.Name)]; ok && c.judgeLapsed(l, o, entry, source) {
		return false
	}
	if source == sourceStore && c.mayHaveLapsed(o, entry) {
		c.hold(o)
		return false
	}
	return c.apply(o, entry, source)
}

func (c *catalogue) entryOf(o Object) directory.Entry {
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

// apply puts an entry in force, and says whether that changed anything that is
// decided on.
func (c *catalogue) apply(o Object, entry directory.Entry, source string) bool {
	id := state.Upstream(o.Name)
	before, _ := c.upstream.Entry(id)
	if !c.upstream.Apply(id, entry) {
		return false
	}
	delete(c.lapsed, id)
	c.objects[o.Name] = o
	c.digest ^= digestOf(before) ^ digestOf(entry)
	c.show(id, before, entry, source)
	return !same(before, entry)
}

// digestOf recognises what an entry says; one that names no upstream says
// nothing.
func digestOf(entry directory.Entry) uint64 {
	if !entry.Present {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%+v", entry.Upstream))
}

// holding recognises what is held. Two routers that hold the same agree on it,
// whoever told them.
func (c *catalogue) holding() exchange.StateSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return exchange.StateSummary{ConfigRevision: c.config.Revision, UpstreamsDigest: c.digest}
}

// same says whether two entries differ in nothing that is decided on.
func same(a, b directory.Entry) bool { return a.Present == b.Present && a.Upstream == b.Upstream }

// show tells the dispatcher of a changed entry.
func (c *catalogue) show(id state.Upstream, before, entry directory.Entry, source string) {
	if same(before, entry) {
		return
	}
	c.dispatcher.setUpstream(id, entry.Upstream, entry.Present)
	c.log.Info().Str("upstream", string(id)).Str("service", string(entry.Upstream.Service)).
		Str("address", entry.Upstream.Address).Bool("present", entry.Present).Bool("leaving", entry.Upstream.Leaving).
		Uint64("revision", entry.Revision).Str("source", source).Msg("upstream changed")
}

// mayHaveLapsed says whether an entry that the store no longer holds may only
// have lapsed while the store was away. This router cannot tell that from
// having been cut off itself, so only the store's word is in doubt: a peer
// tells of a removal once it is sure.
func (c *catalogue) mayHaveLapsed(o Object, entry directory.Entry) bool {
	id := state.Upstream(o.Name)
	held, _ := c.upstream.Entry(id)
	if entry.Present || !held.Present || held.Upstream.Leaving || !c.upstream.IsNewer(id, entry) {
		return false
	}
	return !c.returned.IsZero() && c.now().Sub(c.returned) < returnGrace
}

// hold keeps an upstream in use whose entry may have lapsed. The directory and
// its digest keep the entry and peers are not told: they would take the
// upstream as gone, and drop one that is about to register again.
func (c *catalogue) hold(o Object) {
	id := state.Upstream(o.Name)
	held, ok := c.lapsed[id]
	if !ok {
		held.due = c.returned.Add(returnGrace)
		c.log.Info().Str("upstream", o.Name).Uint64("revision", o.Revision).Msg("upstream may have lapsed")
	}
	held.removal = o
	c.lapsed[id] = held
}

// judgeLapsed weighs what is told of an upstream that may have lapsed, and says
// whether nothing else is to be made of it. The upstream is gone if a peer says
// so, or if it said that it leaves before its entry went. Without the peer's
// word a router that was cut off itself sends requests for two seconds to an
// upstream that all others know to be gone. The word holds because peers give
// it only when they are sure; one no newer than the entry held here is of an
// earlier end, and does not count.
func (c *catalogue) judgeLapsed(l lapse, o Object, entry directory.Entry, source string) bool {
	outdated := o.Revision <= l.removal.Revision
	removed := !entry.Present && source != sourceStore
	left := entry.Upstream.Leaving && outdated
	if !removed && !left || !c.upstream.IsNewer(state.Upstream(o.Name), entry) {
		return outdated
	}
	if outdated {
		o = l.removal
	}
	c.settle(o, source)
	return true
}

// settle takes an upstream as gone that may have lapsed.
func (c *catalogue) settle(removal Object, source string) {
	c.log.Info().Str("upstream", removal.Name).Str("source", source).Msg("upstream gone after the store's return")
	if c.apply(removal, directory.Entry{Revision: removal.Revision}, source) {
		c.settled = append(c.settled, removal)
	}
}

// settleLapsed drops upstreams that did not register again in time, and returns
// the removals that peers are to be told of.
func (c *catalogue) settleLapsed() []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, l := range c.lapsed {
		if !now.Before(l.due) {
			c.settle(l.removal, sourceStore)
		}
	}
	settled := c.settled
	c.settled = nil
	return settled
}

// doubtful says whether there are upstreams that may have lapsed.
func (c *catalogue) doubtful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lapsed) > 0
}

// replace takes a whole list: what it lacks is gone.
func (c *catalogue) replace(objects []Object, revision uint64, source string) []Object {
	var news []Object
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		if c.take(KindUpstream, o, source) {
			news = append(news, o)
		}
	}
	for _, name := range c.missing(listed, revision) {
		gone := Object{Name: name, Revision: revision, Removed: true}
		if c.take(KindUpstream, gone, source) {
			news = append(news, gone)
		}
	}
	return news
}

func (c *catalogue) missing(listed map[string]bool, revision uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for id, entry := range c.upstream.Entries() {
		if entry.Present && !listed[string(id)] && entry.Revision <= revision {
			names = append(names, string(id))
		}
	}
	return names
}

// reached and unreached note whether the store answers.
func (c *catalogue) reached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		c.away = false
		c.returned = c.now()
		c.log.Info().Msg("store regained")
	}
}

func (c *catalogue) unreached(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.away {
		c.away = true
		c.log.Warn().Err(err).Msg("store lost")
	}
}

// empty says whether no configuration is held.
func (c *catalogue) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Revision == 0
}

// upstreams returns every object of an upstream that is held, for a peer that
// starts from nothing.
func (c *catalogue) upstreams() []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.objects))
}
