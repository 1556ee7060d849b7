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
	return a.out.show(fleet, func() { a.out.printFleet(fleet) })
}

// printFleet prints one table for each question an operator has.
func (o *output) printFleet(printFleet admin.FleetStatus) {
	newest := newestVersions(printFleet)
	o.printTable([]string{"ROUTER", "DATA CENTRE", "READY", "DRAINING", "SETTINGS", "SINCE"}, routerRows(printFleet, newest))
	o.printSection([]string{"OBJECT", "VERSION", "ROUTERS", "CHANGED BY", "AT"}, objectRows(printFleet, newest))
	o.printSection([]string{"UPSTREAM", "SERVICE", "DATA CENTRE", "OWNER", "RUNNING", "SLOTS", "USABLE", "DRAINING"}, upstreamRows(printFleet))
	o.printSection([]string{"SERVICE", "WORKSPACE", "WAITING", "RUNNING", "SERVED"}, workspaceRows(printFleet))
	o.printSection([]string{"SERVICE", "FAIRNESS GAP"}, gapRows(printFleet))
}

// printSection prints a table after an empty line, unless it has no rows.
func (o *output) printSection(header []string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(o.w)
	o.printTable(header, rows)
}

// receivedStatuses returns the status of the routers that answered.
func receivedStatuses(fleet admin.FleetStatus) []*admin.RouterStatus {
	var statuses []*admin.RouterStatus
	for _, r := range fleet.Routers {
		if r.Status != nil {
			statuses = append(statuses, r.Status)
		}
	}
	return statuses
}

// newestVersions returns the newest version of each object in the fleet.
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

// routerRows say of each router whether it has the newest settings.
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

// objectRows say how many routers have the newest version of each object.
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

// upstreamRows show each upstream once, with the requests of all routers. The
// rest is taken from its owner, which knows it best.
func upstreamRows(fleet admin.FleetStatus) [][]string {
	running := make(map[state.Upstream]int)
	views := make(map[state.Upstream]admin.UpstreamStatus)
	for _, s := range receivedStatuses(fleet) {
		for _, u := range s.Upstreams {
			running[u.Upstream] += u.Running
			if _, known := views[u.Upstream]; !known || u.Owner == s.Router {
				views[u.Upstream] = u
			}
		}
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(views)) {
		u := views[name]
		rows = append(rows, formatRow(name, u.Service, u.DataCentre, u.Owner, running[name], u.Slots, u.Usable, u.Draining))
	}
	return rows
}

// workspaceRows add up what the routers say of each workspace and service.
func workspaceRows(fleet admin.FleetStatus) [][]string {
	type pair struct {
		service   state.Service
		workspace state.Workspace
	}
	sums := make(map[pair]admin.WorkspaceStatus)
	for _, s := range receivedStatuses(fleet) {
		for _, w := range s.Workspaces {
			sum := sums[pair{w.Service, w.Workspace}]
			sum.Waiting += w.Waiting
			sum.Running += w.Running
			sum.Served += w.Served
			sums[pair{w.Service, w.Workspace}] = sum
		}
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.workspace, b.workspace))
	})
	var rows [][]string
	for _, key := range keys {
		sum := sums[key]
		rows = append(rows, formatRow(key.service, key.workspace, sum.Waiting, sum.Running, formatUnits(sum.Served)))
	}
	return rows
}

// gapRows show the widest gap that any router sees.
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

// formatUnits renders a cost in whole units.
func formatUnits(c state.Cost) string {
	return fmt.Sprintf("%.1f", float64(c)/float64(state.CostUnit))
}
