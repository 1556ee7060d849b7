package claims

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// opKind is the kind of change that an op makes to a shard.
type opKind uint8

const (
	opClaim opKind = iota + 1
	opComplete
	opRelease
)

// op is one change that this router wants to make to a shard.
type op struct {
	kind    opKind
	digest  Digest
	claim   state.AttemptID
	arrived time.Time
	// status is the status that opComplete sets.
	status Status
	// fence is the position that the last write with an unknown outcome
	// expected. Until the chain is past it, that write may still take effect.
	fence position
	// fenced is set if fence is valid. A zero fence does not show this, since
	// the first write of a segment expects version 0.
	fenced bool
	// withdrawn is set on a claim in flight whose caller no longer waits.
	withdrawn bool
}

// cannotTakeEffect reports whether no earlier write of this op can take effect
// any more.
func (o *op) cannotTakeEffect(at position) bool { return !o.fenced || at.after(o.fence) }

// position is a version of one segment of a chain.
type position struct {
	number  uint64
	version Version
}

// after reports whether a write that expects the position other meets a later
// version and fails. That is so if the same segment has a later version, and if
// the chain has a later segment, because then the segment was sealed by a write
// after that version.
func (p position) after(other position) bool {
	return p.number > other.number || p.number == other.number && p.version > other.version
}

type callKind uint8

const (
	callNone callKind = iota
	callRead
	callWrite
)

// shardState is this router's view of one shard and its pending changes to it.
type shardState struct {
	index int
	// chain holds the sealed segments. It is nil until the whole chain was
	// read.
	chain *chain
	// lastPosition is the position of the segment after the sealed ones. A
	// version of zero means that the segment does not exist as far as this
	// router knows.
	lastPosition position
	// lastSegment is the content of the last segment. It is nil if the segment
	// must be read.
	lastSegment *Segment
	// lastSegmentAsOf is a time at which lastSegment was certainly current.
	lastSegmentAsOf time.Time
	// contended is set while other routers also write to the shard. Reads are
	// cheaper than conflicts, so each round then begins with a read.
	contended bool
	// notBefore is the time before which no round starts, after one that cannot
	// continue, for example because of an object of another format.
	notBefore    time.Time
	waiting      []*op
	callInFlight callKind
	// callStarted is the time at which the call in flight started.
	callStarted time.Time
	// round lists the ops in the write in flight. nextSegment is the segment
	// that it writes.
	round       []*op
	nextSegment *Segment
	// emptying is set while the write in flight empties an expired segment.
	emptying bool
	// roundsSinceEmptying is the number of rounds since an expired segment was
	// emptied.
	roundsSinceEmptying int
	queued              bool
	// urgent puts the shard at the head of the queue after a round that decided
	// nothing. Its claims have already waited for a full turn. If they waited
	// another turn after each conflict, the last callers of a burst would wait
	// for seconds.
	urgent bool
}

// Machine decides claims for one router. It does no I/O and reads no clock.
//
// Keyed requests come in bursts of hundreds at once, while the platform accepts
// only a few hundred writes per second from all its clients. Therefore the
// claims of a shard share writes, with one write in flight at a time, and the
// rate of rounds is limited for the whole router.
type Machine struct {
	self   claimer
	shards [Shards]shardState
	// queue holds the shards with pending changes, in first-come-first-served
	// order.
	queue []*shardState
	// spareQueue is the second buffer of the queue.
	spareQueue []*shardState
	// interval is the minimum time between two rounds. nextRound is the
	// earliest time of the next one.
	interval  time.Duration
	nextRound time.Time
	// platformSuspect is set if the platform did not answer the last call.
	// unavailableUntil is the time at which it is tried again.
	platformSuspect    bool
	unavailableUntil   time.Time
	callsInFlight      int
	pendingSettlements int
	flushing           bool
	actions            []Action
	limits             limits
}

// limits holds the sizes of chains. Tests use small ones.
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

// Pending returns the number of changes that are not stored in the platform
// yet.
func (m *Machine) Pending() int {
	pending := 0
	for i := range m.shards {
		pending += len(m.shards[i].waiting) + len(m.shards[i].round)
	}
	return pending
}

// Step processes one event and returns the actions for the host. The same
// events at the same times give the same actions. The slice is valid until the
// next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case ClaimWanted:
		m.handleClaimWanted(now, e.Request)
	case ClaimWithdrawn:
		m.withdrawClaim(now, e.Request)
	case RequestFinished:
		m.handleRequestFinished(now, e)
	case ReadDone:
		m.handleReadDone(now, e)
	case WriteDone:
		m.handleWriteDone(now, e)
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

// setFleetSize divides the rounds of the fleet among its routers, so that the
// rate of calls to the platform does not grow with the fleet.
func (m *Machine) setFleetSize(routers int) {
	m.interval = time.Second * time.Duration(max(routers, 1)) / FleetRoundsPerSecond
}

func (m *Machine) handleClaimWanted(now time.Time, req Request) {
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

// dropOldest drops the oldest completion or release of a shard. The entry in
// the platform stays as it is, so this never frees a key.
func (m *Machine) dropOldest(s *shardState) {
	i := slices.IndexFunc(s.waiting, func(o *op) bool { return o.kind != opClaim })
	if i < 0 {
		return
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	m.pendingSettlements--
}

// withdrawClaim gives up a claim that was not used. If no write has included
// it, it is just dropped; otherwise it is released.
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

// releaseIfFenced releases a claim that will not run. Only after a write with
// an unknown outcome can the platform hold an entry that must be released.
func (m *Machine) releaseIfFenced(now time.Time, s *shardState, o *op) {
	if !o.fenced {
		return
	}
	m.enqueue(s, &op{kind: opRelease, digest: o.digest, claim: o.claim, arrived: now, fence: o.fence, fenced: true})
}

func (m *Machine) handleRequestFinished(now time.Time, e RequestFinished) {
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
