// Package balancer is a stand-in of the platform's balancer: it passes TCP
// connections on to the entry VMs that report themselves ready, in turn.
package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// checkInterval is the time between two readiness checks of a target.
const checkInterval = 200 * time.Millisecond

// Target is one entry VM.
type Target struct {
	// Callers is the IP:port of the caller API.
	Callers string
	// Ready is the URL that answers 200 while the daemon is ready.
	Ready string
}

// Balancer is the stand-in.
type Balancer struct {
	targets []Target
	ready   []atomic.Bool
	next    atomic.Uint64
	client  *http.Client
}

// New returns a balancer over the targets.
func New(targets []Target) *Balancer {
	return &Balancer{
		targets: targets,
		ready:   make([]atomic.Bool, len(targets)),
		client:  &http.Client{Timeout: time.Second},
	}
}

// Check looks once whether each target is ready.
func (b *Balancer) Check(ctx context.Context) {
	for i := range b.targets {
		b.ready[i].Store(b.check(ctx, b.targets[i].Ready))
	}
}

// Serve passes connections on until the context ends.
func (b *Balancer) Serve(ctx context.Context, listener net.Listener) {
	var checks sync.WaitGroup
	for i := range b.targets {
		checks.Go(func() { b.watch(ctx, i) })
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			checks.Wait()
			return
		}
		go b.pass(conn)
	}
}

func (b *Balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.ready[i].Store(b.check(ctx, b.targets[i].Ready))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) check(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// dial opens a connection to the next ready target.
func (b *Balancer) dial() (net.Conn, bool) {
	for range b.targets {
		i := int(b.next.Add(1) % uint64(len(b.targets)))
		if !b.ready[i].Load() {
			continue
		}
		conn, err := net.DialTimeout("tcp", b.targets[i].Callers, time.Second)
		if err == nil {
			return conn, true
		}
	}
	return nil, false
}

func (b *Balancer) pass(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, ok := b.dial()
	if !ok {
		return
	}
	defer func() { _ = server.Close() }()
	var both sync.WaitGroup
	both.Go(func() { copyHalf(server, client) })
	both.Go(func() { copyHalf(client, server) })
	both.Wait()
}

// copyHalf copies one direction and closes it when the source has ended.
func copyHalf(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
