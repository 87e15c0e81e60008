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

// Run serves until ctx is done and then shuts down gracefully: it returns when
// every accepted request has been answered. If the VM is about to be reclaimed, it
// hands over unfinished requests to other daemons before the deadline. When kill is
// done, Run stops immediately.
func (d *Daemon) Run(ctx, kill context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	background.Go(func() { d.registry.Run(loopCtx, d.vms, d.cloud) })
	background.Go(func() { d.follower.Run(loopCtx) })
	background.Go(func() { d.mesh.Run(loopCtx) })
	background.Go(func() { d.keys.Run(loopCtx) })

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

// shutDown ends the daemon without interrupting a request. It keeps accepting
// connections until the balancer has detected that the daemon is not ready, waits
// for all accepted requests, and transfers unread answers to other daemons.
func (d *Daemon) shutDown(kill context.Context) error {
	d.logger.Info("shutting down", "delay", d.settings.Drain.Delay.Std())
	d.draining.Store(true)
	d.callerAPI.Drain()
	select {
	case <-time.After(d.settings.Drain.Delay.Std()):
	case <-kill.Done():
		return kill.Err()
	}
	if err := d.drainCallers(kill); err != nil {
		return eris.Wrap(err, "wait for callers")
	}
	if err := d.dispatcher.Drain(kill); err != nil {
		return eris.Wrap(err, "wait for requests")
	}
	d.handOver(kill)
	d.logger.Info("all requests have ended")
	return nil
}

// maxDrainLag is how far behind a caller may be with a request or with reading its answer while the requests in
// flight are waited for.
const maxDrainLag = time.Second

// drainCallers waits until the requests of callers have ended.
func (d *Daemon) drainCallers(kill context.Context) error {
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	go d.callerGuard.CloseStalled(ctx, maxDrainLag)
	return d.callerServer.Shutdown(kill)
}

// handOver gives to other daemons what they can continue: the slots of idempotency keys, and the unread
// answers. Neither waits for the other, since one depends on the store and the other on peers.
func (d *Daemon) handOver(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, handOverTimeout)
	defer cancel()
	var release sync.WaitGroup
	release.Go(func() { d.releaseKeys(ctx) })
	d.dispatcher.HandOverAnswers(ctx)
	release.Wait()
}

// handOverTimeout bounds the hand-over at the end of a shutdown.
const handOverTimeout = 5 * time.Second

// evacuationMargin is how long before the reclaim deadline the daemon hands over
// unfinished requests. If less than twice the margin remains, it uses half of the
// remaining time.
const evacuationMargin = 1500 * time.Millisecond

// evacuate shuts the daemon down before its VM is reclaimed. Requests may finish
// here until evacuationMargin before the deadline. The others are handed over to
// other daemons.
func (d *Daemon) evacuate(kill context.Context, deadline time.Time) error {
	remaining := time.Until(deadline)
	d.logger.Info("VM is being reclaimed", "left", remaining)
	d.draining.Store(true)
	d.callerAPI.Drain()
	select {
	case <-time.After(remaining - min(evacuationMargin, remaining/2)):
	case <-kill.Done():
		return kill.Err()
	}
	ctx, cancel := context.WithDeadline(kill, deadline)
	defer cancel()
	d.dispatcher.Evacuate(ctx)
	d.releaseKeys(ctx)
	d.logger.Info("all requests have ended or have been handed over")
	return d.callerServer.Shutdown(ctx)
}

// releaseTimeout bounds the release of key slots. Slots that are not released in
// time are taken over by other daemons once this VM has left the VM list.
const releaseTimeout = 5 * time.Second

func (d *Daemon) releaseKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.keys.Release(ctx)
}

// zoneNames returns the names of the availability zones in the deployment in force.
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

// close stops all servers and cancels all requests immediately.
func (d *Daemon) close() {
	d.mesh.Close()
	d.peerServer.Stop()
	d.dispatcher.Stop()
	_ = d.callerServer.Close()
	_ = d.operatorServer.Close()
	d.credentials.Close()
}
