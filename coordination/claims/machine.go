package claims

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// opKind is what an op does to a shard.
type opKind uint8

const (
	opClaim opKind = iota + 1
	opComplete
	opRelease
)

// op is one change that a router wants in a shard.
type op struct {
	kind    opKind
	digest  Digest
	claim   state.AttemptID
	arrived time.Time
	// status is what opComplete sets.
	status Status
	// fence is what the last write with an unknown outcome expected. Until
	// the chain is past it, that write may yet land.
	fence position
	// fenced says that fence holds, since a segment's first write expects 0.
	fenced bool
	// withdrawn is set on a claim in flight that nobody waits for.
	withdrawn bool
}

// cannotLand says whether no write of this op can land any more.
func (o *op) cannotLand(at position) bool { return !o.fenced || at.after(o.fence) }

// position is a version of one segment of a chain.
type position struct {
	number  uint64
	version Version
}

// after says whether a write that expects other meets a later version. That
// holds in the same segment, and where the chain has gone on: its segment was
// sealed by a write after that version.
func (p position) after(other position) bool {
	return p.number > other.number || p.number == other.number && p.version > other.version
}

type callKind uint8

const (
	callNone callKind = iota
	callRead
	callWrite
)

// shardState is a router's view of one shard and its work on it.
type shardState struct {
	index int
	// chain holds the sealed segments, nil until the whole chain was read.
	chain *chain
	// lastPosition is the position of the segment after them. Version zero: it does
	// not exist as far as this router knows.
	lastPosition position
	// lastSegment is the last segment's content, nil if it must be read.
	lastSegment *Segment
	// lastSegmentAsOf is a time at which copy was surely current.
	lastSegmentAsOf time.Time
	// contended is set while other routers write the shard too: reads are
	// cheaper than conflicts, so each round then reads first.
	contended bool
	// notBefore holds back rounds on an object of another format.
	notBefore    time.Time
	waiting      []*op
	callInFlight callKind
	// callStarted is when the call in flight began.
	callStarted time.Time
	// round are the ops of the write in flight, next what it writes.
	round       []*op
	nextSegment *Segment
	// emptying is set while the write in flight empties an expired segment.
	emptying bool
	// roundsSinceEmptying counts those since an expired segment was emptied.
	roundsSinceEmptying int
	queued              bool
	// urgent puts the shard before others in the queue after a round that
	// came to nothing. Its claims have waited a whole turn already; with one
	// more for each conflict the last callers of a burst would wait seconds.
	urgent bool
}

// Machine decides claims for one router. It does no I/O and reads no clock.
//
// Load: bookings and publications come in bursts, hundreds at once when a
// flight or a season opens, while the platform takes only some hundred writes
// a second from everybody. Claims of a shard therefore share writes, one in
// flight at a time, and rounds are paced for the whole router.
type Machine struct {
	self   claimer
	shards [Shards]shardState
	// queue holds shards with work, first come first served.
	queue []*shardState
	// spareQueue is the queue's other buffer.
	spareQueue []*shardState
	// interval is the time between rounds, nextRound when one may start.
	interval  time.Duration
	nextRound time.Time
	// platformSuspect is set while the platform did not answer the last call, and
	// awayUntil is when it is tried again.
	platformSuspect    bool
	unavailableUntil   time.Time
	callsInFlight      int
	pendingSettlements int
	flushing           bool
	actions            []Action
	limits             limits
}

// limits are the sizes of chains. Tests take small ones.
type limits struct {
	segmentBytes  int
	slots         uint64
	reservedSlots int
	maxKeys       int
}

// NewMachine returns a machine for one incarnation of a router.
func NewMachine(router state.Router, incarnation state.Incarnation) *Machine {
	m := &Machine{
		self:   claimer{router, incarnation},
		limits: limits{segmentBytes: SegmentBytes, slots: Slots, reservedSlots: reservedSlots, maxKeys: MaxKeys},
	}
	m.setFleetSize(defaultRouters)
	for i := range m.shards {
		m.shards[i].index = i
	}
	return m
}

