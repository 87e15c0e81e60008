package detour

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAvoidTime is how long a helper is avoided after a failure. It doubles with each further
	// failure, up to maxAvoidTime.
	minAvoidTime = 2 * time.Second
	maxAvoidTime = 16 * time.Second
	// activeHelpers is the number of helpers among which the servers are distributed.
	activeHelpers = 3
)

// Helper is another daemon that may reach the servers.
type Helper struct {
	VM, Zone string
	// Address is the IP:port of its peer listener.
	Address string
}

// ranking orders the helpers of one daemon. It is safe for concurrent use.
type ranking struct {
	vm, zone string

	mu       sync.Mutex
	failures map[string]*helperFailures
}

// helperFailures are the failures of a helper since its last success.
type helperFailures struct {
	count      int
	avoidUntil time.Time
}

func newRanking(vm, zone string) *ranking {
	return &ranking{vm: vm, zone: zone, failures: map[string]*helperFailures{}}
}

// order returns the helpers in the order in which they are asked for a connection to a server.
// Daemons differ in their orders, which spreads the load. Helpers of the own zone and of other
// zones alternate, since a whole zone may have lost its links.
func (r *ranking) order(helpers []Helper, address string, now time.Time) []Helper {
	r.mu.Lock()
	defer r.mu.Unlock()
	var local, remote, avoided []Helper
	for _, h := range helpers {
		failed := r.failures[h.VM]
		switch {
		case failed != nil && now.Before(failed.avoidUntil):
			avoided = append(avoided, h)
		case h.Zone == r.zone:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	r.prepare(local, address)
	r.prepare(remote, address)
	slices.SortFunc(avoided, func(a, b Helper) int {
		return r.failures[a.VM].avoidUntil.Compare(r.failures[b.VM].avoidUntil)
	})
	return append(alternate(local, remote), avoided...)
}

// prepare sorts helpers by rendezvous hashing and rotates the first ones by the server's address.
func (r *ranking) prepare(helpers []Helper, address string) {
	slices.SortFunc(helpers, func(a, b Helper) int {
		return cmp.Or(cmp.Compare(r.weight(b), r.weight(a)), cmp.Compare(a.VM, b.VM))
	})
	active := helpers[:min(activeHelpers, len(helpers))]
	if len(active) == 0 {
		return
	}
	first := int(xxhash.Sum64String(address) % uint64(len(active)))
	rotated := append(slices.Clone(active[first:]), active[:first]...)
	copy(active, rotated)
}

func (r *ranking) weight(h Helper) uint64 { return xxhash.Sum64String(r.vm + "|" + h.VM) }

// alternate merges two lists, beginning with the first element of a.
func alternate(a, b []Helper) []Helper {
	merged := make([]Helper, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			merged = append(merged, a[i])
		}
		if i < len(b) {
			merged = append(merged, b[i])
		}
	}
	return merged
}

// recordFailure records that a helper could not help.
func (r *ranking) recordFailure(vm string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := r.failures[vm]
	if failed == nil {
		failed = &helperFailures{}
		r.failures[vm] = failed
	}
	failed.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(failed.count, 8)))
	failed.count++
	for other, f := range r.failures {
		if now.Sub(f.avoidUntil) >= maxAvoidTime {
			delete(r.failures, other)
		}
	}
}

// recordSuccess records that a helper has opened a connection.
func (r *ranking) recordSuccess(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, vm)
}
