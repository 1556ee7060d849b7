// Command figstiled is the router daemon of an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/figstile/figstile/transport/daemon"
	"github.com/figstile/figstile/transport/logging"
)

// version is set by the linker in releases.
var version = "development"

// Exit codes.
const (
	exitUsage   = 2
	exitFailure = 1
)

type commandLine struct {
	daemon.Options
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	kong.Parse(&cl,
		kong.Name("figstiled"),
		kong.Description("The figstile router daemon. Every flag can be given in the environment as well."),
		kong.Vars{"version": version},
	)
	if err := cl.Options.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "figstiled: these settings are not usable:")
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log := logging.New(os.Stderr, cl.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(cl.Options, log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailure
	}
	err = d.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("stopped")
		return exitFailure
	}
	return 0
}
