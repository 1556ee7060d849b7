package loadgen

// gapTracker follows the fairness gap of one service after the usual measure of
// fair queueing: the widest change of the difference of two workspaces' service
// over share, within any interval in which both had work waiting all the time.
// It is told as service at equal shares. What a workspace got while it or the
// other had nothing waiting is no unfairness and does not count.
type gapTracker struct {
	shares  []float64
	virtual []float64
	last    []float64
	waiting []bool
	pairs   [][]spread
	// own and due are, per workspace, the service got while it waited and
	// its share of all service meanwhile.
	own, due []float64
	// steps counts how often it waited at two looks in a row.
	steps []int
}

// spread is the range of a difference during the present common backlog.
type spread struct {
	low, high float64
}

func newGapTracker(shares []float64) *gapTracker {
	n := len(shares)
	g := &gapTracker{
		shares:  shares,
		virtual: make([]float64, n),
		last:    make([]float64, n),
		waiting: make([]bool, n),
		pairs:   make([][]spread, n),
		own:     make([]float64, n),
		due:     make([]float64, n),
		steps:   make([]int, n),
	}
	for i := range g.pairs {
		g.pairs[i] = make([]spread, n)
	}
	return g
}

// observe takes the service so far and who waits, and returns the gap.
func (g *gapTracker) observe(served []float64, waiting []bool) float64 {
	g.credit(served, waiting)
	for i := range served {
		g.virtual[i] += (served[i] - g.last[i]) / g.shares[i] / float64(len(g.shares))
		g.last[i] = served[i]
	}
	gap := 0.0
	for i := range waiting {
		for j := range i {
			gap = max(gap, g.compare(i, j, waiting[i] && waiting[j]))
		}
	}
	copy(g.waiting, waiting)
	return gap
}

// compare returns the spread of a pair that waits together, else zero.
func (g *gapTracker) compare(i, j int, together bool) float64 {
	if !together {
		return 0
	}
	difference := g.virtual[i] - g.virtual[j]
	pair := &g.pairs[i][j]
	if !g.waiting[i] || !g.waiting[j] {
		*pair = spread{low: difference, high: difference}
	}
	pair.low = min(pair.low, difference)
	pair.high = max(pair.high, difference)
	return pair.high - pair.low
}

// credit adds up what those got who waited the whole step.
func (g *gapTracker) credit(served []float64, waiting []bool) {
	total := 0.0
	for i := range served {
		total += served[i] - g.last[i]
	}
	for i := range served {
		if g.waiting[i] && waiting[i] {
			g.own[i] += served[i] - g.last[i]
			g.due[i] += total * g.shares[i]
			g.steps[i]++
		}
	}
}

// Bound is the greatest fairness gap that a service may show.
type Bound struct {
	Slots      int
	Workspaces int
	// Largest is the greatest single cost, LeastShare the least part.
	Largest    float64
	LeastShare float64
	// Rate is the service that one slot gives in a second.
	Rate float64
	// StaleSeconds is the age of the counters that owners choose by.
	StaleSeconds float64
}

// Limit is in service at equal shares: twice what may be in progress and not
// charged, plus one largest request and all service that counters don't hold
// yet going to the workspace of least share.
func (b Bound) Limit() float64 {
	n := float64(b.Workspaces)
	inProgress := float64(b.Slots) * b.Largest / n
	unheard := float64(b.Slots) * b.Rate * b.StaleSeconds
	return 2 * (inProgress + (b.Largest+unheard)/(b.LeastShare*n))
}
