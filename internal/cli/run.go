package cli

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/daemon"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/network"
)

// Logger returns the logger of long-running commands. It writes JSON lines to
// standard error.
func Logger(env *Environment, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(env.Stderr, &slog.HandlerOptions{Level: level}))
}

// Serve runs a daemon until env.Context is done and then shuts it down gracefully.
// The kind in the settings determines whether it runs a router or a daemon.Daemon.
func Serve(env *Environment, settingsPath string) error {
	if settingsPath == "" {
		return &UsageError{Message: "--settings is missing: the YAML file with the daemon's settings"}
	}
	raw, err := os.ReadFile(settingsPath)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	if config.IsRouterSettings(raw) {
		return serveRouter(env, settingsPath)
	}
	settings, err := config.ParseSettings(settingsPath, raw)
	if err != nil {
		return err
	}
	settings.Limits.MaxDescriptors = limitDescriptors(settings.Limits.MaxDescriptors)
	settings.Limits = settings.Limits.BoundByMemory()
	debug.SetMemoryLimit(settings.Limits.Resources().GoMemoryLimit())
	d, err := daemon.New(daemon.Options{
		Settings: settings,
		Network:  network.TCP{},
		Logger:   Logger(env, slog.LevelInfo),
	})
	if err != nil {
		return err
	}
	return d.Run(env.Context, env.Kill)
}

// DevOptions holds the flags of the dev command.
type DevOptions struct {
	Example string
	Listen  string
	Verbose bool
}

// devVMListLag is the delay until the dev command's VM list shows a change.
const devVMListLag = time.Second

// Dev runs a complete deployment in this process, with stand-ins for the external
// systems, until env.Context is done.
func Dev(env *Environment, options DevOptions) error {
	level := slog.LevelWarn
	if options.Verbose {
		level = slog.LevelInfo
	}
	deployment, err := dev.Start(env.Context, dev.Options{
		Example: options.Example,
		Logger:  Logger(env, level),
		ListLag: devVMListLag,
		Hosts:   dev.Loopback{},
	})
	if err != nil {
		return err
	}
	defer deployment.Stop()
	if err := deployment.WaitReady(env.Context); err != nil {
		return err
	}
	if err := deployment.StartBalancer(options.Listen); err != nil {
		return err
	}
	printDev(env, options.Example, deployment)
	<-env.Context.Done()
	return nil
}

func printDev(env *Environment, example string, d *dev.Deployment) {
	workspace, model := sampleCaller(d)
	key := examples.SampleKey(workspace)
	_, _ = fmt.Fprintf(env.Stdout, `plankridge dev: sample %q, %d daemons, %d backend servers, ready

callers    %s
operators  %s
cloud API  %s   (stand-in; POST /reclaim causes a reclaim)
key        %s   (workspace %s)

Stream tokens:

  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"How heavy is block 12?"}]}'

Replay a day, see the daemons, reclaim the backend servers of a zone:

  go run ./cmd/plankridge replay testdata/traces/%s-day.jsonl --url %s --operators %s
  go run ./cmd/plankridge status --url %s
  curl %s/reclaim -d '{"zone":"%s","role":"backend","notice":"10s"}'
`, example, len(d.Nodes), len(d.StandIns.Fleet.Members())-len(d.Nodes), d.URL, d.OperatorURL(), d.StandIns.CloudURL,
		key, workspace, d.URL, key, model, example, d.URL, d.OperatorURL(), d.OperatorURL(),
		d.StandIns.CloudURL, d.Nodes[0].Daemon.VM().Zone)
}

// sampleCaller returns a workspace of the sample deployment and a model that the
// workspace may call, or empty names if there is none.
func sampleCaller(d *dev.Deployment) (workspace, model string) {
	desired := d.StandIns.Deployment()
	for _, service := range desired.Services {
		if service.Kind != config.KindModel {
			continue
		}
		for _, candidate := range desired.Workspaces {
			if candidate.MayCall(service.Name) {
				return candidate.Name, service.Name
			}
		}
	}
	return "", ""
}
