package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Table is one table of a report for people.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Tables renders a report.
func (r *Report) Tables() []Table {
	tables := []Table{r.summary()}
	for _, role := range roles() {
		tables = append(tables, roleTable(string(role), r.Rows, role))
	}
	return append(tables, r.planTable(), roleTable("plan, one router", r.Planned, Daemon), r.eventTable())
}

// Table renders the slopes with their points.
func (s *Slopes) Table() Table {
	t := Table{Title: "slopes", Header: []string{"SLOPE", "SHAPE", "BASE", "RATE", "UNIT", "AGAINST", "WORST ERROR", "MACHINE'S", "MEASURED"}}
	for _, slope := range s.Slopes {
		machine := "-"
		if slope.Machine {
			machine = "yes"
		}
		t.Rows = append(t.Rows, []string{
			string(slope.Name), string(slope.Shape), number(slope.Base), fmt.Sprintf("%.3g", slope.Rate), slope.Unit, slope.Against,
			fmt.Sprintf("%.0f %%", 100*slope.Error), machine, slope.measured(),
		})
	}
	return t
}

// measured lists the points as size and value.
func (s Slope) measured() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, number(p.Size)+": "+number(p.Value))
	}
	return strings.Join(points, ", ")
}

func roles() []Role {
	list := []Role{Daemon}
	for _, l := range loads {
		list = append(list, l.role)
	}
	return list
}

// summary says what breaks, the first line first.
func (r *Report) summary() Table {
	t := Table{Title: "what breaks first", Header: []string{"ROLE", "FIGURE", "BREAKS AT ROUTERS", "MECHANISM"}}
	for _, row := range byBreak(r.Rows) {
		t.Rows = append(t.Rows, []string{string(row.Role), row.Figure, edge(row.BreaksAt), row.Mechanism})
	}
	return t
}

func roleTable(title string, rows []Row, role Role) Table {
	t := Table{Title: title, Header: []string{"FIGURE", "VALUE", "LIMIT", "UNIT", "BREAKS AT ROUTERS", "MECHANISM"}}
	for _, row := range rows {
		if row.Role == role {
			t.Rows = append(t.Rows, []string{row.Figure, value(row), optional(row.Limit), row.Unit, edge(row.BreaksAt), row.Mechanism})
		}
	}
	return t
}

// value marks a broken limit.
func value(row Row) string {
	if row.Broken() {
		return number(row.Value) + " !"
	}
	return number(row.Value)
}

func (r *Report) planTable() Table {
	t := Table{
		Title:  "plan",
		Header: []string{"TODAY", "STOPS AT ROUTERS", "REPLACED BY", "MESSAGES/S", "% OF A CORE", "MB", "KB/S", "READS/S", "WRITES/S"},
	}
	for _, s := range r.Plan {
		t.Rows = append(t.Rows, []string{
			s.Today, edge(s.StopsAt), s.Replacement, number(s.Messages), number(100 * s.Core),
			number(s.MB), number(s.KB), number(s.Reads), number(s.Writes),
		})
	}
	return t
}

func (r *Report) eventTable() Table {
	t := Table{
		Title: "failures with today's mechanisms",
		Header: []string{
			"EVENT", "ROUTERS", "A DAY", "UPSTREAMS MOVED", "LOST", "NOTICED S", "SERVED S", "REQUESTS CUT",
			"MESSAGES", "KB", "SCHEDULER S", "TOLD ON RETURN MB", "SCHEDULER S THEN",
		},
	}
	for _, e := range r.Events {
		t.Rows = append(t.Rows, []string{
			e.Name, number(e.Routers), optional(e.PerDay), number(e.Moved), number(e.Lost), number(e.Noticed), number(e.Served),
			number(e.Cut), number(e.Messages), number(e.KB), number(e.Scheduler), number(e.Rejoin), number(e.RejoinTime),
		})
	}
	return t
}

// edge renders a number of routers; a line that does not grow with the fleet
// and is broken anyway breaks at any size.
func edge(routers float64) string {
	if routers > 0 && routers < 1 {
		return "any"
	}
	return optional(routers)
}

// optional renders a figure that may be missing.
func optional(v float64) string {
	if v == 0 {
		return "-"
	}
	return number(v)
}

const (
	thousand = 1e3
	million  = 1e6
	billion  = 1e9
)

// number renders three digits: no figure is known better.
func number(v float64) string {
	switch size := math.Abs(v); {
	case size >= billion:
		return digits(v/billion) + "G"
	case size >= million:
		return digits(v/million) + "M"
	case size >= 10*thousand:
		return digits(v/thousand) + "k"
	case size < 0.0005:
		return "0"
	default:
		return digits(v)
	}
}

func digits(v float64) string {
	if math.Abs(v) >= thousand {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return fmt.Sprintf("%.3g", v)
}
