package cli

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/admin"
)

type statusCommand struct{}

func (statusCommand) Run(a *app) error {
	var fleet admin.FleetStatus
	if err := a.client.get(a.ctx, "/fleet", &fleet); err != nil {
		return err
	}
	return a.out.show(fleet, func() { a.out.fleetStatus(fleet) })
}

// fleetStatus prints the fleet's status as tables: routers, objects of the
// settings, upstreams, workspaces and fairness gaps.
func (o *output) fleetStatus(fleetStatus admin.FleetStatus) {
	newest := newestVersions(fleetStatus)
	o.printTable([]string{"ROUTER", "DATA CENTRE", "READY", "DRAINING", "SETTINGS", "SINCE"}, routerRows(fleetStatus, newest))
	o.printSection([]string{"OBJECT", "VERSION", "ROUTERS", "CHANGED BY", "AT"}, objectRows(fleetStatus, newest))
	o.printSection([]string{"UPSTREAM", "SERVICE", "DATA CENTRE", "OWNER", "RUNNING", "SLOTS", "USABLE", "DRAINING"}, upstreamRows(fleetStatus))
	o.printSection([]string{"SERVICE", "WORKSPACE", "WAITING", "RUNNING", "SERVED"}, workspaceRows(fleetStatus))
	o.printSection([]string{"SERVICE", "FAIRNESS GAP"}, gapRows(fleetStatus))
}

// printSection prints an empty line and a table. It prints nothing if the table
// has no rows.
func (o *output) printSection(header []string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(o.w)
	o.printTable(header, rows)
}

// receivedStatuses returns the statuses of the routers that answered.
func receivedStatuses(fleet admin.FleetStatus) []*admin.RouterStatus {
	var statuses []*admin.RouterStatus
	for _, r := range fleet.Routers {
		if r.Status != nil {
			statuses = append(statuses, r.Status)
		}
	}
	return statuses
}

// newestVersions returns the newest version of each object that any router
// reported.
func newestVersions(fleet admin.FleetStatus) map[string]admin.ObjectVersion {
	newest := make(map[string]admin.ObjectVersion)
	for _, s := range receivedStatuses(fleet) {
		for _, o := range s.Config {
			if o.Version > newest[o.Key].Version {
				newest[o.Key] = o
			}
		}
	}
	return newest
}

// routerRows returns one row per router. The row shows whether the router has the
// newest settings.
func routerRows(fleet admin.FleetStatus, newest map[string]admin.ObjectVersion) [][]string {
	var rows [][]string
	for _, r := range fleet.Routers {
		if r.Status == nil {
			rows = append(rows, formatRow(r.Router, "", "no answer", "", r.Error, ""))
			continue
		}
		s := r.Status
		rows = append(rows, formatRow(r.Router, s.DataCentre, s.Ready, s.Draining, settingsState(s, newest), s.Started))
	}
	return rows
}

func settingsState(s *admin.RouterStatus, newest map[string]admin.ObjectVersion) string {
	outdated := len(newest)
	for _, o := range s.Config {
		if o.Version == newest[o.Key].Version {
			outdated--
		}
	}
	switch {
	case len(s.Refused) > 0:
		return fmt.Sprintf("%d refused", len(s.Refused))
	case outdated > 0:
		return fmt.Sprintf("%d behind", outdated)
	default:
		return "newest"
	}
}

// objectRows returns one row per object of the settings. The row shows how many
// routers have its newest version.
func objectRows(fleet admin.FleetStatus, newest map[string]admin.ObjectVersion) [][]string {
	upToDate := make(map[string]int)
	routers := receivedStatuses(fleet)
	for _, s := range routers {
		for _, o := range s.Config {
			if o.Version == newest[o.Key].Version {
				upToDate[o.Key]++
			}
		}
	}
	var rows [][]string
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		o := newest[key]
		row := formatRow(key, o.Version, fmt.Sprintf("%d of %d", upToDate[key], len(routers)), "", "")
		if o.Change != nil {
			row[3], row[4] = formatCell(o.Change.By), formatCell(o.Change.At)
		}
		rows = append(rows, row)
	}
	return rows
}

// upstreamRows returns one row per upstream with the number of requests that all
// routers together run on it. The other columns come from the upstream's owner if
// it answered, because its information is the most accurate.
func upstreamRows(fleet admin.FleetStatus) [][]string {
	running := make(map[state.Upstream]int)
	statuses := make(map[state.Upstream]admin.UpstreamStatus)
	for _, s := range receivedStatuses(fleet) {
		for _, u := range s.Upstreams {
			running[u.Upstream] += u.Running
			if _, seen := statuses[u.Upstream]; !seen || u.Owner == s.Router {
				statuses[u.Upstream] = u
			}
		}
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		u := statuses[name]
		rows = append(rows, formatRow(name, u.Service, u.DataCentre, u.Owner, running[name], u.Slots, u.Usable, u.Draining))
	}
	return rows
}

// workspaceRows returns one row per service and workspace with the sums of the
// numbers that the routers reported.
func workspaceRows(fleet admin.FleetStatus) [][]string {
	type serviceWorkspace struct {
		service   state.Service
		workspace state.Workspace
	}
	sums := make(map[serviceWorkspace]admin.WorkspaceStatus)
	for _, s := range receivedStatuses(fleet) {
		for _, w := range s.Workspaces {
			sum := sums[serviceWorkspace{w.Service, w.Workspace}]
			sum.Waiting += w.Waiting
			sum.Running += w.Running
			sum.Served += w.Served
			sums[serviceWorkspace{w.Service, w.Workspace}] = sum
		}
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b serviceWorkspace) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.workspace, b.workspace))
	})
	var rows [][]string
	for _, key := range keys {
		sum := sums[key]
		rows = append(rows, formatRow(key.service, key.workspace, sum.Waiting, sum.Running, formatUnits(sum.Served)))
	}
	return rows
}

// gapRows returns one row per service with the largest fairness gap that any
// router reported.
func gapRows(fleet admin.FleetStatus) [][]string {
	gaps := make(map[state.Service]state.Cost)
	for _, s := range receivedStatuses(fleet) {
		for _, service := range s.Services {
			gaps[service.Service] = max(gaps[service.Service], service.Gap)
		}
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(gaps)) {
		rows = append(rows, formatRow(name, formatUnits(gaps[name])))
	}
	return rows
}

// formatUnits formats a cost in cost units with one decimal.
func formatUnits(c state.Cost) string {
	return fmt.Sprintf("%.1f", float64(c)/float64(state.CostUnit))
}
