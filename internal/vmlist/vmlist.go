// Package vmlist defines the interface to the platform's list of VMs. Daemons that serve
// the product's own caller API use it to discover backend servers and each other.
package vmlist

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VMState is the state of a VM in the VM list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// Role is the kind of program that runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// VM is an entry of the VM list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Role    Role   `json:"role"`
	Service string `json:"service,omitempty"`
	// Version is the version of the software that the backend server runs. It is empty if the
	// platform does not tell.
	Version string `json:"version,omitempty"`
	Class   string `json:"class"`
	// Market is the platform's name of the market that the VM was bought in.
	Market string  `json:"market,omitempty"`
	State  VMState `json:"state"`
	// Address is the IP:port of the backend server, or of the daemon's peer
	// listener on an entry VM.
	Address string `json:"address"`
	// OperatorAddress is the IP:port of the daemon's operator API.
	OperatorAddress string `json:"operator_address,omitempty"`
}

// VMChanges holds the changes of the VM list since a revision.
type VMChanges struct {
	Revision int64 `json:"revision"`
	// Full means that VMs is the whole list and replaces the known one.
	Full bool `json:"full"`
	VMs  []VM `json:"vms"`
	// Skipped is the number of entries that cannot be decoded.
	Skipped int `json:"-"`
}

// VMLister reads the VM list.
type VMLister interface {
	// ListVMs returns the changes since a revision. It waits up to the given duration for
	// a change. Revision zero requests the whole list.
	ListVMs(ctx context.Context, after int64, wait time.Duration) (VMChanges, error)
}

// RendezvousOrder sorts VMs by rendezvous hashing with the key. Processes that have the
// same list of VMs get the same order for a key.
func RendezvousOrder(key string, vms []VM) []VM {
	weights := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		weights[vm.ID] = xxhash.Sum64String(key + "/" + vm.ID)
	}
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b VM) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return sorted
}
