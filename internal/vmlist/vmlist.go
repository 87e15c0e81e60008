// Package vmlist is the narrow interface at the platform's list of VMs, by which
// daemons with the product's own caller API find backend servers and each other.
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

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// Role says what runs on a VM.
type Role string

// The roles of VMs.
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
	Class   string `json:"class"`
	// Market is the market that the VM was bought in, as the platform names it.
	Market string  `json:"market,omitempty"`
	State  VMState `json:"state"`
	// Address is the IP:port of the backend server, or of the daemon's peer
	// listener on an entry VM.
	Address string `json:"address"`
	// OperatorAddress is the IP:port of a daemon's operator API.
	OperatorAddress string `json:"operator_address,omitempty"`
}

// VMChanges are the changes of the VM list after a revision.
type VMChanges struct {
	Revision int64 `json:"revision"`
	// Full means that VMs is the whole list and replaces what was known.
	Full bool `json:"full"`
	VMs  []VM `json:"vms"`
}

// VMLister is the VM list.
type VMLister interface {
	// ListVMs returns what has changed after the revision, waiting at most
	// that long for a change. Revision zero asks for the whole list.
	ListVMs(ctx context.Context, after int64, wait time.Duration) (VMChanges, error)
}

// RendezvousOrder orders VMs by the hash of a key with each: rendezvous hashing, by which all that know the
// same VMs choose the same ones for a key.
func RendezvousOrder(key string, vms []VM) []VM {
	weights := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		weights[vm.ID] = xxhash.Sum64String(key + "/" + vm.ID)
	}
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b VM) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return sorted
}
