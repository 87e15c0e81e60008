package memnet

import (
	"context"
	"syscall"
	"time"
)

// probesFail is how long a connection may be held before its ends give it up, as the probes of
// a daemon's connections find out.
const probesFail = 3 * time.Second

// dialFails is how long an attempt to open a connection hangs where nothing answers it.
const dialFails = 2 * time.Second

// unanswered waits for as long as an attempt hangs and returns how it ends.
func unanswered(ctx context.Context) error {
	select {
	case <-time.After(dialFails):
		return syscall.ETIMEDOUT
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Silence lets nothing pass between two hosts and says nothing of it: connections and attempts
// to open one hang.
func (n *Net) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[link(a, b)] = true
	n.hold(link(a, b))
}

// Speak undoes Silence. What was held arrives.
func (n *Net) Speak(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.silent, link(a, b))
	n.release(link(a, b))
}

// Darken lets nothing pass between a host and all others, as the loss of its power does.
func (n *Net) Darken(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[ip] = true
	for pair := range n.conns {
		if pair[0] == ip || pair[1] == ip {
			n.hold(pair)
		}
	}
}

// Lighten undoes Darken. The host knows nothing of its earlier connections, and what was in flight on
// them is lost.
func (n *Net) Lighten(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dark, ip)
	for pair, conns := range n.conns {
		if pair[0] != ip && pair[1] != ip {
			continue
		}
		for _, c := range conns {
			c.abort()
		}
		delete(n.conns, pair)
	}
}

// quiet reports whether nothing passes between two hosts.
func (n *Net) quiet(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isQuiet(a, b)
}

// isQuiet is quiet for a caller that holds the lock.
func (n *Net) isQuiet(a, b string) bool {
	return n.silent[link(a, b)] || n.dark[a] || n.dark[b] || n.isPaused(a) || n.isPaused(b)
}

// hold holds the connections of a pair of hosts; the caller holds the lock.
func (n *Net) hold(pair [2]string) {
	held := n.conns[pair]
	for _, c := range held {
		c.hold(true)
	}
	if len(held) == 0 {
		return
	}
	time.AfterFunc(probesFail, func() {
		if !n.quiet(pair[0], pair[1]) {
			return
		}
		for _, c := range held {
			c.abort()
		}
	})
}

// release lets the connections of a pair of hosts go on, unless another cause holds them; the
// caller holds the lock.
func (n *Net) release(pair [2]string) {
	if n.isQuiet(pair[0], pair[1]) {
		return
	}
	for _, c := range n.conns[pair] {
		c.hold(false)
	}
}
