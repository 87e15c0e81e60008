// Package memnet is an in-memory network for tests under synctest time. Links
// between hosts can be cut.
package memnet

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

// Net is an in-memory network. The zero value is not usable; call New.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packetConn
	cut       map[[2]string]bool
	refused   map[[2]string]bool
	silent    map[[2]string]bool
	dark      map[string]bool
	// paused holds the datagrams that wait for paused hosts.
	paused  map[string][]waitingDatagram
	conns   map[[2]string][]*conn
	traffic map[string]*Traffic
}

// New returns an empty network.
func New() *Net {
	return &Net{
		listeners: map[string]*listener{},
		packets:   map[string]*packetConn{},
		cut:       map[[2]string]bool{},
		refused:   map[[2]string]bool{},
		silent:    map[[2]string]bool{},
		dark:      map[string]bool{},
		paused:    map[string][]waitingDatagram{},
		conns:     map[[2]string][]*conn{},
		traffic:   map[string]*Traffic{},
	}
}

// Host is the network as seen from one IP address. It implements
// network.Network.
type Host struct {
	net *Net
	ip  string
}

// Host returns the network as seen from ip.
func (n *Net) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// link returns the unordered pair of two hosts.
func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Traffic counts the bytes of one host.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Traffic returns the counters of a host.
func (n *Net) Traffic(ip string) *Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.traffic[ip] == nil {
		n.traffic[ip] = &Traffic{}
	}
	return n.traffic[ip]
}

// Cut breaks all connections between two hosts and refuses new ones.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link(a, b)] = true
	for _, conn := range n.conns[link(a, b)] {
		_ = conn.Close()
	}
	delete(n.conns, link(a, b))
}

// Heal undoes Cut.
func (n *Net) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, link(a, b))
}

// backlog is the number of connections that wait for Accept.
const backlog = 1024

// listener implements net.Listener.
type listener struct {
	net     *Net
	address string
	waiting chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.net.mu.Lock()
	if l.net.listeners[l.address] == l {
		delete(l.net.listeners, l.address)
	}
	l.net.mu.Unlock()
	l.once.Do(func() { close(l.closed) })
	l.reset()
	return nil
}

// reset breaks the connections that a closed listener has not accepted, as an
// operating system does.
func (l *listener) reset() {
	for {
		select {
		case c := <-l.waiting:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memnet" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Listen implements network.Network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{net: h.net, address: addr, waiting: make(chan net.Conn, backlog), closed: make(chan struct{})}
	h.net.listeners[addr] = l
	return l, nil
}

// Dial implements network.Network.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, _, _ := strings.Cut(addr, ":")
	h.net.mu.Lock()
	target, cut := h.net.listeners[addr], h.net.cut[link(h.ip, ip)] || h.net.refused[link(h.ip, ip)]
	h.net.mu.Unlock()
	if target == nil || cut {
		return nil, syscall.ECONNREFUSED
	}
	if h.net.quiet(h.ip, ip) {
		return nil, unanswered(ctx)
	}
	client, server := newPair(address(h.ip), address(addr), h.net.Traffic(h.ip), h.net.Traffic(ip))
	select {
	case target.waiting <- server:
	case <-target.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case <-target.closed:
		target.reset()
	default:
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.conns[link(h.ip, ip)] = append(h.net.conns[link(h.ip, ip)], client)
	return client, nil
}
