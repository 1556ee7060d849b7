package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/transport/edge"
	"github.com/figstile/figstile/transport/logging"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes. The file may change without a signal to the process.
const settingsPollInterval = 2 * time.Second

// edgeCommand runs a router on the users' platform. The router is configured by
// the platform's settings file.
type edgeCommand struct {
	Settings string `help:"Path of the platform's settings file." env:"FIGSTILE_CONFIG" required:"" type:"path"`
	Metrics  string `help:"Address for figures; empty serves none." env:"FIGSTILE_METRICS_LISTEN"`
	LogLevel string `help:"Least level that is logged." env:"FIGSTILE_LOG_LEVEL" enum:"debug,info,warn,error" default:"info"`
}

func (c *edgeCommand) run() int {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "figstiled: these settings are not usable:")
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings.Addresses.Metrics = c.Metrics
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	log := logging.New(output, c.LogLevel)
	ctx := contextUntilSignal()
	store := platform.NewStore(settings.StoreAddress, settings.MaxValueBytes, edge.NewDialer().DialContext)
	router, err := edge.New(settings.Settings, platform.New(store), log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailure
	}
	go reloadSeeds(ctx, c.Settings, router, log)
	if err := router.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("stopped")
		return exitFailure
	}
	return 0
}

// reloadSeeds reads new seeds from the settings file on SIGHUP and when the file
// has changed. If the settings are invalid, the old ones stay in force.
func reloadSeeds(ctx context.Context, path string, router *edge.Router, log zerolog.Logger) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Err(err).Msg("reload failed; the old settings stay in force")
			continue
		}
		router.AddSeeds(settings.Seeds)
		log.Info().Strs("seeds", settings.Seeds).Msg("reloaded")
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
