// Package estimate learns what a request of a workspace costs. Hints given on
// arrival are rough, so only finished work teaches.
package estimate

import (
	"container/list"

	"github.com/figstile/figstile/state"
)

const (
	// smoothing is the weight of the newest cost. One in ten follows a
	// workspace that changes its kind of work within some tens of requests,
	// and keeps a single long guide from multiplying the next reservations.
	smoothing = 0.1
	// DefaultCapacity bounds the learned keys. Some hundred workspaces over a
	// few services fit many times over; names invented by a faulty caller
	// cannot grow the memory.
	DefaultCapacity = 4096
)

// Key names what is learned.
type Key struct {
	Service   state.Service
	Workspace state.Workspace
}

type entry struct {
	key  Key
	mean float64
}

// Estimator holds exponentially weighted mean costs; the least recently
// updated key makes room for a new one.
type Estimator struct {
	capacity int
	entries  map[Key]*list.Element
	recent   *list.List
	services map[state.Service]float64
}

// New returns an estimator that remembers at most capacity keys.
func New(capacity int) *Estimator {
	return &Estimator{
		capacity: capacity,
		entries:  make(map[Key]*list.Element),
		recent:   list.New(),
		services: make(map[state.Service]float64),
	}
}

// Learn takes in the cost of a finished request.
func (e *Estimator) Learn(k Key, cost state.Cost) {
	if cost <= 0 {
		return
	}
	e.services[k.Service] = blend(e.services[k.Service], cost)
	if el, ok := e.entries[k]; ok {
		known := el.Value.(*entry)
		known.mean = blend(known.mean, cost)
		e.recent.MoveToFront(el)
		return
	}
	if e.recent.Len() >= e.capacity {
		oldest := e.recent.Back()
		delete(e.entries, oldest.Value.(*entry).key)
		e.recent.Remove(oldest)
	}
	e.entries[k] = e.recent.PushFront(&entry{key: k, mean: float64(cost)})
}

// Estimate returns the expected cost, at least one thousandth of a unit. A
// hint only counts until something is known of the workspace, then the mean
// of the service, then one whole unit.
func (e *Estimator) Estimate(k Key, hint state.Cost) state.Cost {
	if el, ok := e.entries[k]; ok {
		return max(state.Cost(el.Value.(*entry).mean), 1)
	}
	if hint > 0 {
		return hint
	}
	if mean := e.services[k.Service]; mean > 0 {
		return max(state.Cost(mean), 1)
	}
	return state.CostUnit
}

// Retain forgets the services that are not listed.
func (e *Estimator) Retain(keep func(state.Service) bool) {
	for name := range e.services {
		if !keep(name) {
			delete(e.services, name)
		}
	}
}

func blend(mean float64, cost state.Cost) float64 {
	if mean == 0 {
		return float64(cost)
	}
	return mean + smoothing*(float64(cost)-mean)
}
