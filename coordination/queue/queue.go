// Package queue holds the requests that wait at one router, first come first
// served per service, workspace and model. It is bounded per workspace and
// over the whole router, in requests and in bytes, so that a flood ends in
// refusals and not in lost memory.
package queue

import (
	"container/list"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Limits bound what may wait. Zero fields take their defaults.
type Limits struct {
	Requests int
	Bytes    int64
}

const (
	// defaultRequests and defaultBytes bound one workspace of one service:
	// minutes of work at the sizes of today, far beyond the patience of
	// callers, and small beside the router's total, so that one workspace
	// cannot fill the router alone.
	defaultRequests = 256
	defaultBytes    = 32 << 20
	// DefaultTotalRequests and DefaultTotalBytes bound a router. Entry VMs
	// are small: a quarter of a gigabyte of bodies leaves room for answers.
	DefaultTotalRequests = 8192
	DefaultTotalBytes    = 256 << 20
)

// avoidanceTime is how long a retry waits for another upstream than the one that
// failed it: several grants' round trips, and no longer, because the others
// may be gone.
const avoidanceTime = time.Second

func (l Limits) withDefaults(requests int, bytes int64) Limits {
	if l.Requests <= 0 {
		l.Requests = requests
	}
	if l.Bytes <= 0 {
		l.Bytes = bytes
	}
	return l
}

// Key names one first-come-first-served line.
type Key struct {
	Service   state.Service
	Workspace state.Workspace
	Model     state.Model
}

// Item is one waiting request.
type Item struct {
	Key
	ID          state.RequestID
	Bytes       int64
	CostHint    state.Cost
	Arrived     time.Time
	Deadline    time.Time
	Repeatable  bool
	Fingerprint state.Fingerprint
	// Dispatches counts earlier tries, Last is the upstream of the latest,
	// and Sent says that some try may have reached its upstream.
	Dispatches   int
	LastUpstream state.Upstream
	MaybeSent    bool

	// avoidUntil is how long a retry keeps away from Last.
	avoidUntil time.Time
	element    *list.Element
}

type workspaceKey struct {
	service   state.Service
	workspace state.Workspace
}

// workspaceQueue is what waits of one workspace for one service.
type workspaceQueue struct {
	requests int
	bytes    int64
	byModel  map[state.Model]*list.List
	pace     departurePace
}

// Set holds all queues of a router.
type Set struct {
	totalLimits Limits
	requests    int
	bytes       int64
	items       map[state.RequestID]*Item
	workspaces  map[workspaceKey]*workspaceQueue
	deadlines   *btree.BTreeG[*Item]
}

// New returns empty queues bounded by total.
func New(total Limits) *Set {
	return &Set{
		totalLimits: total.withDefaults(DefaultTotalRequests, DefaultTotalBytes),
		items:       make(map[state.RequestID]*Item),
		workspaces:  make(map[workspaceKey]*workspaceQueue),
		deadlines:   btree.NewG(16, dueBefore),
	}
}

func dueBefore(a, b *Item) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}

// Admit queues a new request or returns the code to refuse it with.
//
// Made for floods and saturation: a request that cannot be served in time is
// told so on arrival, when its caller can still go elsewhere, instead of
// holding memory until its deadline. Only a workspace that already has
// requests waiting is refused for its estimated wait, so a wrong estimate is
// always put right by the next request.
func (s *Set) Admit(now time.Time, it Item, limits Limits) result.Code {
	if !it.Deadline.After(now) {
		return result.DeadlineTooShort
	}
	limits = limits.withDefaults(defaultRequests, defaultBytes)
	q := s.workspaces[workspaceKey{it.Service, it.Workspace}]
	if q != nil {
		switch {
		case q.requests >= limits.Requests:
			return result.QueueFull
		case q.bytes+it.Bytes > limits.Bytes:
			return result.QueueBytesFull
		case now.Add(q.estimatedWait(now)).After(it.Deadline):
			return result.DeadlineTooShort
		}
	}
	if it.Bytes > limits.Bytes {
		return result.QueueBytesFull
	}
	if s.requests >= s.totalLimits.Requests || s.bytes+it.Bytes > s.totalLimits.Bytes {
		return result.TooManyRequests
	}
	s.insert(now, &it, false)
	return result.OK
}

// Requeue puts a request that was already admitted back at the head. The
// bounds do not apply: it was counted before, and there are no more of these
// than there were slots.
func (s *Set) Requeue(now time.Time, it *Item) {
	it.avoidUntil = now.Add(avoidanceTime)
	s.insert(now, it, true)
}

