// Package estimate learns what a request of a workspace costs. Hints given on
// arrival are rough, so only finished work teaches.
package estimate

import (
	"container/list"

	"github.com/figstile/figstile/state"
)

const (
	// newestWeight is the weight of the newest cost, once as many as its inverse
	// are known; until then all known ones weigh alike. Reservations carry
	// the estimate's noise into the choice of workspace, and with it into the
	// fairness gap. A hundredth follows a workspace that changes its kind of
	// work within a minute or two of heavy use.
	newestWeight = 0.01
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

// costMean is a mean over all costs at first, an exponentially weighted one
// later.
type costMean struct {
	mean  float64
	count float64
}

func (a *costMean) add(cost state.Cost) {
	a.count++
	a.mean += max(newestWeight, 1/a.count) * (float64(cost) - a.mean)
}

type entry struct {
	key Key
	costMean
}

// Estimator holds mean costs; the least recently updated key makes room for a
// new one.
type Estimator struct {
	capacity     int
	entries      map[Key]*list.Element
	byRecency    *list.List
	serviceMeans map[state.Service]*costMean
}

// New returns an estimator that remembers at most capacity keys.
func New(capacity int) *Estimator {
	return &Estimator{
		capacity:     capacity,
		entries:      make(map[Key]*list.Element),
		byRecency:    list.New(),
		serviceMeans: make(map[state.Service]*costMean),
	}
}

// Learn takes in the cost of a finished request.
func (e *Estimator) Learn(k Key, cost state.Cost) {
	if cost <= 0 {
		return
	}
	e.serviceMean(k.Service).add(cost)
	if el, ok := e.entries[k]; ok {
		known := el.Value.(*entry)
		known.add(cost)
		e.byRecency.MoveToFront(el)
		return
	}
	if e.byRecency.Len() >= e.capacity {
		oldest := e.byRecency.Back()
		delete(e.entries, oldest.Value.(*entry).key)
		e.byRecency.Remove(oldest)
	}
	e.entries[k] = e.byRecency.PushFront(&entry{key: k, costMean: costMean{mean: float64(cost), count: 1}})
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
	if known := e.serviceMeans[k.Service]; known != nil {
		return max(state.Cost(known.mean), 1)
	}
	return state.CostUnit
}

// RetainServices forgets the services that are not listed.
func (e *Estimator) RetainServices(keep func(state.Service) bool) {
	for name := range e.serviceMeans {
		if !keep(name) {
			delete(e.serviceMeans, name)
		}
	}
}

func (e *Estimator) serviceMean(name state.Service) *costMean {
	known := e.serviceMeans[name]
	if known == nil {
		known = &costMean{}
		e.serviceMeans[name] = known
	}
	return known
}
