package memnet

import (
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// queueLength is the number of datagrams that wait at a port; more are lost.
const queueLength = 256

// datagram is one message with its sender.
type datagram struct {
	from net.Addr
	data []byte
}

// packetConn implements net.PacketConn.
type packetConn struct {
	net     *Net
	ip      string
	address string
	queue   chan datagram
	once    sync.Once
	closed  chan struct{}
}

// ListenPacket implements network.Network.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.packets[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	p := &packetConn{net: h.net, ip: h.ip, address: addr, queue: make(chan datagram, queueLength), closed: make(chan struct{})}
	h.net.packets[addr] = p
	return p, nil
}

// ResolvePacket implements network.Network.
func (h *Host) ResolvePacket(addr string) (net.Addr, error) { return address(addr), nil }

// ReadFrom implements net.PacketConn.
func (p *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-p.queue:
		return copy(buffer, d.data), d.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. Like UDP it does not tell of a loss.
func (p *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	ip, _, _ := strings.Cut(to.String(), ":")
	p.net.mu.Lock()
	target, cut := p.net.packets[to.String()], p.net.cut[link(p.ip, ip)] || p.net.isQuiet(p.ip, ip)
	sent := datagram{address(p.address), append([]byte(nil), data...)}
	if target != nil && p.net.waitsForPaused(p.ip, ip) {
		p.net.paused[ip] = append(p.net.paused[ip], waitingDatagram{to: target, datagram: sent})
	}
	p.net.mu.Unlock()
	if target == nil || cut {
		return len(data), nil
	}
	target.deliver(sent)
	return len(data), nil
}

// deliver adds a datagram to the queue, or drops it if the queue is full.
func (p *packetConn) deliver(d datagram) {
	select {
	case p.queue <- d:
	default:
	}
}

// Close implements net.PacketConn.
func (p *packetConn) Close() error {
	p.once.Do(func() {
		p.net.mu.Lock()
		defer p.net.mu.Unlock()
		delete(p.net.packets, p.address)
		close(p.closed)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return address(p.address) }

// SetDeadline implements net.PacketConn. Deadlines are not supported.
func (p *packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (p *packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (p *packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