func (s *Set) insert(now time.Time, it *Item, front bool) {
	key := workspaceKey{it.Service, it.Workspace}
	q := s.workspaces[key]
	if q == nil {
		q = &workspaceQueue{byModel: make(map[state.Model]*list.List), pace: departurePace{lastDeparture: now}}
		s.workspaces[key] = q
	}
	l := q.byModel[it.Model]
	if l == nil {
		l = list.New()
		q.byModel[it.Model] = l
	}
	if front {
		it.element = l.PushFront(it)
	} else {
		it.element = l.PushBack(it)
	}
	if q.requests == 0 {
		q.pace.lastDeparture = now
	}
	q.requests++
	q.bytes += it.Bytes
	s.requests++
	s.bytes += it.Bytes
	s.items[it.ID] = it
	s.deadlines.ReplaceOrInsert(it)
}

func (s *Set) remove(it *Item) {
	key := workspaceKey{it.Service, it.Workspace}
	q := s.workspaces[key]
	l := q.byModel[it.Model]
	l.Remove(it.element)
	it.element = nil
	if l.Len() == 0 {
		delete(q.byModel, it.Model)
	}
	q.requests--
	q.bytes -= it.Bytes
	s.requests--
	s.bytes -= it.Bytes
	delete(s.items, it.ID)
	s.deadlines.Delete(it)
}

// Head returns the oldest request of a line, or nil.
func (s *Set) Head(k Key) *Item {
	q := s.workspaces[workspaceKey{k.Service, k.Workspace}]
	if q == nil || q.byModel[k.Model] == nil {
		return nil
	}
	return q.byModel[k.Model].Front().Value.(*Item)
}

// Len counts the requests of a line.
func (s *Set) Len(k Key) int {
	q := s.workspaces[workspaceKey{k.Service, k.Workspace}]
	if q == nil || q.byModel[k.Model] == nil {
		return 0
	}
	return q.byModel[k.Model].Len()
}

// Take removes the request to run next on an upstream, or returns nil. A
// request that just failed on this upstream lets the next one pass.
func (s *Set) Take(now time.Time, k Key, upstream state.Upstream) *Item {
	it := s.Head(k)
	for it != nil && it.avoids(now, upstream) {
		next := it.element.Next()
		if next == nil {
			return nil
		}
		it = next.Value.(*Item)
	}
	if it == nil {
		return nil
	}
	s.remove(it)
	q := s.workspaces[workspaceKey{k.Service, k.Workspace}]
	q.pace.recordDeparture(now)
	if q.requests == 0 {
		// The rush is over. Its pace would refuse the next burst for waits
		// that nobody has any more.
		q.pace.interval = 0
	}
	return it
}

func (it *Item) avoids(now time.Time, upstream state.Upstream) bool {
	return it.LastUpstream == upstream && now.Before(it.avoidUntil)
}

// Remove takes a request out, or returns nil if it does not wait.
func (s *Set) Remove(id state.RequestID) *Item {
	it := s.items[id]
	if it != nil {
		s.remove(it)
	}
	return it
}

// TakeExpired removes and returns the requests whose deadline has come.
func (s *Set) TakeExpired(now time.Time) []*Item {
	var expired []*Item
	for {
		it, ok := s.deadlines.Min()
		if !ok || it.Deadline.After(now) {
			return expired
		}
		s.remove(it)
		expired = append(expired, it)
	}
}

// EstimatedWait estimates how long a request of a workspace arriving now would wait.
func (s *Set) EstimatedWait(now time.Time, service state.Service, workspace state.Workspace) time.Duration {
	q := s.workspaces[workspaceKey{service, workspace}]
	if q == nil {
		return 0
	}
	return q.estimatedWait(now)
}

// Waiting counts the requests of a workspace for a service.
func (s *Set) Waiting(service state.Service, workspace state.Workspace) int {
	q := s.workspaces[workspaceKey{service, workspace}]
	if q == nil {
		return 0
	}
	return q.requests
}

// Total counts all waiting requests.
func (s *Set) Total() int {
	return s.requests
}

// ForgetIdle forgets workspaces that have had nothing waiting for a while, so that
// memory follows the active ones.
func (s *Set) ForgetIdle(now time.Time) {
	for k, q := range s.workspaces {
		if q.requests == 0 && now.Sub(q.pace.lastDeparture) > paceMemory {
			delete(s.workspaces, k)
		}
	}
}
