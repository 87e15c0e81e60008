package memnet

// waitingDatagram is a datagram that waits in the socket of a paused host.
type waitingDatagram struct {
	to *packetConn
	datagram
}

// Pause keeps a host from reading and from sending, as a stopped process does. What others send to it
// waits in its sockets, and its connections stay open.
func (n *Net) Pause(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[ip] = []waitingDatagram{}
	n.holdAll(ip, true)
}

// Continue undoes Pause. The host reads what waits in its sockets.
func (n *Net) Continue(ip string) {
	n.mu.Lock()
	waiting := n.paused[ip]
	delete(n.paused, ip)
	n.holdAll(ip, false)
	n.mu.Unlock()
	for _, d := range waiting {
		d.to.deliver(d.datagram)
	}
}

// isPaused reports whether a host is paused. The caller holds the lock.
func (n *Net) isPaused(ip string) bool {
	_, paused := n.paused[ip]
	return paused
}

// waitsForPaused reports whether a datagram waits at its receiver, which is paused. The caller holds the
// lock.
func (n *Net) waitsForPaused(from, to string) bool {
	pair := link(from, to)
	return n.isPaused(to) && !n.isPaused(from) && !n.silent[pair] && !n.cut[pair] && !n.dark[from] && !n.dark[to]
}

// holdAll holds or releases the connections of a host. The caller holds the lock.
func (n *Net) holdAll(ip string, held bool) {
	for pair, conns := range n.conns {
		if pair[0] != ip && pair[1] != ip || !held && n.isQuiet(pair[0], pair[1]) {
			continue
		}
		for _, c := range conns {
			c.hold(held)
		}
	}
}
