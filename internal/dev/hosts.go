package dev

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/memnet"
)

// HostAllocator allocates a network address for each VM.
type HostAllocator interface {
	// NewHost returns the host for the next VM.
	NewHost() Host
}

// Host is the network interface of a VM.
type Host struct {
	Network network.Network
	IP      string
	// fixedPorts is set if each VM has its own IP address, so that the requested
	// ports can be used. Otherwise any free port is used.
	fixedPorts bool
}

// Address returns the address to listen on as IP:port. The port is zero, which
// selects a free port, unless fixedPorts is set.
func (h Host) Address(port int) string {
	if !h.fixedPorts {
		port = 0
	}
	return h.IP + ":" + strconv.Itoa(port)
}

// Loopback is the HostAllocator of the dev command. All VMs share the loopback
// address and listen on free ports.
type Loopback struct{}

// NewHost implements HostAllocator.
func (Loopback) NewHost() Host { return Host{Network: network.TCP{}, IP: "127.0.0.1"} }

// Memory is the HostAllocator of the failure tests. Each VM has its own IP address
// on an in-memory network.
type Memory struct {
	Net *memnet.Net

	mu    sync.Mutex
	count int
}

// NewHost implements HostAllocator.
func (m *Memory) NewHost() Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	ip := fmt.Sprintf("10.0.%d.%d", m.count/250, 1+m.count%250)
	return Host{Network: m.Net.Host(ip), IP: ip, fixedPorts: true}
}
