// Package dev runs a complete deployment in one process: stand-ins for all external
// systems, the daemons of three availability zones and a load balancer.
package dev

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/daemon"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/balancer"
	"github.com/plankridge/plankridge/platform"
)

// daemonsPerZone is the number of entry VMs in each availability zone.
const daemonsPerZone = 2

// Ports of a daemon on a VM with its own IP address.
const (
	callerPort   = 8080
	peerPort     = 9080
	operatorPort = 7080
)

// Options configures a deployment.
type Options struct {
	// Example is the name of the sample deployment to apply.
	Example string
	Logger  *slog.Logger
	// ListLag is the delay until the VM list shows a change.
	ListLag time.Duration
	Hosts   HostAllocator
	// BenchmarkMode removes the simulated processing time of plain services, the decode
	// interval of engines, and the limits of workspaces. It is for benchmarks of the
	// daemons.
	BenchmarkMode bool
	// Adjust, if not nil, modifies the settings of each daemon before it starts.
	Adjust func(*config.Settings)
	// CrashesOn, if not nil, reports whether a backend server of the service crashes
	// when it runs a request with the body. A crashed server is replaced.
	CrashesOn func(service string, body []byte) bool
	// CrashText is what a server still writes before it crashes, in an answer without length or
	// chunks.
	CrashText string
	// OnViolation is called when a daemon violates an invariant.
	OnViolation func(error)
}

// Deployment is a running deployment.
type Deployment struct {
	// StandIns are the stand-ins for the external systems.
	StandIns *StandIns
	// Nodes are the entry VMs of all availability zones.
	Nodes []*Node
	// URL is the base URL for callers. It is set by StartBalancer.
	URL string

	options      Options
	operatorHost Host
	stopFuncs    []func()
}

// Node is an entry VM and the daemon that runs on it.
type Node struct {
	Daemon *daemon.Daemon
	Host   Host

	drain context.CancelFunc
	kill  context.CancelFunc
	done  chan struct{}
	err   error
}

// Drain starts the graceful shutdown of the daemon, like SIGTERM.
func (n *Node) Drain() { n.drain() }

// Kill stops the daemon immediately and waits until it has ended.
func (n *Node) Kill() {
	n.kill()
	<-n.done
}

// Ended reports whether the daemon has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Wait waits until the daemon has ended and returns its error.
func (n *Node) Wait() error {
	<-n.done
	return n.err
}

// Start starts a deployment and applies the sample to it. It may return before the
// daemons have received the sample; see WaitReady. Stop ends the deployment.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	sample, err := examples.Files(options.Example)
	if err != nil {
		return nil, err
	}
	desired, err := config.Load(sample)
	if err != nil {
		return nil, err
	}
	if options.BenchmarkMode {
		for i := range desired.Workspaces {
			desired.Workspaces[i].Limits = config.Limits{}
		}
	}
	standIns, err := StartStandIns(desired, options)
	if err != nil {
		return nil, err
	}
	d := &Deployment{StandIns: standIns, options: options, operatorHost: options.Hosts.NewHost()}
	for _, zone := range desired.Zones {
		for i := range daemonsPerZone {
			id := fmt.Sprintf("%s-entry-%d", zone.Name, i+1)
			if _, err := d.StartNode(id, zone.Name, options.Hosts.NewHost()); err != nil {
				d.Stop()
				return nil, err
			}
		}
	}
	if _, err := d.Publisher().Apply(ctx, desired, 0, "dev"); err != nil {
		d.Stop()
		return nil, eris.Wrap(err, "apply sample")
	}
	return d, nil
}

// Publisher returns a publisher that writes deployments to the object store
// directly, without a daemon.
func (d *Deployment) Publisher() *generation.Publisher {
	client := &http.Client{Transport: network.Transport(d.operatorHost.Network, true)}
	return generation.NewPublisher(generation.Values(platform.NewStore(d.StandIns.ObjectsURL, client)))
}

// StartNode starts a daemon on an entry VM and adds the VM to the VM list.
func (d *Deployment) StartNode(id, zone string, host Host) (*Node, error) {
	settings := d.StandIns.Settings(id, zone, host)
	if d.options.Adjust != nil {
		d.options.Adjust(&settings)
	}
	newDaemon, err := daemon.New(daemon.Options{
		Settings: settings, Network: host.Network, Logger: d.options.Logger, OnViolation: d.options.OnViolation,
	})
	if err != nil {
		return nil, err
	}
	serveCtx, drain := context.WithCancel(context.Background())
	killCtx, kill := context.WithCancel(context.Background())
	node := &Node{Daemon: newDaemon, Host: host, drain: drain, kill: kill, done: make(chan struct{})}
	d.Nodes = append(d.Nodes, node)
	d.StandIns.Fleet.Add(newDaemon.VM(), node.Kill)
	go func() {
		defer close(node.done)
		node.err = newDaemon.Run(serveCtx, killCtx)
	}()
	return node, nil
}

// WaitReady waits until all daemons are ready, which requires a deployment.
func (d *Deployment) WaitReady(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	for _, node := range d.Nodes {
		for !node.Daemon.Ready() {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "deployment is not ready")
			}
		}
	}
	return nil
}

// StartBalancer starts a load balancer for the caller APIs of the daemons. It returns
// after the balancer's first readiness check.
func (d *Deployment) StartBalancer(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	var targets []balancer.Target
	for _, node := range d.Nodes {
		address := node.Daemon.CallerAddress()
		targets = append(targets, balancer.Target{Callers: address, Ready: "http://" + address + "/readyz"})
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stopFuncs = append(d.stopFuncs, stop)
	b := balancer.New(targets)
	b.Check(ctx)
	go b.Serve(ctx, listener)
	d.URL = "http://" + listener.Addr().String()
	return nil
}

// OperatorURL returns the URL of the first daemon's operator API.
func (d *Deployment) OperatorURL() string {
	return "http://" + d.Nodes[0].Daemon.VM().OperatorAddress
}

// Stop stops the balancer, the daemons and the stand-ins immediately.
func (d *Deployment) Stop() {
	for _, stop := range d.stopFuncs {
		stop()
	}
	for _, node := range d.Nodes {
		node.Kill()
	}
	d.StandIns.Close()
}
