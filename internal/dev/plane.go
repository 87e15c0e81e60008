package dev

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/memnet"
)

// HostAllocator gives each VM its place on a network.
type HostAllocator interface {
	// NewHost returns the place of the next VM.
	NewHost() Host
}

// Host is the place of one VM on a network.
type Host struct {
	Network network.Network
	IP      string
	// fixedPorts says that every VM has an IP of its own, so that ports need
	// not be free ones.
	fixedPorts bool
}

// Address returns the IP:port to listen on.
func (h Host) Address(port int) string {
	if !h.fixedPorts {
		port = 0
	}
	return h.IP + ":" + strconv.Itoa(port)
}

// Loopback is the plane of the dev command: every VM shares the loopback
// address and takes free ports.
type Loopback struct{}

// NewHost implements Plane.
func (Loopback) NewHost() Host { return Host{Network: network.TCP{}, IP: "127.0.0.1"} }

// Memory is the plane of the failure tests: every VM has an address of its
// own on an in-memory network.
type Memory struct {
	Net *memnet.Net

	mu    sync.Mutex
	count int
}

// NewHost implements Plane.
func (m *Memory) NewHost() Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	ip := fmt.Sprintf("10.0.%d.%d", m.count/250, 1+m.count%250)
	return Host{Network: m.Net.Host(ip), IP: ip, fixedPorts: true}
}
