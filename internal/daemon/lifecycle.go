package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Run serves until the context ends, and then shuts down gracefully: it
// returns when every accepted request has its answer. kill ends it at once.
func (d *Daemon) Run(ctx, kill context.Context) error {
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	background.Go(func() { d.registry.Run(loops, d.vms, d.cloud) })
	background.Go(func() { d.follower.Run(loops) })
	background.Go(func() { d.mesh.Run(loops) })
	background.Go(func() { d.keys.Run(loops) })

	failed := make(chan error, 3)
	background.Go(func() { failed <- ignoreClosed(d.callerServer.Serve(d.callerListener)) })
	background.Go(func() { failed <- ignoreClosed(d.operatorServer.Serve(d.operatorListener)) })
	background.Go(func() { failed <- ignoreClosed(d.peerServer.Serve(d.peerListener)) })
	d.logger.Info("daemon started", "zone", d.settings.Daemon.Zone, "callers", d.CallerAddress(),
		"operators", d.operatorListener.Addr().String(), "peers", d.peerListener.Addr().String())

	var err error
	select {
	case <-ctx.Done():
		err = d.shutDown(kill)
	case deadline := <-d.registry.SelfLeaving():
		err = d.evacuate(kill, deadline)
	case <-kill.Done():
	case err = <-failed:
	}
	d.close()
	stopLoops()
	background.Wait()
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutDown cuts no request: it stays reachable until the balancer has noticed,
// answers what it has accepted, and gives unread answers to other daemons.
func (d *Daemon) shutDown(kill context.Context) error {
	d.logger.Info("shutting down", "delay", d.settings.Drain.Delay.Std())
	d.draining.Store(true)
	d.callerAPI.Drain()
	select {
	case <-time.After(d.settings.Drain.Delay.Std()):
	case <-kill.Done():
		return kill.Err()
	}
	if err := d.callerServer.Shutdown(kill); err != nil {
		return eris.Wrap(err, "wait for callers")
	}
	if err := d.dispatcher.Drain(kill); err != nil {
		return eris.Wrap(err, "wait for requests")
	}
	d.dispatcher.HandOverAnswers(kill)
	d.releaseKeys(kill)
	d.logger.Info("every request has ended")
	return nil
}

// evacuationMargin is the time before a reclaim's deadline at which the daemon
// hands over what has not ended. A shorter notice leaves half of itself.
const evacuationMargin = 1500 * time.Millisecond

// evacuate empties the daemon before its VM is reclaimed: short requests still
// end here, the others go to other daemons.
func (d *Daemon) evacuate(kill context.Context, deadline time.Time) error {
	left := time.Until(deadline)
	d.logger.Info("VM is being reclaimed", "left", left)
	d.draining.Store(true)
	d.callerAPI.Drain()
	select {
	case <-time.After(left - min(evacuationMargin, left/2)):
	case <-kill.Done():
		return kill.Err()
	}
	ctx, cancel := context.WithDeadline(kill, deadline)
	defer cancel()
	d.dispatcher.Evacuate(ctx)
	d.releaseKeys(ctx)
	d.logger.Info("every request has ended or moved")
	return d.callerServer.Shutdown(ctx)
}

// releaseTimeout bounds the release of key slots. Without it, others take them
// when this VM has left the VM list.
const releaseTimeout = 5 * time.Second

func (d *Daemon) releaseKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.keys.Release(ctx)
}

// zoneNames returns the availability zones of the deployment in force.
func (d *Daemon) zoneNames() []string {
	index := d.follower.Index()
	if index == nil {
		return nil
	}
	var names []string
	for _, zone := range index.Deployment.Zones {
		names = append(names, zone.Name)
	}
	return names
}

// close ends everything at once.
func (d *Daemon) close() {
	d.mesh.Close()
	d.peerServer.Stop()
	d.dispatcher.Stop()
	_ = d.callerServer.Close()
	_ = d.operatorServer.Close()
	d.creds.Close()
}
