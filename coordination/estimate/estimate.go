// Package estimate learns the cost of a workspace's requests. The cost hints
// that arrive with requests are rough, so costs are learned from finished
// requests only.
package estimate

import (
	"container/list"

	"github.com/figstile/figstile/state"
)

const (
	// newestWeight is the weight of the newest cost once 1/newestWeight costs
	// have been observed. Until then all costs have equal weight. Reservations
	// are based on the estimates, so noise in an estimate affects the choice of
	// the next workspace and with it the fairness gap. A weight of 0.01 follows
	// a workspace that changes its kind of requests within one or two minutes
	// of heavy use.
	newestWeight = 0.01
	// DefaultCapacity bounds the number of learned keys. It is many times
	// larger than needed for some hundred workspaces with a few services each,
	// and it keeps a faulty caller from exhausting memory with invented names.
	DefaultCapacity = 4096
)

// Key identifies a learned cost.
type Key struct {
	Service   state.Service
	Workspace state.Workspace
}

// costMean is the arithmetic mean of the first costs and an exponentially
// weighted mean later.
type costMean struct {
	mean  float64
	count float64
}

func (m *costMean) add(cost state.Cost) {
	m.count++
	m.mean += max(newestWeight, 1/m.count) * (float64(cost) - m.mean)
}

type entry struct {
	key Key
	costMean
}

// Estimator holds mean costs. When it is full, a new key replaces the least
// recently updated one.
type Estimator struct {
	capacity     int
	entries      map[Key]*list.Element
	byRecency    *list.List
	serviceMeans map[state.Service]*costMean
}

// New returns an estimator that stores at most capacity keys.
func New(capacity int) *Estimator {
	return &Estimator{
		capacity:     capacity,
		entries:      make(map[Key]*list.Element),
		byRecency:    list.New(),
		serviceMeans: make(map[state.Service]*costMean),
	}
}

// Learn adds the cost of a finished request.
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

// Estimate returns the expected cost, at least one thousandth of a cost unit.
// It is the learned mean of the workspace, or else the hint if there is one, or
// else the mean of the service, or else one whole cost unit.
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

// RetainServices removes the means of the services for which keep returns
// false.
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
