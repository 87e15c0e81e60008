// Package dev runs a whole deployment inside one process: the stand-ins of
// every outside system, the daemons of three availability zones and a
// balancer.
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

// Ports of a daemon whose VM has an address of its own.
const (
	callerPort   = 8080
	peerPort     = 9080
	operatorPort = 7080
)

// Options choose what runs.
type Options struct {
	// Example names the sample files to apply.
	Example string
	Logger  *slog.Logger
	// ListLag is how late the VM list shows a change.
	ListLag time.Duration
	Hosts   HostAllocator
	// Instant makes the backend servers answer at once and takes the limits of
	// the workspaces away, for benchmarks of the daemons.
	Instant bool
	// Adjust, when not nil, changes the settings of each daemon.
	Adjust func(*config.Settings)
	// Ends, when not nil, reports whether a backend server ends when it runs a request with a
	// body. Another one starts in its place.
	CrashesOn func(service string, body []byte) bool
	// OnViolation is called when the program breaks an invariant.
	OnViolation func(error)
}

// Deployment is a running deployment.
type Deployment struct {
	// StandIns are the stand-ins of the outside systems.
	StandIns *StandIns
	// Nodes are the entry VMs of all availability zones.
	Nodes []*Node
	// URL is where callers send requests, once Balance has been called.
	URL string

	options      Options
	operatorHost Host
	stopFuncs    []func()
}

// Node is an entry VM with its daemon.
type Node struct {
	Daemon *daemon.Daemon
	Host   Host

	drain context.CancelFunc
	kill  context.CancelFunc
	done  chan struct{}
	err   error
}

// Drain begins the graceful shutdown of the daemon, as SIGTERM does.
func (n *Node) Drain() { n.drain() }

// Kill ends the daemon at once.
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

// Start runs a deployment until Stop is called. The sample is applied; daemons
// may need a moment to take it over.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	sample, err := examples.Files(options.Example)
	if err != nil {
		return nil, err
	}
	wanted, err := config.Load(sample)
	if err != nil {
		return nil, err
	}
	if options.Instant {
		for i := range wanted.Workspaces {
			wanted.Workspaces[i].Limits = config.Limits{}
		}
	}
	standIns, err := StartStandIns(wanted, options)
	if err != nil {
		return nil, err
	}
	d := &Deployment{StandIns: standIns, options: options, operatorHost: options.Hosts.NewHost()}
	for _, zone := range wanted.Zones {
		for i := range daemonsPerZone {
			id := fmt.Sprintf("%s-entry-%d", zone.Name, i+1)
			if _, err := d.StartNode(id, zone.Name, options.Hosts.NewHost()); err != nil {
				d.Stop()
				return nil, err
			}
		}
	}
	if _, err := d.Publisher().Apply(ctx, wanted, 0, "dev"); err != nil {
		d.Stop()
		return nil, eris.Wrap(err, "apply sample")
	}
	return d, nil
}

// Publisher returns a publisher that applies to the platform directly.
func (d *Deployment) Publisher() *generation.Publisher {
	client := &http.Client{Transport: network.Transport(d.operatorHost.Network, true)}
	return generation.NewPublisher(generation.Values(platform.NewStore(d.StandIns.ObjectsURL, client)))
}

// StartNode starts a daemon on an entry VM and puts it into the VM list.
func (d *Deployment) StartNode(id, zone string, host Host) (*Node, error) {
	settings := d.StandIns.Settings(id, zone, host)
	if d.options.Adjust != nil {
		d.options.Adjust(&settings)
	}
	one, err := daemon.New(daemon.Options{
		Settings: settings, Network: host.Network, Logger: d.options.Logger, OnViolation: d.options.OnViolation,
	})
	if err != nil {
		return nil, err
	}
	serving, drain := context.WithCancel(context.Background())
	killing, kill := context.WithCancel(context.Background())
	node := &Node{Daemon: one, Host: host, drain: drain, kill: kill, done: make(chan struct{})}
	d.Nodes = append(d.Nodes, node)
	d.StandIns.Fleet.Add(one.VM(), node.Kill)
	go func() {
		defer close(node.done)
		node.err = one.Run(serving, killing)
	}()
	return node, nil
}

// WaitReady waits until every daemon has the applied deployment.
func (d *Deployment) WaitReady(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	for _, node := range d.Nodes {
		for !node.Daemon.Ready() {
			select {
			case <-time.After(poll):
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "deployment is not ready")
			}
		}
	}
	return nil
}

// StartBalancer puts a balancer before the daemons. It returns when the balancer
// has found them ready.
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

// OperatorURL returns the operator API of the first daemon.
func (d *Deployment) OperatorURL() string {
	return "http://" + d.Nodes[0].Daemon.VM().OperatorAddress
}

// Stop ends everything at once.
func (d *Deployment) Stop() {
	for _, stop := range d.stopFuncs {
		stop()
	}
	for _, node := range d.Nodes {
		node.Kill()
	}
	d.StandIns.Close()
}
