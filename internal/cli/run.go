package cli

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/daemon"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/network"
)

// Logger returns the logger of the long-running commands.
func Logger(env *Environment, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(env.Stderr, &slog.HandlerOptions{Level: level}))
}

// Serve runs one daemon until the context ends, then shuts it down
// gracefully.
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
	one, err := daemon.New(daemon.Options{
		Settings: settings,
		Network:  network.TCP{},
		Logger:   Logger(env, slog.LevelInfo),
	})
	if err != nil {
		return err
	}
	return one.Run(env.Context, env.Kill)
}

// DevOptions are the flags of dev.
type DevOptions struct {
	Example string
	Listen  string
	Verbose bool
}

// devListLag is how late the VM list of dev shows a change.
const devListLag = time.Second

// Dev runs a whole deployment with stand-ins in this process.
func Dev(env *Environment, options DevOptions) error {
	level := slog.LevelWarn
	if options.Verbose {
		level = slog.LevelInfo
	}
	deployment, err := dev.Start(env.Context, dev.Options{
		Example: options.Example,
		Logger:  Logger(env, level),
		ListLag: devListLag,
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

// sampleCaller returns a workspace of the sample and a model that it may call.
func sampleCaller(d *dev.Deployment) (workspace, model string) {
	wanted := d.StandIns.Wanted()
	for _, service := range wanted.Services {
		if service.Kind != config.KindModel {
			continue
		}
		for _, candidate := range wanted.Workspaces {
			if candidate.MayCall(service.Name) {
				return candidate.Name, service.Name
			}
		}
	}
	return "", ""
}