// Pending counts changes that are not in the platform yet.
func (m *Machine) Pending() int {
	pending := 0
	for i := range m.shards {
		pending += len(m.shards[i].waiting) + len(m.shards[i].round)
	}
	return pending
}

// Step takes one event and returns what to do. The same events at the same
// times give the same actions. The slice is valid until the next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case ClaimWanted:
		m.handleWanted(now, e.Request)
	case ClaimWithdrawn:
		m.withdrawClaim(now, e.Request)
	case RequestFinished:
		m.handleFinished(now, e)
	case ReadDone:
		m.readDone(now, e)
	case WriteDone:
		m.writeDone(now, e)
	case FleetResized:
		m.setFleetSize(e.Routers)
	case FlushRequested:
		m.flushing = true
	case Tick:
	}
	m.startRounds(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// setFleetSize divides the fleet's rounds among its routers, so that calls to the
// platform do not grow with the fleet.
func (m *Machine) setFleetSize(routers int) {
	m.interval = time.Second * time.Duration(max(routers, 1)) / FleetRoundsPerSecond
}

func (m *Machine) handleWanted(now time.Time, req Request) {
	digest := req.Digest()
	s := &m.shards[ShardOf(digest)]
	m.enqueue(s, &op{kind: opClaim, digest: digest, claim: req.Attempt, arrived: now})
}

func (m *Machine) enqueue(s *shardState, o *op) {
	if o.kind != opClaim {
		m.pendingSettlements++
		if m.pendingSettlements > maxPendingSettlements {
			m.dropOldest(s)
		}
	}
	s.waiting = append(s.waiting, o)
	m.queueShard(s)
}

func (m *Machine) queueShard(s *shardState) {
	if s.queued || s.callInFlight != callNone || len(s.waiting) == 0 {
		return
	}
	s.queued = true
	if s.urgent {
		m.queue = slices.Insert(m.queue, 0, s)
		return
	}
	m.queue = append(m.queue, s)
}

// dropOldest forgets one completion or release of a shard. The entry stays as
// it is in the platform, so the key is never free by this.
func (m *Machine) dropOldest(s *shardState) {
	i := slices.IndexFunc(s.waiting, func(o *op) bool { return o.kind != opClaim })
	if i < 0 {
		return
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	m.pendingSettlements--
}

// withdrawClaim gives up a claim that was not used. One that no write has carried
// is just dropped; any other is released.
func (m *Machine) withdrawClaim(now time.Time, req Request) {
	digest := req.Digest()
	s := &m.shards[ShardOf(digest)]
	sameClaim := func(o *op) bool { return o.kind == opClaim && o.claim == req.Attempt }
	if i := slices.IndexFunc(s.round, sameClaim); i >= 0 {
		s.round[i].withdrawn = true
		return
	}
	i := slices.IndexFunc(s.waiting, sameClaim)
	if i < 0 {
		m.enqueue(s, &op{kind: opRelease, digest: digest, claim: req.Attempt, arrived: now})
		return
	}
	o := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	m.releaseIfFenced(now, s, o)
}

// releaseIfFenced takes a claim back that is not going to run. Only a write with an
// unknown outcome can have left something to take back.
func (m *Machine) releaseIfFenced(now time.Time, s *shardState, o *op) {
	if !o.fenced {
		return
	}
	m.enqueue(s, &op{kind: opRelease, digest: o.digest, claim: o.claim, arrived: now, fence: o.fence, fenced: true})
}

func (m *Machine) handleFinished(now time.Time, e RequestFinished) {
	if e.Ran == result.RanNo {
		m.withdrawClaim(now, e.Request)
		return
	}
	status := StatusCompleted
	if e.Ran == result.RanUnknown {
		status = StatusUnknown
	}
	digest := e.Request.Digest()
	o := &op{kind: opComplete, digest: digest, claim: e.Request.Attempt, arrived: now, status: status}
	m.enqueue(&m.shards[ShardOf(digest)], o)
}

func (m *Machine) decide(o *op, res result.Result) {
	if o.withdrawn {
		return
	}
	m.emit(Decide{Attempt: o.claim, Result: res})
}
