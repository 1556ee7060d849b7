package loadgen

// gapTracker tracks the fairness gap of one service by the common measure of
// fair queueing. For two workspaces, take the difference between their served
// cost divided by share. The gap is the maximum change of this difference
// within any interval in which both workspaces had requests waiting throughout,
// over all pairs.
//
// The gap is scaled to cost units at equal shares. Service that a workspace
// received while it or the other one had no requests waiting is not unfair and
// is not counted.
type gapTracker struct {
	shares []float64
	// servedPerShare is the cost served to each workspace, divided by its share
	// and by the number of workspaces. lastServed and waiting are the arguments
	// of the previous call of observe.
	servedPerShare []float64
	lastServed     []float64
	waiting        []bool
	// pairRanges holds an entry for workspaces i and j at [i][j], for j < i.
	pairRanges [][]differenceRange
	// servedWhileWaiting is the cost served to each workspace while it had
	// requests waiting. dueWhileWaiting is its share of the cost served to all
	// workspaces in the same time.
	servedWhileWaiting, dueWhileWaiting []float64
	// waitingSteps counts, for each workspace, the intervals between two
	// samples at both of which it had requests waiting.
	waitingSteps []int
}

// differenceRange is the range of the difference of servedPerShare between two
// workspaces since both have had requests waiting.
type differenceRange struct {
	min, max float64
}

func newGapTracker(shares []float64) *gapTracker {
	n := len(shares)
	g := &gapTracker{
		shares:             shares,
		servedPerShare:     make([]float64, n),
		lastServed:         make([]float64, n),
		waiting:            make([]bool, n),
		pairRanges:         make([][]differenceRange, n),
		servedWhileWaiting: make([]float64, n),
		dueWhileWaiting:    make([]float64, n),
		waitingSteps:       make([]int, n),
	}
	for i := range g.pairRanges {
		g.pairRanges[i] = make([]differenceRange, n)
	}
	return g
}

// observe processes one sample and returns the current fairness gap. The
// argument served holds the total cost served to each workspace so far, and
// waiting whether it has requests waiting.
func (g *gapTracker) observe(served []float64, waiting []bool) float64 {
	g.addServiceWhileWaiting(served, waiting)
	for i := range served {
		g.servedPerShare[i] += (served[i] - g.lastServed[i]) / g.shares[i] / float64(len(g.shares))
		g.lastServed[i] = served[i]
	}
	gap := 0.0
	for i := range waiting {
		for j := range i {
			gap = max(gap, g.updatePair(i, j, waiting[i] && waiting[j]))
		}
	}
	copy(g.waiting, waiting)
	return gap
}

// updatePair returns the width of the difference range of workspaces i and j if
// both have requests waiting, and zero otherwise. The range starts anew if one
// of them had none waiting at the previous sample.
func (g *gapTracker) updatePair(i, j int, bothWaiting bool) float64 {
	if !bothWaiting {
		return 0
	}
	difference := g.servedPerShare[i] - g.servedPerShare[j]
	pairRange := &g.pairRanges[i][j]
	if !g.waiting[i] || !g.waiting[j] {
		*pairRange = differenceRange{min: difference, max: difference}
	}
	pairRange.min = min(pairRange.min, difference)
	pairRange.max = max(pairRange.max, difference)
	return pairRange.max - pairRange.min
}

// addServiceWhileWaiting updates the totals of each workspace that had requests
// waiting at the previous sample and still has.
func (g *gapTracker) addServiceWhileWaiting(served []float64, waiting []bool) {
	total := 0.0
	for i := range served {
		total += served[i] - g.lastServed[i]
	}
	for i := range served {
		if g.waiting[i] && waiting[i] {
			g.servedWhileWaiting[i] += served[i] - g.lastServed[i]
			g.dueWhileWaiting[i] += total * g.shares[i]
			g.waitingSteps[i]++
		}
	}
}

// GapBound holds the quantities that bound the fairness gap of a service.
type GapBound struct {
	Slots      int
	Workspaces int
	// MaxCost is the maximum cost of a single request in cost units. MinShare
	// is the minimum share of a workspace, as a fraction of 1.
	MaxCost  float64
	MinShare float64
	// CostPerSlotSecond is the cost that one slot serves per second.
	CostPerSlotSecond float64
	// CounterAgeSeconds is the maximum age, in seconds, of the usage counters
	// from other routers that owners use when they select a workspace.
	CounterAgeSeconds float64
}

// Limit returns the maximum fairness gap, in cost units at equal shares. The
// gap is at most twice the sum of three terms: the cost in progress that has
// not been charged yet; one request of maximum cost; and all service that the
// counters do not include yet. The last two are assumed to go to the workspace
// with the minimum share.
func (b GapBound) Limit() float64 {
	workspaces := float64(b.Workspaces)
	inProgress := float64(b.Slots) * b.MaxCost / workspaces
	unreported := float64(b.Slots) * b.CostPerSlotSecond * b.CounterAgeSeconds
	return 2 * (inProgress + (b.MaxCost+unreported)/(b.MinShare*workspaces))
}
