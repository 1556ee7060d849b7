package loadgen

// gapTracker follows the fairness gap of one service after the usual measure of
// fair queueing: the widest change of the difference of two workspaces' service
// over share, within any interval in which both had work waiting all the time.
// It is told as service at equal shares. What a workspace got while it or the
// other had nothing waiting is no unfairness and does not count.
type gapTracker struct {
	shares         []float64
	servedPerShare []float64
	lastServed     []float64
	waiting        []bool
	pairRanges     [][]differenceRange
	// servedWhileWaiting and due are, per workspace, the service got while it waited and
	// its share of all service meanwhile.
	servedWhileWaiting, dueWhileWaiting []float64
	// waitingSteps counts how often it waited at two looks in a row.
	waitingSteps []int
}

// differenceRange is the range of a difference during the present common backlog.
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

// observe takes the service so far and who waits, and returns the gap.
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

// updatePair returns the spread of a pair that waits together, else zero.
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

// addServiceWhileWaiting adds up what those got who waited the whole step.
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

// GapBound is the greatest fairness gap that a service may show.
type GapBound struct {
	Slots      int
	Workspaces int
	// MaxCost is the greatest single cost, LeastShare the least part.
	MaxCost  float64
	MinShare float64
	// CostPerSlotSecond is the service that one slot gives in a second.
	CostPerSlotSecond float64
	// CounterAgeSeconds is the age of the counters that owners choose by.
	CounterAgeSeconds float64
}

// Limit is in service at equal shares: twice what may be in progress and not
// charged, plus one largest request and all service that counters don't hold
// yet going to the workspace of least share.
func (b GapBound) Limit() float64 {
	n := float64(b.Workspaces)
	inProgress := float64(b.Slots) * b.MaxCost / n
	unreported := float64(b.Slots) * b.CostPerSlotSecond * b.CounterAgeSeconds
	return 2 * (inProgress + (b.MaxCost+unreported)/(b.MinShare*n))
}
