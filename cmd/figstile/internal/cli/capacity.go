package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"time"

	"github.com/figstile/figstile/capacity"
)

type capacityCommands struct {
	Show    capacityCommand        `cmd:"" default:"withargs" help:"Work out what each role of a router costs in a fleet of some size, and which limit breaks first."`
	Slopes  capacitySlopesCommand  `cmd:"" help:"Show the slopes of the build."`
	Measure capacityMeasureCommand `cmd:"" help:"Measure the slopes that this is worked out from; takes two minutes."`
}

// capacityCommand calculates the costs of one fleet. It calls no router.
type capacityCommand struct {
	Profile string `help:"Sizes to start from: ${enum}." enum:"today,destination" default:"today"`
	Slopes  string `help:"File of slopes; the program's own if empty." placeholder:"FILE"`

	capacitySizes
}

// capacitySizes holds the flags that replace single numbers of the profile. Each
// field has the name of the field of capacity.Fleet that it replaces.
type capacitySizes struct {
	Routers     *float64 `help:"Routers, one per VM."`
	Upstreams   *float64 `help:"Upstreams over all services."`
	Slots       *float64 `help:"Requests that one upstream runs at once; 0 derives it from the requests in progress."`
	Workspaces  *float64 `help:"Workspaces."`
	Backlogged  *float64 `help:"Part of the workspaces that is backlogged."`
	Services    *float64 `help:"Services, or models with upstreams of their own."`
	DataCentres *float64 `help:"Data centres."`
	Regions     *float64 `help:"Regions."`
	Requests    *float64 `help:"Requests a second over the fleet."`
	Tokens      *float64 `help:"Tokens generated a second over the fleet."`
	Changes     *float64 `help:"Changes of the settings a day."`
	Failed      *float64 `help:"VMs that fail a day."`
	Replaced    *float64 `help:"VMs restarted or replaced a day."`
	TokenGap    *float64 `help:"Assumption: seconds between two tokens of a request."`
	Teams       *float64 `help:"Assumption: teams, each with one object of settings."`
	Spread      *float64 `help:"Assumption: routers at which a backlogged workspace's requests wait."`
	Waiting     *float64 `help:"Assumption: requests of one backlogged workspace that wait at one router."`
	Claimed     *float64 `help:"Assumption: part of the requests with an idempotency key of the caller's own."`
	Largest     *float64 `help:"Assumption: seconds that the longest request holds a slot."`
	Rack        *float64 `help:"Assumption: VMs that a rack or switch takes along."`
	MaxCore     *float64 `help:"Limit: part of a core that a router spends on control."`
	MaxMB       *float64 `name:"max-mb" help:"Limit: MB that a router spends on control."`
	MaxKB       *float64 `name:"max-kb" help:"Limit: KB a second that a router spends on control."`
	MaxReads    *float64 `help:"Limit: reads a second the platform takes."`
	MaxWrites   *float64 `help:"Limit: writes a second the platform takes."`
	MaxFirst    *float64 `help:"Limit: seconds until the first token."`
	MaxStale    *float64 `help:"Limit: seconds until a change of the settings is in force."`
}

// applyTo sets the fields of a fleet for which a flag was given.
func (s capacitySizes) applyTo(f *capacity.Fleet) {
	sizes := reflect.ValueOf(s)
	fleet := reflect.ValueOf(f).Elem()
	for i := range sizes.NumField() {
		if field := sizes.Field(i); !field.IsNil() {
			fleet.FieldByName(sizes.Type().Field(i).Name).Set(field.Elem())
		}
	}
}

// Run prints the report about one fleet.
func (c capacityCommand) Run(a *app) error {
	slopes, err := c.loadSlopes()
	if err != nil {
		return err
	}
	fleet := capacity.CurrentFleet()
	if c.Profile == "destination" {
		fleet = capacity.TargetFleet()
	}
	c.applyTo(&fleet)
	report, err := capacity.NewReport(fleet, slopes)
	if err != nil {
		return err
	}
	return a.out.show(report, func() { a.out.printCapacity(report, slopes) })
}

func (c capacityCommand) loadSlopes() (*capacity.Slopes, error) {
	if c.Slopes == "" {
		return capacity.Load()
	}
	data, err := os.ReadFile(c.Slopes)
	if err != nil {
		return nil, err
	}
	return capacity.Parse(data)
}

// printCapacity prints every table of a report below its title.
func (o *output) printCapacity(report *capacity.Report, slopes *capacity.Slopes) {
	o.printMeasurement(slopes)
	fmt.Fprintln(o.w, "A mark ! is a broken limit; sizes at which limits break are those of a fleet that grows evenly.")
	for _, table := range report.Tables() {
		fmt.Fprintf(o.w, "\n%s\n", table.Title)
		o.printTable(table.Header, table.Rows)
	}
}

// printMeasurement prints when the slopes were measured, on how many cores and at
// which load of the machine.
func (o *output) printMeasurement(slopes *capacity.Slopes) {
	fmt.Fprintf(o.w, "Slopes measured at %s on %d cores, load %s before and %s after.\n",
		slopes.MeasuredAt.Format(time.RFC3339), slopes.Cores, slopes.LoadBefore, slopes.LoadAfter)
}

type capacitySlopesCommand struct{}

// Run prints all slopes that are part of the build.
func (capacitySlopesCommand) Run(a *app) error {
	slopes, err := capacity.Load()
	if err != nil {
		return err
	}
	return a.out.show(slopes, func() {
		a.out.printMeasurement(slopes)
		table := slopes.Table()
		a.out.printTable(table.Header, table.Rows)
	})
}

type capacityMeasureCommand struct {
	Out string `help:"File to write." default:"capacity/slopes.json" placeholder:"FILE"`
}

// Run measures all slopes, prints each one as soon as it is measured, and writes
// them to the file.
func (c capacityMeasureCommand) Run(a *app) error {
	slopes, err := capacity.Measure(a.ctx, a.out.printSlope)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, append(data, '\n'), 0o644)
}

func (o *output) printSlope(s capacity.Slope) {
	if o.json {
		_ = json.NewEncoder(o.w).Encode(s)
		return
	}
	fmt.Fprintf(o.w, "%-24s %-9s %.4g + %.4g %s against %s, error %.0f %%\n",
		s.Name, s.Shape, s.Base, s.Rate, s.Unit, s.SizeUnit, 100*s.MaxRelativeError)
}
