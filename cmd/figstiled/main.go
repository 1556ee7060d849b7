// Command figstiled is the router daemon. It runs on the VMs that receive the
// callers' requests.
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

const description = `The figstile router daemon.

Every flag can be given in the environment as well. Secrets are read from the
environment only: FIGSTILE_PLATFORM_TOKEN, FIGSTILE_FLEET_TOKEN,
FIGSTILE_BOOTSTRAP_TOKEN, FIGSTILE_TLS_CERT, FIGSTILE_TLS_KEY,
FIGSTILE_PEER_CERT, FIGSTILE_PEER_KEY and FIGSTILE_PEER_CA (PEM).

Exit codes: 0 stopped as asked, 1 a server failed, 2 unusable settings, 70 the
scheduler failed.`

// Exit codes.
const (
	exitUsage   = 2
	exitFailure = 1
)

type commandLine struct {
	Serve   serveCommand     `cmd:"" default:"withargs" help:"Run a router that is set up by flags and the settings tree."`
	Edge    edgeCommand      `cmd:"" help:"Run a router on the users' platform, set up by its settings file."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// serveCommand runs a router with the project's own HTTP interface. The router is
// configured by flags and the settings tree.
type serveCommand struct {
	daemon.Options
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	parsed := kong.Parse(&cl,
		kong.Name("figstiled"),
		kong.Description(description),
		kong.Vars{"version": version},
	)
	if parsed.Command() == "edge" {
		return cl.Edge.run()
	}
	return cl.Serve.run()
}

func (c *serveCommand) run() int {
	c.Secrets = daemon.SecretsFrom(os.Getenv)
	if err := c.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "figstiled: these settings are not usable:")
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log := logging.New(os.Stderr, c.LogLevel)
	ctx := contextUntilSignal()
	d, err := daemon.New(c.Options, log)
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

// contextUntilSignal returns a context that is cancelled by the first SIGTERM or
// SIGINT. The process keeps handling these signals until it ends. Otherwise a
// second signal would kill it before its last log lines are written, and with an
// exit code that reports a failure.
func contextUntilSignal() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}
