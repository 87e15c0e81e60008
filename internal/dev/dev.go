// Package dev runs a whole deployment inside one process: the stand-ins of
// every outside system, the daemons of three availability zones and a
// balancer.
package dev

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/daemon"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/platform"
	"github.com/plankridge/plankridge/internal/standin/balancer"
)

// daemonsPerZone is the number of entry VMs in each availability zone.
const daemonsPerZone = 2

// Options choose what runs.
type Options struct {
	// Example names the sample files to apply.
	Example string
	// Listen is the IP:port of the balancer.
	Listen string
	Logger *slog.Logger
	// ListLag is how late the VM list shows a change.
	ListLag time.Duration
}

// Deployment is a running deployment.
type Deployment struct {
	// Cloud are the stand-ins of the outside systems.
	Cloud *StandIns
	// Daemons are the daemons of all availability zones.
	Daemons []*daemon.Daemon
	// URL is where callers send requests, through the balancer.
	URL string

	stop    context.CancelFunc
	kill    context.CancelFunc
	running sync.WaitGroup
}

// Start runs a deployment until Stop is called.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	sample, err := examples.Files(options.Example)
	if err != nil {
		return nil, err
	}
	wanted, err := config.Load(sample)
	if err != nil {
		return nil, err
	}
	standIns, err := StartStandIns(wanted, options.ListLag)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Cloud: standIns}
	if err := d.startDaemons(ctx, wanted, options); err != nil {
		standIns.Close()
		return nil, err
	}
	publisher := generation.NewPublisher(platform.NewClient(standIns.ObjectsURL, standIns.VMsURL, "", nil))
	if _, err := publisher.Apply(ctx, wanted, 0, "dev"); err != nil {
		d.Stop()
		return nil, eris.Wrap(err, "apply sample")
	}
	return d, nil
}

func (d *Deployment) startDaemons(ctx context.Context, wanted *config.Deployment, options Options) error {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	serving, stop := context.WithCancel(ctx)
	killing, kill := context.WithCancel(context.WithoutCancel(ctx))
	d.stop, d.kill = stop, kill
	var targets []balancer.Target
	for _, zone := range wanted.Zones {
		for i := range daemonsPerZone {
			settings := d.Cloud.Settings(fmt.Sprintf("%s-entry-%d", zone.Name, i+1), zone.Name)
			one, err := daemon.New(daemon.Options{Settings: settings, Network: network.TCP{}, Logger: options.Logger})
			if err != nil {
				_ = listener.Close()
				d.Stop()
				return err
			}
			d.add(serving, killing, one, options.Logger)
			targets = append(targets, balancer.Target{
				Callers: one.CallerAddress(),
				Ready:   "http://" + one.CallerAddress() + "/readyz",
			})
		}
	}
	d.URL = "http://" + listener.Addr().String()
	d.running.Go(func() { balancer.New(targets).Serve(killing, listener) })
	return nil
}

func (d *Deployment) add(serving, killing context.Context, one *daemon.Daemon, logger *slog.Logger) {
	d.Daemons = append(d.Daemons, one)
	d.Cloud.Fleet.Add(one.VM(), nil)
	d.running.Go(func() {
		if err := one.Run(serving, killing); err != nil {
			logger.Error("daemon failed", "error", err)
		}
	})
}

// WaitReady waits until every daemon has the applied deployment and the
// balancer passes requests on.
func (d *Deployment) WaitReady(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	for {
		if d.ready(ctx) {
			return nil
		}
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "deployment is not ready")
		}
	}
}

func (d *Deployment) ready(ctx context.Context) bool {
	for _, one := range d.Daemons {
		if !one.Ready() {
			return false
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// OperatorURL returns the operator API of the first daemon.
func (d *Deployment) OperatorURL() string {
	return "http://" + d.Daemons[0].VM().OperatorAddress
}

// Drain shuts the daemons down gracefully.
func (d *Deployment) Drain() { d.stop() }

// Stop ends everything at once.
func (d *Deployment) Stop() {
	d.kill()
	d.stop()
	d.running.Wait()
	d.Cloud.Close()
}
