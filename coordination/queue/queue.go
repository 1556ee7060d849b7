// Package queue holds the requests that wait at one router, in
// first-come-first-served order per service, workspace and model. The number of
// requests and their bytes are bounded per workspace and for the whole router,
// so that a flood leads to refusals and does not exhaust the memory.
package queue

import (
	"container/list"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Limits bounds the waiting requests. Fields that are zero take their defaults.
type Limits struct {
	Requests int
	Bytes    int64
}

const (
	// defaultRequests and defaultBytes bound the requests of one workspace for
	// one service. They allow for minutes of work at current request sizes,
	// which is far longer than callers wait, and are small compared with the
	// router's total, so that one workspace cannot fill the router alone.
	defaultRequests = 256
	defaultBytes    = 32 << 20
	// DefaultTotalRequests and DefaultTotalBytes bound the waiting requests of
	// a router. The VMs of routers are small: 256 MiB of request bodies leave
	// enough memory for answers.
	DefaultTotalRequests = 8192
	DefaultTotalBytes    = 256 << 20
)

// avoidanceTime is the time for which a retry waits for an upstream other than
// the one that failed it. It is long enough for several round trips of grants,
// and not longer, because the other upstreams may be unavailable.
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

// Key identifies one first-come-first-served queue.
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
	// Dispatches is the number of earlier attempts and LastUpstream the
	// upstream of the latest one. MaybeSent is set if some attempt may have
	// reached its upstream.
	Dispatches   int
	LastUpstream state.Upstream
	MaybeSent    bool

	// avoidUntil is the time until which a retry avoids LastUpstream.
	avoidUntil time.Time
	element    *list.Element
}

type workspaceKey struct {
	service   state.Service
	workspace state.Workspace
}

// workspaceQueue holds the waiting requests of one workspace for one service.
type workspaceQueue struct {
	requests int
	bytes    int64
	byModel  map[state.Model]*list.List
	pace     departurePace
}

// Set holds all queues of a router. It must not be used concurrently.
type Set struct {
	totalLimits Limits
	requests    int
	bytes       int64
	items       map[state.RequestID]*Item
	workspaces  map[workspaceKey]*workspaceQueue
	deadlines   *btree.BTreeG[*Item]
}

// New returns empty queues with the given bound for the whole router.
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
// Under floods and saturation, a request that cannot be served in time is
// refused on arrival, when its caller can still go elsewhere, instead of using
// memory until its deadline. Only a workspace that already has waiting requests
// is refused for its estimated wait, so a wrong estimate is always corrected by
// the next request.
func (s *Set) Admit(now time.Time, item Item, limits Limits) result.Code {
	if !item.Deadline.After(now) {
		return result.DeadlineTooShort
	}
	limits = limits.withDefaults(defaultRequests, defaultBytes)
	q := s.workspaces[workspaceKey{item.Service, item.Workspace}]
	if q != nil {
		switch {
		case q.requests >= limits.Requests:
			return result.QueueFull
		case q.bytes+item.Bytes > limits.Bytes:
			return result.QueueBytesFull
		case now.Add(q.estimatedWait(now)).After(item.Deadline):
			return result.DeadlineTooShort
		}
	}
	if item.Bytes > limits.Bytes {
		return result.QueueBytesFull
	}
	if s.requests >= s.totalLimits.Requests || s.bytes+item.Bytes > s.totalLimits.Bytes {
		return result.TooManyRequests
	}
	s.insert(now, &item, false)
	return result.OK
}

// Requeue puts a request that was already admitted back at the head of its
// queue. The bounds do not apply: the request was counted before, and there are
// no more such requests than there were slots.
func (s *Set) Requeue(now time.Time, item *Item) {
	item.avoidUntil = now.Add(avoidanceTime)
	s.insert(now, item, true)
}

