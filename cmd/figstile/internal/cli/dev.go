package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/figstile/figstile/devfleet"
	"github.com/figstile/figstile/transport/logging"
)

type devCommand struct {
	Sample    string        `help:"Deployment to start: cantabria or aravena." default:"cantabria"`
	Once      bool          `help:"Send a mixed load, print what came of it, check every promise and stop."`
	Duration  time.Duration `help:"How long the load lasts with --once; without, how long to run." placeholder:"TIME"`
	Load      devfleet.Load `help:"Load to send with --once or to write: ${enum}." enum:"idle,usual,rush,saturated,flood" default:"rush"`
	Workload  string        `help:"Write the load as a workload file for figstile load and stop." type:"path" placeholder:"FILE"`
	Describe  string        `help:"File to write the fleet's addresses to, for figstile load --fleet." type:"path" placeholder:"FILE"`
	Platform  bool          `help:"Start routers on stand-ins of the users' platform instead; of the other flags --once, --duration and --log-level count."`
	NoRouters bool          `help:"Start the stand-ins only."`
	LogLevel  string        `help:"Least level of the routers' log." enum:"debug,info,warn,error" default:"warn"`
}

const (
	// defaultLogLevel is the default of the flag --log-level.
	defaultLogLevel = "warn"
	// defaultTrialDuration is the default length of the load of dev --once. One
	// engine leaves during the load and is unavailable for six of these seconds.
	defaultTrialDuration = 8 * time.Second
	// defaultWorkloadDuration is long enough for the fairness bound to detect
	// faults: in a shorter run, even a fleet that serves only one workspace
	// stays within the bound.
	defaultWorkloadDuration = 30 * time.Second
	// startTimeout limits the time to start a fleet, which takes about a second.
	startTimeout = 30 * time.Second
)

// promiseError reports that the fleet broke a promise, which is a property that
// every trial checks. The broken promise has already been printed.
type promiseError struct{}

func (promiseError) Error() string { return "a promise was broken" }

func (promiseError) exitCode() int { return exitInternal }

func (d devCommand) Run(a *app) error {
	if d.Platform {
		return d.runOnPlatform(a)
	}
	sample, err := devfleet.SampleByName(d.Sample)
	if err != nil {
		return usageError(err.Error())
	}
	if d.Workload != "" {
		return writeJSON(d.Workload, sample.Workload(d.loadDuration(defaultWorkloadDuration), d.Load))
	}
	fleet, err := d.startFleet(a, sample)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if err := d.writeDescription(fleet); err != nil {
		return err
	}
	if d.Once {
		return d.runTrial(a, sample, fleet)
	}
	if err := fleet.WriteAddresses(a.out.w); err != nil {
		return err
	}
	d.waitForEnd(a.ctx)
	return nil
}

func (d devCommand) startFleet(a *app, sample devfleet.Sample) (*devfleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(a.ctx, startTimeout)
	defer cancel()
	return devfleet.Start(ctx, devfleet.Options{
		Sample:         sample,
		WithoutRouters: d.NoRouters,
		Log:            logging.New(os.Stderr, d.LogLevel),
	})
}

func (d devCommand) writeDescription(fleet *devfleet.Fleet) error {
	if d.Describe == "" {
		return nil
	}
	return writeJSON(d.Describe, fleet.Describe())
}

// loadDuration returns the length of a load: the value of --duration, or the
// fallback if the flag is not given.
func (d devCommand) loadDuration(fallback time.Duration) time.Duration {
	if d.Duration > 0 {
		return d.Duration
	}
	return fallback
}

func (d devCommand) runTrial(a *app, sample devfleet.Sample, fleet *devfleet.Fleet) error {
	trial, err := fleet.RunTrial(a.ctx, sample.Workload(d.loadDuration(defaultTrialDuration), d.Load))
	if err != nil {
		return err
	}
	return showTrial(a, trial)
}

// runOnPlatform starts routers that use stand-ins of the users' platform.
func (d devCommand) runOnPlatform(a *app) (err error) {
	ctx, cancel := context.WithTimeout(a.ctx, startTimeout)
	defer cancel()
	level := d.LogLevel
	if level == defaultLogLevel {
		// These routers log every refused request as a warning, so the default
		// for them is to log errors only.
		level = "error"
	}
	fleet, err := devfleet.StartEdge(ctx, logging.New(os.Stderr, level))
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := fleet.Stop(); err == nil {
			err = stopErr
		}
	}()
	if !d.Once {
		if err := fleet.WriteAddresses(a.out.w); err != nil {
			return err
		}
		d.waitForEnd(a.ctx)
		return nil
	}
	trial, err := fleet.RunTrial(a.ctx, d.loadDuration(defaultTrialDuration))
	if err != nil {
		return err
	}
	return showTrial(a, trial)
}

// trial is the result of a load that was sent to a fleet.
type trial interface {
	// WriteText prints the measurements and the result of each check.
	WriteText(w io.Writer) error
	// PromisesKept reports whether the fleet kept all promises.
	PromisesKept() bool
}

// showTrial prints a trial and returns an error if the fleet broke a promise
// during it.
func showTrial(a *app, t trial) error {
	var writeErr error
	if err := a.out.show(t, func() { writeErr = t.WriteText(a.out.w) }); err != nil {
		return err
	}
	if writeErr == nil && !t.PromisesKept() {
		return promiseError{}
	}
	return writeErr
}

// waitForEnd waits until the command is stopped or, if --duration is given, until
// that time has passed.
func (d devCommand) waitForEnd(ctx context.Context) {
	if d.Duration > 0 {
		limited, cancel := context.WithTimeout(ctx, d.Duration)
		defer cancel()
		ctx = limited
	}
	<-ctx.Done()
}

func writeJSON(path string, value any) error {
	return writeFile(path, func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	})
}

// writeFile creates a file and writes its content. It also returns the error of
// closing the file, because a full disk may be reported only then.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
