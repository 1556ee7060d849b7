// Package cli implements the figstile command line. Each file implements one
// command with its subcommands. To add a command, add a field to commands whose
// type has a Run method that takes an *app.
package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/figstile/figstile/transport/pause"
)

// Environment holds the values that the process passes to the command line.
type Environment struct {
	Args    []string
	Getenv  func(string) string
	Stdout  io.Writer
	Stderr  io.Writer
	Version string
	// Random returns the text of a new token or change id. If it is nil,
	// rand.Text is used.
	Random func() string
	// Sleep waits between two attempts to send a change. If it is nil, it waits
	// in real time.
	Sleep func(ctx context.Context, d time.Duration)
}

// commands holds all commands and the flags that they share.
type commands struct {
	Server  string           `help:"Base URL of any router's administration API." env:"FIGSTILE_SERVER" default:"http://127.0.0.1:8081" placeholder:"URL"`
	Output  string           `help:"Form of the output: ${enum}." enum:"table,json" default:"table" short:"o"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Config    configCommands    `cmd:"" help:"Read and change whole objects of the settings."`
	Team      teamCommands      `cmd:"" help:"Manage teams and their shares (operators)."`
	Workspace workspaceCommands `cmd:"" help:"Manage workspaces of a team."`
	Upstream  upstreamCommands  `cmd:"" help:"Take upstreams out of use and back (operators)."`
	Status    statusCommand     `cmd:"" help:"Show every router: versions in force, upstreams, backlog, service, fairness gap."`
	Drain     drainCommand      `cmd:"" help:"Drain the router at --server: it finishes what it has and stops."`
	Replay    replayCommand     `cmd:"" help:"Replay recorded traces and check the stated outcomes."`
	Dev       devCommand        `cmd:"" help:"Run a small fleet with stand-ins on this machine; with --once, load it and check its promises."`
	Load      loadCommand       `cmd:"" help:"Send an open-loop load to a fleet and measure what its callers see."`
	Capacity  capacityCommands  `cmd:"" help:"Work out what a fleet of some size costs, and what breaks first."`
	Explain   explainCommand    `cmd:"" help:"Tell from the routers' logs what happened to one request."`
}

// tokenVariable is the name of the environment variable that holds the bearer
// token. The token cannot be given as a flag, because other users of the machine
// could read it from the process list.
const tokenVariable = "FIGSTILE_TOKEN"

const description = `Operates a figstile router fleet through any of its routers.

The token is read from FIGSTILE_TOKEN.

Exit codes: 0 done, 1 internal failure, 2 usage, 3 refused or invalid,
4 conflict (somebody else changed it first), 5 unavailable (nothing was
changed), 6 outcome unknown, 7 objects differ (config diff).`

// requestTimeout is longer than a router needs until it gives up finding out
// whether one of its own writes, whose answer was lost, took effect.
const requestTimeout = 60 * time.Second

// app holds the dependencies that each command's Run method receives.
type app struct {
	ctx    context.Context
	client *client
	out    *output
	random func() string
}

// exitPanic is the panic value that returns an exit code from the parser to Main.
// For --help and --version the parser would otherwise end the process.
type exitPanic int

// Main runs one command line and returns the exit code of the process.
func Main(ctx context.Context, env Environment) (code int) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case exitPanic:
			code = int(recovered)
		default:
			panic(recovered)
		}
	}()
	env = env.withDefaults()
	var cmds commands
	parser, err := newParser(&cmds, env)
	if err != nil {
		fmt.Fprintln(env.Stderr, "figstile:", err)
		return exitInternal
	}
	parsed, err := parser.Parse(env.Args)
	if err != nil {
		fmt.Fprintln(env.Stderr, "figstile:", err)
		fmt.Fprintln(env.Stderr, "See figstile --help.")
		return exitUsage
	}
	err = parsed.Run(newApp(ctx, &cmds, env))
	return reportError(env.Stderr, err)
}

func (e Environment) withDefaults() Environment {
	if e.Random == nil {
		e.Random = rand.Text
	}
	if e.Sleep == nil {
		e.Sleep = func(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }
	}
	return e
}

func newParser(cmds *commands, env Environment) (*kong.Kong, error) {
	return kong.New(cmds,
		kong.Name("figstile"),
		kong.Description(description),
		kong.Vars{"version": env.Version},
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
	)
}

func newApp(ctx context.Context, cmds *commands, env Environment) *app {
	return &app{
		ctx: ctx,
		client: &client{
			baseURL:    cmds.Server,
			token:      env.Getenv(tokenVariable),
			httpClient: &http.Client{Timeout: requestTimeout},
			sleep:      env.Sleep,
			newID:      env.Random,
		},
		out:    &output{w: env.Stdout, json: cmds.Output == "json"},
		random: env.Random,
	}
}

// reportError prints an error, if there is one, and returns its exit code.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	var coded exitCoder
	if !errors.As(err, &coded) {
		fmt.Fprintln(w, "figstile:", err)
		return exitInternal
	}
	if message := err.Error(); message != "" {
		fmt.Fprintln(w, "figstile:", message)
	}
	return coded.exitCode()
}
