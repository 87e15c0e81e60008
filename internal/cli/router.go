package cli

import (
	"log/slog"
	"runtime/debug"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/eventlog"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/router"
)

// serveRouter runs a router on the users' platform. It logs to standard output.
func serveRouter(env *Environment, settingsPath string) error {
	settings, err := config.LoadRouterSettings(settingsPath)
	if err != nil {
		return err
	}
	before := settings
	settings.VM.MaxDescriptors = limitDescriptors(settings.VM.MaxDescriptors)
	debug.SetMemoryLimit(settings.VM.Resources().GoMemoryLimit())
	lines := eventlog.NewWriter(env.Stdout)
	defer lines.Close()
	logger := eventlog.New(lines, slog.LevelInfo)
	r, err := router.New(router.Options{Settings: settings, Network: network.TCP{}, Logger: logger})
	if err != nil {
		return err
	}
	go watchReload(env, settingsPath, before, logger)
	return r.Run(env.Context, env.Kill)
}

// watchReload validates the settings file after each reload signal and logs the
// result. A running daemon keeps its settings, such as its addresses. Changes take
// effect at the next start.
func watchReload(env *Environment, path string, before config.RouterSettings, logger *slog.Logger) {
	for range env.Reload {
		after, err := config.LoadRouterSettings(path)
		switch {
		case err != nil:
			logger.Error("changed settings are not valid and are ignored", "error", err)
		case after.Equal(before):
			logger.Info("settings reloaded without changes")
		default:
			logger.Warn("settings have changed and take effect at the next start")
		}
	}
}
