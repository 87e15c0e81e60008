// Package inbound bounds the memory and the file descriptors that clients can make a process hold. Each
// listener has a Guard, which accounts for every open connection what the process holds for it. When the sum
// reaches a limit, the connections that make the least progress are closed, and work that has not begun is
// refused. A request that may be at a backend server is never ended to make room.
package inbound

import "time"

// Resources are what the VM gives the process.
type Resources struct {
	// MemoryBytes is the memory beyond which the process is killed. Zero means DefaultMemoryBytes.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open. Zero means DefaultDescriptors.
	Descriptors int
}

// Defaults of Resources.
const (
	DefaultMemoryBytes = 256e6
	DefaultDescriptors = 1024
)

// WithDefaults returns the resources with the defaults for those that are unset.
func (r Resources) WithDefaults() Resources {
	if r.MemoryBytes <= 0 {
		r.MemoryBytes = DefaultMemoryBytes
	}
	if r.Descriptors <= 0 {
		r.Descriptors = DefaultDescriptors
	}
	return r
}

// Limits bound what the clients of one listener can make the process hold together.
type Limits struct {
	Connections int
	// Bytes bounds the estimated memory for connections, heads and bodies.
	Bytes int64
	// MinLag is how far a connection must be behind to be closed in favor of another one.
	MinLag time.Duration
	// AnswerGrace is how long a client may read nothing of an answer that waits for it before it counts as
	// behind.
	AnswerGrace time.Duration
}

// The shares of the resources that clients may take. The rest of the descriptors is for backend servers, the
// store, peers and files, and the rest of the memory for the process's own state, the memory that awaits
// garbage collection, and the kernel's buffers.
const (
	callerMemoryShare   = 0.35
	peerMemoryShare     = 0.10
	statusMemoryShare   = 0.02
	operatorMemoryShare = 0.05
	// A request that is served takes a second descriptor, for its backend server.
	callerDescriptorShare = 0.35
	peerDescriptorShare   = 0.125
	statusDescriptorShare = 0.03
	// maxConnectionMemoryShare bounds the part of Limits.Bytes that connections take without any request.
	maxConnectionMemoryShare = 0.5
	// minConnections is the number of connections that each listener takes however small the VM is.
	minConnections = 8
	// Readiness checks and the like take a millisecond, on few connections.
	minCallerLag = 100 * time.Millisecond
	minStatusLag = 5 * time.Millisecond
	// callerAnswerGrace is the time without an event after which callers give up a stream.
	callerAnswerGrace = 2 * time.Second
	// goMemoryShare is the part of the memory that the Go runtime may use.
	goMemoryShare = 0.75
)

// Callers returns the limits of the listener for callers.
func (r Resources) Callers() Limits {
	limits := r.share(callerMemoryShare, callerDescriptorShare, minCallerLag)
	limits.AnswerGrace = callerAnswerGrace
	return limits
}

// Peers returns the limits of the listener for other daemons.
func (r Resources) Peers() Limits {
	return r.share(peerMemoryShare, peerDescriptorShare, minCallerLag)
}

// PeersOf returns the limits of the listener for other daemons that send messages of up to a number of bytes.
// One of them always fits.
func (r Resources) PeersOf(messageBytes int64) Limits {
	limits := r.Peers()
	limits.Bytes = max(limits.Bytes, int64(float64(messageBytes+connectionBytes)/largeShare))
	return limits
}

// Status returns the limits of a listener for readiness checks or metrics.
func (r Resources) Status() Limits {
	return r.share(statusMemoryShare, statusDescriptorShare, minStatusLag)
}

// Operators returns the limits of the listener for operators.
func (r Resources) Operators() Limits {
	return r.share(operatorMemoryShare, statusDescriptorShare, minStatusLag)
}

// GoMemoryLimit returns the soft memory limit for the Go runtime, in bytes.
func (r Resources) GoMemoryLimit() int64 {
	return int64(goMemoryShare * float64(r.WithDefaults().MemoryBytes))
}

func (r Resources) share(memory, descriptors float64, minLag time.Duration) Limits {
	r = r.WithDefaults()
	bytes := int64(memory * float64(r.MemoryBytes))
	affordable := int(maxConnectionMemoryShare * float64(bytes) / connectionBytes)
	return Limits{Connections: max(minConnections, min(int(descriptors*float64(r.Descriptors)), affordable)), Bytes: bytes, MinLag: minLag}
}
