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
	return a.out.show(fleet, func() { a.out.fleet(fleet) })
}

// fleet prints one table for each question an operator has.
func (o *output) fleet(fleet admin.FleetStatus) {
	newest := newestVersions(fleet)
	o.table([]string{"ROUTER", "DATA CENTRE", "READY", "DRAINING", "SETTINGS", "SINCE"}, routerRows(fleet, newest))
	o.section([]string{"OBJECT", "VERSION", "ROUTERS", "CHANGED BY", "AT"}, objectRows(fleet, newest))
	o.section([]string{"UPSTREAM", "SERVICE", "DATA CENTRE", "OWNER", "RUNNING", "SLOTS", "USABLE", "DRAINING"}, upstreamRows(fleet))
	o.section([]string{"SERVICE", "WORKSPACE", "WAITING", "RUNNING", "SERVED"}, workspaceRows(fleet))
	o.section([]string{"SERVICE", "FAIRNESS GAP"}, gapRows(fleet))
}

// section prints a table after an empty line, unless it has no rows.
func (o *output) section(header []string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(o.w)
	o.table(header, rows)
}

// answered returns the status of the routers that answered.
func answered(fleet admin.FleetStatus) []*admin.RouterStatus {
	var found []*admin.RouterStatus
	for _, r := range fleet.Routers {
		if r.Status != nil {
			found = append(found, r.Status)
		}
	}
	return found
}

// newestVersions returns the newest version of each object in the fleet.
func newestVersions(fleet admin.FleetStatus) map[string]admin.ObjectVersion {
	newest := make(map[string]admin.ObjectVersion)
	for _, s := range answered(fleet) {
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
			rows = append(rows, cells(r.Router, "", "no answer", "", r.Error, ""))
			continue
		}
		s := r.Status
		rows = append(rows, cells(r.Router, s.DataCentre, s.Ready, s.Draining, settingsState(s, newest), s.Started))
	}
	return rows
}

func settingsState(s *admin.RouterStatus, newest map[string]admin.ObjectVersion) string {
	behind := len(newest)
	for _, o := range s.Config {
		if o.Version == newest[o.Key].Version {
			behind--
		}
	}
	switch {
	case len(s.Refused) > 0:
		return fmt.Sprintf("%d refused", len(s.Refused))
	case behind > 0:
		return fmt.Sprintf("%d behind", behind)
	default:
		return "newest"
	}
}

// objectRows say how many routers have the newest version of each object.
func objectRows(fleet admin.FleetStatus, newest map[string]admin.ObjectVersion) [][]string {
	holders := make(map[string]int)
	routers := answered(fleet)
	for _, s := range routers {
		for _, o := range s.Config {
			if o.Version == newest[o.Key].Version {
				holders[o.Key]++
			}
		}
	}
	var rows [][]string
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		o := newest[key]
		row := cells(key, o.Version, fmt.Sprintf("%d of %d", holders[key], len(routers)), "", "")
		if o.Change != nil {
			row[3], row[4] = cell(o.Change.By), cell(o.Change.At)
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
	for _, s := range answered(fleet) {
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
		rows = append(rows, cells(name, u.Service, u.DataCentre, u.Owner, running[name], u.Slots, u.Usable, u.Draining))
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
	for _, s := range answered(fleet) {
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
		rows = append(rows, cells(key.service, key.workspace, sum.Waiting, sum.Running, units(sum.Served)))
	}
	return rows
}

// gapRows show the widest gap that any router sees.
func gapRows(fleet admin.FleetStatus) [][]string {
	gaps := make(map[state.Service]state.Cost)
	for _, s := range answered(fleet) {
		for _, service := range s.Services {
			gaps[service.Service] = max(gaps[service.Service], service.Gap)
		}
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(gaps)) {
		rows = append(rows, cells(name, units(gaps[name])))
	}
	return rows
}

// units renders a cost in whole units.
func units(c state.Cost) string {
	return fmt.Sprintf("%.1f", float64(c)/float64(state.CostUnit))
}
