package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Table is one table of a report in readable form.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Tables returns the report as a list of tables.
func (r *Report) Tables() []Table {
	tables := []Table{r.summary()}
	for _, role := range allRoles() {
		tables = append(tables, roleTable(string(role), r.Rows, role))
	}
	return append(tables, r.planTable(), roleTable("plan, one router", r.PlannedRows, RoleDaemon), r.eventTable())
}

// Table returns the slopes and their measured points as a table.
func (s *Slopes) Table() Table {
	t := Table{Title: "slopes", Header: []string{"SLOPE", "SHAPE", "BASE", "RATE", "UNIT", "AGAINST", "WORST ERROR", "MACHINE'S", "MEASURED"}}
	for _, slope := range s.Slopes {
		machine := "-"
		if slope.MachineDependent {
			machine = "yes"
		}
		t.Rows = append(t.Rows, []string{
			string(slope.Name), string(slope.Shape), formatNumber(slope.Base), fmt.Sprintf("%.3g", slope.Rate), slope.Unit, slope.SizeUnit,
			fmt.Sprintf("%.0f %%", 100*slope.MaxRelativeError), machine, slope.formatPoints(),
		})
	}
	return t
}

// formatPoints returns the measured points as a list of sizes and values.
func (s Slope) formatPoints() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(points, ", ")
}

func allRoles() []Role {
	list := []Role{RoleDaemon}
	for _, role := range roleCosts {
		list = append(list, role.role)
	}
	return list
}

// summary returns a table of the rows whose limits are exceeded at some size,
// the smallest size first.
func (r *Report) summary() Table {
	t := Table{Title: "what breaks first", Header: []string{"ROLE", "FIGURE", "BREAKS AT ROUTERS", "MECHANISM"}}
	for _, row := range sortedByBreak(r.Rows) {
		t.Rows = append(t.Rows, []string{string(row.Role), row.Metric, formatRouters(row.BreaksAtRouters), row.Mechanism})
	}
	return t
}

func roleTable(title string, rows []Row, role Role) Table {
	t := Table{Title: title, Header: []string{"FIGURE", "VALUE", "LIMIT", "UNIT", "BREAKS AT ROUTERS", "MECHANISM"}}
	for _, row := range rows {
		if row.Role == role {
			t.Rows = append(t.Rows, []string{row.Metric, formatValue(row), formatOptional(row.Limit), row.Unit, formatRouters(row.BreaksAtRouters), row.Mechanism})
		}
	}
	return t
}

// formatValue formats the value of a row and marks it with an exclamation mark
// if it exceeds its limit.
func formatValue(row Row) string {
	if row.ExceedsLimit() {
		return formatNumber(row.Value) + " !"
	}
	return formatNumber(row.Value)
}

func (r *Report) planTable() Table {
	t := Table{
		Title:  "plan",
		Header: []string{"TODAY", "STOPS AT ROUTERS", "REPLACED BY", "MESSAGES/S", "% OF A CORE", "MB", "KB/S", "READS/S", "WRITES/S"},
	}
	for _, s := range r.Plan {
		t.Rows = append(t.Rows, []string{
			s.Current, formatRouters(s.StopsAtRouters), s.Replacement, formatNumber(s.MessagesPerSecond), formatNumber(100 * s.CoreFraction),
			formatNumber(s.MemoryMB), formatNumber(s.KBPerSecond), formatNumber(s.ReadsPerSecond), formatNumber(s.WritesPerSecond),
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
			e.Name, formatNumber(e.Routers), formatOptional(e.PerDay), formatNumber(e.MovedUpstreams), formatNumber(e.LostUpstreams), formatNumber(e.NoticedSeconds), formatNumber(e.ServedSeconds),
			formatNumber(e.CutRequests), formatNumber(e.SentMessages), formatNumber(e.SentKB), formatNumber(e.SchedulerSeconds), formatNumber(e.RejoinMB), formatNumber(e.RejoinSeconds),
		})
	}
	return t
}

// formatRouters formats the number of routers at which a limit is exceeded. A
// number below one means that a value which does not depend on the size of the
// fleet exceeds its limit at any size.
func formatRouters(routers float64) string {
	if routers > 0 && routers < 1 {
		return "any"
	}
	return formatOptional(routers)
}

// formatOptional formats a value, and zero as "-", because zero means that
// there is no value.
func formatOptional(v float64) string {
	if v == 0 {
		return "-"
	}
	return formatNumber(v)
}

const (
	thousand = 1e3
	million  = 1e6
	billion  = 1e9
)

// formatNumber formats a number with three digits, because no value in a report
// is more precise.
func formatNumber(v float64) string {
	switch size := math.Abs(v); {
	case size >= billion:
		return formatDigits(v/billion) + "G"
	case size >= million:
		return formatDigits(v/million) + "M"
	case size >= 10*thousand:
		return formatDigits(v/thousand) + "k"
	case size < 0.0005:
		return "0"
	default:
		return formatDigits(v)
	}
}

func formatDigits(v float64) string {
	if math.Abs(v) >= thousand {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return fmt.Sprintf("%.3g", v)
}