func (s *Set) insert(now time.Time, item *Item, front bool) {
	key := workspaceKey{item.Service, item.Workspace}
	q := s.workspaces[key]
	if q == nil {
		q = &workspaceQueue{byModel: make(map[state.Model]*list.List), pace: departurePace{lastDeparture: now}}
		s.workspaces[key] = q
	}
	l := q.byModel[item.Model]
	if l == nil {
		l = list.New()
		q.byModel[item.Model] = l
	}
	if front {
		item.element = l.PushFront(item)
	} else {
		item.element = l.PushBack(item)
	}
	if q.requests == 0 {
		q.pace.lastDeparture = now
	}
	q.requests++
	q.bytes += item.Bytes
	s.requests++
	s.bytes += item.Bytes
	s.items[item.ID] = item
	s.deadlines.ReplaceOrInsert(item)
}

func (s *Set) remove(item *Item) {
	key := workspaceKey{item.Service, item.Workspace}
	q := s.workspaces[key]
	l := q.byModel[item.Model]
	l.Remove(item.element)
	item.element = nil
	if l.Len() == 0 {
		delete(q.byModel, item.Model)
	}
	q.requests--
	q.bytes -= item.Bytes
	s.requests--
	s.bytes -= item.Bytes
	delete(s.items, item.ID)
	s.deadlines.Delete(item)
}

// Head returns the oldest request of a queue, or nil.
func (s *Set) Head(k Key) *Item {
	q := s.workspaces[workspaceKey{k.Service, k.Workspace}]
	if q == nil || q.byModel[k.Model] == nil {
		return nil
	}
	return q.byModel[k.Model].Front().Value.(*Item)
}

// Len returns the number of requests in a queue.
func (s *Set) Len(k Key) int {
	q := s.workspaces[workspaceKey{k.Service, k.Workspace}]
	if q == nil || q.byModel[k.Model] == nil {
		return 0
	}
	return q.byModel[k.Model].Len()
}

// Take removes and returns the request to run next on an upstream, or nil if
// there is none. A request that has just failed on this upstream is skipped.
func (s *Set) Take(now time.Time, k Key, upstream state.Upstream) *Item {
	item := s.Head(k)
	for item != nil && item.avoids(now, upstream) {
		next := item.element.Next()
		if next == nil {
			return nil
		}
		item = next.Value.(*Item)
	}
	if item == nil {
		return nil
	}
	s.remove(item)
	q := s.workspaces[workspaceKey{k.Service, k.Workspace}]
	q.pace.recordDeparture(now)
	if q.requests == 0 {
		// The burst is over. With its pace, requests of the next burst would be
		// refused for a wait that no longer exists.
		q.pace.interval = 0
	}
	return item
}

func (item *Item) avoids(now time.Time, upstream state.Upstream) bool {
	return item.LastUpstream == upstream && now.Before(item.avoidUntil)
}

// Remove removes and returns a request, or returns nil if it does not wait.
func (s *Set) Remove(id state.RequestID) *Item {
	item := s.items[id]
	if item != nil {
		s.remove(item)
	}
	return item
}

// TakeExpired removes and returns the requests whose deadline has passed.
func (s *Set) TakeExpired(now time.Time) []*Item {
	var expired []*Item
	for {
		item, ok := s.deadlines.Min()
		if !ok || item.Deadline.After(now) {
			return expired
		}
		s.remove(item)
		expired = append(expired, item)
	}
}

// EstimatedWait returns the estimated wait of a request of a workspace that
// arrives now.
func (s *Set) EstimatedWait(now time.Time, service state.Service, workspace state.Workspace) time.Duration {
	q := s.workspaces[workspaceKey{service, workspace}]
	if q == nil {
		return 0
	}
	return q.estimatedWait(now)
}

// Waiting returns the number of waiting requests of a workspace for a service.
func (s *Set) Waiting(service state.Service, workspace state.Workspace) int {
	q := s.workspaces[workspaceKey{service, workspace}]
	if q == nil {
		return 0
	}
	return q.requests
}

// Total returns the number of all waiting requests.
func (s *Set) Total() int {
	return s.requests
}

// ForgetIdle removes workspaces that have had no waiting requests for
// paceMemory, so that only active workspaces use memory.
func (s *Set) ForgetIdle(now time.Time) {
	for k, q := range s.workspaces {
		if q.requests == 0 && now.Sub(q.pace.lastDeparture) > paceMemory {
			delete(s.workspaces, k)
		}
	}
}
