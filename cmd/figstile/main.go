// Command figstile is the command line tool for operators of a router fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/figstile/figstile/cmd/figstile/internal/cli"
)

// version is set by the linker in releases.
var version = "development"

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cli.Main(ctx, cli.Environment{
		Args:    os.Args[1:],
		Getenv:  os.Getenv,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Version: version,
	})
}
