package upstream

import (
	"context"
	"slices"
	"sync"
)

// slotQueue hands out a number of slots in the order in which places in the
// queue were taken.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	waiting []*slotPlace
}

// slotPlace is a place in a slotQueue. Its channel is closed once it has a
// slot.
type slotPlace struct{ granted chan struct{} }

// join takes the last place in the queue. It does not block, so that callers
// can take places in the order in which they hold a lock of their own.
func (q *slotQueue) join() *slotPlace {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := &slotPlace{granted: make(chan struct{})}
	q.waiting = append(q.waiting, p)
	q.grant()
	return p
}

// grant gives the free slots to the first places. The caller holds the lock.
func (q *slotQueue) grant() {
	for q.free > 0 && len(q.waiting) > 0 {
		q.free--
		close(q.waiting[0].granted)
		q.waiting = q.waiting[1:]
	}
}

// wait waits until a place has a slot or the context ends. It returns the error
// of the context; the place then still has to be left.
func (p *slotPlace) wait(ctx context.Context) error {
	select {
	case <-p.granted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leave gives up a place, and its slot if it has one.
func (q *slotQueue) leave(p *slotPlace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, p); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return
	}
	q.free++
	q.grant()
}
