package cli

import (
	"log/slog"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/eventlog"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/router"
)

// serveRouter runs a daemon on the users' platform.
func serveRouter(env *Environment, settingsPath string) error {
	settings, err := config.LoadRouterSettings(settingsPath)
	if err != nil {
		return err
	}
	lines := eventlog.NewWriter(env.Stdout)
	defer lines.Close()
	logger := eventlog.New(lines, slog.LevelInfo)
	one, err := router.New(router.Options{Settings: settings, Network: network.TCP{}, Logger: logger})
	if err != nil {
		return err
	}
	go watchReload(env, settingsPath, settings, logger)
	return one.Run(env.Context, env.Kill)
}

// watchReload checks the settings file when it is told that it has changed. A
// running daemon keeps its addresses; what differs takes effect at its next
// start, and is said so.
func watchReload(env *Environment, path string, before config.RouterSettings, logger *slog.Logger) {
	for range env.Reload {
		after, err := config.LoadRouterSettings(path)
		switch {
		case err != nil:
			logger.Error("changed settings are not valid and are left alone", "error", err)
		case after.Equal(before):
			logger.Info("settings read again, nothing has changed")
		default:
			logger.Warn("settings have changed; they take effect at the next start")
		}
	}
}
