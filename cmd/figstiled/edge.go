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

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 2 * time.Second

// edgeCommand runs a router on the users' platform.
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
	ctx := untilStopped()
	store := platform.NewStore(settings.Store, edge.NewDialer().DialContext)
	router, err := edge.New(settings.Settings, platform.New(store), log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailure
	}
	go followSettings(ctx, c.Settings, router, log)
	if err := router.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("stopped")
		return exitFailure
	}
	return 0
}

// followSettings takes new seeds from the settings file at SIGHUP and when the
// file has changed. Unusable settings leave the old ones in force.
func followSettings(ctx context.Context, path string, router *edge.Router, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Err(err).Msg("reload failed; the old settings stay in force")
			continue
		}
		router.AddSeeds(settings.Seeds)
		log.Info().Strs("seeds", settings.Seeds).Msg("reloaded")
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
