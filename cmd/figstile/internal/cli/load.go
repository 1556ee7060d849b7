package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/state"
)

type loadCommand struct {
	Workload  string        `help:"Workload file." type:"existingfile" required:""`
	Fleet     string        `help:"File with the fleet's addresses, as figstile dev --describe writes it." type:"existingfile"`
	Targets   []string      `help:"Base URLs of routers for callers." placeholder:"URL"`
	Admin     []string      `help:"Base URLs of the same routers' administration listeners, in the same order; their status is read with FIGSTILE_TOKEN." placeholder:"URL"`
	Upstreams []string      `help:"Upstreams whose load reports are read." placeholder:"SERVICE=URL"`
	Direct    bool          `help:"Send to the upstreams in turn, past the routers, as a baseline."`
	Arrive    int           `help:"How many of the routers requests arrive at; 0 means all." placeholder:"N"`
	Seconds   float64       `help:"Length instead of the workload's." placeholder:"SECONDS"`
	Grace     time.Duration `help:"How long callers wait for answers after the last request." default:"20s"`
	JSON      string        `help:"File for the result as JSON." type:"path" placeholder:"FILE"`
	SVG       string        `name:"svg" help:"File for a plot of the service and the fairness gap over time." type:"path" placeholder:"FILE"`
}

func (l loadCommand) Run(a *app) error {
	options, err := l.options(a)
	if err != nil {
		return usageError(err.Error())
	}
	res, err := loadgen.Run(a.ctx, options)
	if err != nil {
		return err
	}
	if l.JSON != "" {
		if err := writeJSON(l.JSON, res); err != nil {
			return err
		}
	}
	if l.SVG != "" {
		if err := writeFile(l.SVG, res.WriteSVG); err != nil {
			return err
		}
	}
	if showErr := a.out.show(res, func() { err = res.WriteText(a.out.w) }); showErr != nil {
		return showErr
	}
	return err
}

func (l loadCommand) options(a *app) (loadgen.Options, error) {
	options := loadgen.Options{Direct: l.Direct, EntryRouters: l.Arrive, Grace: l.Grace}
	data, err := os.ReadFile(l.Workload)
	if err != nil {
		return options, err
	}
	if options.Workload, err = loadgen.Parse(data); err != nil {
		return options, err
	}
	if l.Seconds > 0 {
		options.Workload.Seconds = l.Seconds
	}
	options.Fleet, err = l.fleet(a)
	return options, err
}

// fleet reads the description of the fleet from the file of --fleet and adds the
// routers and upstreams that the other flags name.
func (l loadCommand) fleet(a *app) (loadgen.Fleet, error) {
	var fleet loadgen.Fleet
	if l.Fleet != "" {
		var err error
		if fleet, err = loadgen.ReadFleet(l.Fleet); err != nil {
			return fleet, err
		}
	}
	if a.client.token != "" {
		fleet.StatusToken = a.client.token
	}
	if len(l.Admin) > 0 && len(l.Admin) != len(l.Targets) {
		return fleet, fmt.Errorf("--admin names %d routers and --targets %d", len(l.Admin), len(l.Targets))
	}
	for i, url := range l.Targets {
		router := loadgen.Router{Name: state.Router(fmt.Sprintf("target-%d", i+1)), CallerURL: strings.TrimSuffix(url, "/")}
		if len(l.Admin) > 0 {
			router.AdminURL = strings.TrimSuffix(l.Admin[i], "/")
		}
		fleet.Routers = append(fleet.Routers, router)
	}
	for i, text := range l.Upstreams {
		service, url, ok := strings.Cut(text, "=")
		if !ok {
			return fleet, fmt.Errorf("--upstreams: %q is not SERVICE=URL", text)
		}
		name := state.Upstream(fmt.Sprintf("upstream-%d", i+1))
		fleet.Upstreams = append(fleet.Upstreams, loadgen.Upstream{Name: name, Service: state.Service(service), URL: url})
	}
	return fleet, nil
}
