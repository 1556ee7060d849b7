package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Row is one line of a role's table.
type Row struct {
	Role   Role    `json:"role"`
	Metric string  `json:"figure"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	// Limit is zero if there is none.
	Limit float64 `json:"limit,omitempty"`
	// BreaksAtRouters is the number of routers at which a fleet that grows evenly
	// breaks the limit; zero if it does not within the range looked at.
	BreaksAtRouters float64 `json:"breaks_at,omitempty"`
	Mechanism       string  `json:"mechanism"`
}

// limitTolerance is by how much a value may pass its limit and still keep it: the
// plan fills the traffic up to the limit, but for rounding.
const limitTolerance = 1e-9

// ExceedsLimit tells whether the limit is exceeded.
func (r Row) ExceedsLimit() bool { return r.Limit > 0 && r.Value > r.Limit*(1+limitTolerance) }

// Report is what a fleet of one size costs.
type Report struct {
	Fleet Fleet `json:"fleet"`
	Rows  []Row `json:"rows"`
	// FirstToBreak is the line that breaks at the smallest size.
	FirstToBreak Row `json:"first"`
	// Plan is the mechanisms that replace today's, and Planned their sum with
	// today's limits.
	Plan        []Step `json:"plan"`
	PlannedRows []Row  `json:"planned"`
	// ExchangeIntervalSeconds is the seconds between exchanges of counters in the plan,
	// Stale their greatest age, OwnKeys the claims a second of callers' own
	// keys that it can take.
	ExchangeIntervalSeconds float64        `json:"interval_s"`
	CounterStalenessSeconds float64        `json:"stale_s"`
	CallerKeysPerSecond     float64        `json:"own_keys"`
	Events                  []FailureEvent `json:"events"`
}

// NewReport calculates a fleet.
func NewReport(f Fleet, slopes *Slopes) (*Report, error) {
	c, err := newCalculator(f, slopes)
	if err != nil {
		return nil, err
	}
	r := &Report{Fleet: f, ExchangeIntervalSeconds: c.exchangeInterval(), CallerKeysPerSecond: c.callerKeysPerSecond(), Events: c.events()}
	r.CounterStalenessSeconds = exchangeHops * r.ExchangeIntervalSeconds
	for _, metric := range reportMetrics() {
		r.Rows = append(r.Rows, metric.toRow(c))
	}
	r.FirstToBreak = firstToBreak(r.Rows)
	for _, s := range planSteps() {
		r.Plan = append(r.Plan, s.toStep(c, r.Rows))
	}
	r.PlannedRows = c.plannedRows()
	return r, nil
}

// exchangeHops is the exchanges that a counter goes through in the plan: to
// its home, from there to the homes of other data centres, through their
// region, and to the owners.
const exchangeHops = 4

func (m reportMetric) toRow(c *calculator) Row {
	row := Row{Role: m.role, Metric: m.name, Unit: m.unit, Value: m.value(c), Mechanism: m.mechanism}
	if m.limit != nil {
		row.Limit = m.limit(c)
		row.BreaksAtRouters = m.routersAtLimit(c)
	}
	return row
}

// maxScale is by how much larger or smaller fleets are looked at.
const maxScale = 1000

// routersAtLimit finds the size at which a limit breaks, between sizes with and
// without a breach. Costs never fall as a fleet grows.
func (m reportMetric) routersAtLimit(c *calculator) float64 {
	withinLimit := func(k float64) bool {
		scaled := c.scaled(k)
		return m.value(scaled) <= m.limit(scaled)*(1+limitTolerance)
	}
	low, high := 1/(maxScale*c.Routers), float64(maxScale)
	if withinLimit(high) {
		return 0
	}
	for high/low > 1.0001 {
		middle := math.Sqrt(low * high)
		if withinLimit(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return c.Routers * high
}

// sortedByBreak lists the lines that break, the first one first.
func sortedByBreak(rows []Row) []Row {
	broken := slices.DeleteFunc(slices.Clone(rows), func(row Row) bool { return row.BreaksAtRouters == 0 })
	slices.SortStableFunc(broken, func(a, b Row) int { return cmp.Compare(a.BreaksAtRouters, b.BreaksAtRouters) })
	return broken
}

func firstToBreak(rows []Row) Row {
	broken := sortedByBreak(rows)
	if len(broken) == 0 {
		return Row{}
	}
	return broken[0]
}

func (s planStep) toStep(c *calculator, rows []Row) Step {
	cost := s.costOf(c)
	result := Step{
		Current: s.current, Replacement: s.replacement, MessagesPerSecond: cost.messagesPerSecond,
		CoreFraction: cost.coreFraction, MemoryMB: cost.memoryMB, KBPerSecond: cost.trafficKBPerSecond, ReadsPerSecond: cost.readsPerSecond, WritesPerSecond: cost.writesPerSecond,
	}
	for _, row := range rows {
		if row.Role == s.role && row.Metric == s.metric {
			result.StopsAtRouters = row.BreaksAtRouters
		}
	}
	return result
}

// plannedRows are the lines of a whole router in the plan.
func (c *calculator) plannedRows() []Row {
	var rows []Row
	for _, metric := range costMetrics(RoleDaemon, (*calculator).plannedCost, "the plan") {
		rows = append(rows, metric.toRow(c))
	}
	staleness := func(c *calculator) float64 { return exchangeHops * c.exchangeInterval() }
	for _, metric := range []reportMetric{
		{RoleDaemon, "staleness of counters", "s", staleness, nil, "the plan"},
		{RoleDaemon, "fairness bound", "s of own part", func(c *calculator) float64 { return c.fairnessBound(staleness(c)) }, nil, "the plan"},
		{RoleDaemon, "own keys taken", "claims/s", (*calculator).callerKeysPerSecond, nil, "the plan"},
		{RoleDaemon, "received by a router that starts", "MB", func(c *calculator) float64 { return c.costAt(IntroduceBytes, c.Workspaces) / megabyte }, nil, "the plan"},
	} {
		rows = append(rows, metric.toRow(c))
	}
	return rows
}
