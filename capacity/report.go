package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Row is one line of a role's table.
type Row struct {
	Role   Role    `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	// Limit is zero if there is none.
	Limit float64 `json:"limit,omitempty"`
	// BreaksAt is the number of routers at which a fleet that grows evenly
	// breaks the limit; zero if it does not within the range looked at.
	BreaksAt  float64 `json:"breaks_at,omitempty"`
	Mechanism string  `json:"mechanism"`
}

// filled is by how much a value may pass its limit and still keep it: the
// plan fills the traffic up to the limit, but for rounding.
const filled = 1e-9

// Broken tells whether the limit is exceeded.
func (r Row) Broken() bool { return r.Limit > 0 && r.Value > r.Limit*(1+filled) }

// Report is what a fleet of one size costs.
type Report struct {
	Fleet Fleet `json:"fleet"`
	Rows  []Row `json:"rows"`
	// First is the line that breaks at the smallest size.
	First Row `json:"first"`
	// Plan is the mechanisms that replace today's, and Planned their sum with
	// today's limits.
	Plan    []Step `json:"plan"`
	Planned []Row  `json:"planned"`
	// Interval is the seconds between exchanges of counters in the plan,
	// Stale their greatest age, OwnKeys the claims a second of callers' own
	// keys that it can take.
	Interval float64 `json:"interval_s"`
	Stale    float64 `json:"stale_s"`
	OwnKeys  float64 `json:"own_keys"`
	Events   []Event `json:"events"`
}

// NewReport calculates a fleet.
func NewReport(f Fleet, slopes *Slopes) (*Report, error) {
	c, err := newCalc(f, slopes)
	if err != nil {
		return nil, err
	}
	r := &Report{Fleet: f, Interval: c.interval(), OwnKeys: c.ownKeys(), Events: c.events()}
	r.Stale = exchangeHops * r.Interval
	for _, fig := range figures() {
		r.Rows = append(r.Rows, fig.row(c))
	}
	r.First = first(r.Rows)
	for _, s := range steps() {
		r.Plan = append(r.Plan, s.step(c, r.Rows))
	}
	r.Planned = c.plannedRows()
	return r, nil
}

// exchangeHops is the exchanges that a counter goes through in the plan: to
// its home, from there to the homes of other data centres, through their
// region, and to the owners.
const exchangeHops = 4

func (fig figure) row(c *calc) Row {
	row := Row{Role: fig.role, Figure: fig.name, Unit: fig.unit, Value: fig.value(c), Mechanism: fig.mechanism}
	if fig.limit != nil {
		row.Limit = fig.limit(c)
		row.BreaksAt = fig.breaksAt(c)
	}
	return row
}

// breakRange is by how much larger or smaller fleets are looked at.
const breakRange = 1000

// breaksAt finds the size at which a limit breaks, between sizes with and
// without a breach. Costs never fall as a fleet grows.
func (fig figure) breaksAt(c *calc) float64 {
	within := func(k float64) bool {
		scaled := c.scaled(k)
		return fig.value(scaled) <= fig.limit(scaled)*(1+filled)
	}
	low, high := 1/(breakRange*c.Routers), float64(breakRange)
	if within(high) {
		return 0
	}
	for high/low > 1.0001 {
		middle := math.Sqrt(low * high)
		if within(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return c.Routers * high
}

// byBreak lists the lines that break, the first one first.
func byBreak(rows []Row) []Row {
	broken := slices.DeleteFunc(slices.Clone(rows), func(row Row) bool { return row.BreaksAt == 0 })
	slices.SortStableFunc(broken, func(a, b Row) int { return cmp.Compare(a.BreaksAt, b.BreaksAt) })
	return broken
}

func first(rows []Row) Row {
	broken := byBreak(rows)
	if len(broken) == 0 {
		return Row{}
	}
	return broken[0]
}

func (s step) step(c *calc, rows []Row) Step {
	cost := s.of(c)
	result := Step{
		Today: s.today, Replacement: s.replacement, Messages: cost.messages,
		Core: cost.core, MB: cost.mb, KB: cost.kb, Reads: cost.reads, Writes: cost.writes,
	}
	for _, row := range rows {
		if row.Role == s.role && row.Figure == s.figure {
			result.StopsAt = row.BreaksAt
		}
	}
	return result
}

// plannedRows are the lines of a whole router in the plan.
func (c *calc) plannedRows() []Row {
	var rows []Row
	for _, fig := range costs(Daemon, (*calc).planned, "the plan") {
		rows = append(rows, fig.row(c))
	}
	stale := func(c *calc) float64 { return exchangeHops * c.interval() }
	for _, fig := range []figure{
		{Daemon, "staleness of counters", "s", stale, nil, "the plan"},
		{Daemon, "fairness bound", "s of own part", func(c *calc) float64 { return c.bound(stale(c)) }, nil, "the plan"},
		{Daemon, "own keys taken", "claims/s", (*calc).ownKeys, nil, "the plan"},
		{Daemon, "received by a router that starts", "MB", func(c *calc) float64 { return c.at(IntroduceBytes, c.Workspaces) / megabyte }, nil, "the plan"},
	} {
		rows = append(rows, fig.row(c))
	}
	return rows
}
