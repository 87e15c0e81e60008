package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// DaemonStatus is the status that one daemon reports of itself.
type DaemonStatus struct {
	ID         string     `json:"id"`
	Zone       string     `json:"zone"`
	Reachable  bool       `json:"reachable"`
	Generation int64      `json:"generation"`
	Draining   bool       `json:"draining"`
	InFlight   int        `json:"in_flight"`
	Burn       []burn.Row `json:"-"`
}

// Statuses asks all known daemons, including this one, for their status.
func (m *Mesh) Statuses(ctx context.Context) []DaemonStatus {
	daemons := m.Daemons()
	statuses := make([]DaemonStatus, len(daemons))
	var calls sync.WaitGroup
	for i, vm := range daemons {
		calls.Go(func() { statuses[i] = m.statusOf(ctx, vm) })
	}
	calls.Wait()
	return statuses
}

func (m *Mesh) statusOf(ctx context.Context, vm vmlist.VM) DaemonStatus {
	result := DaemonStatus{ID: vm.ID, Zone: vm.Zone}
	client, err := m.client(vm)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.GetStatus(ctx, &peerpb.GetStatusRequest{})
	if err != nil {
		return result
	}
	result.Reachable = true
	result.Generation = reply.GetGeneration()
	result.Draining = reply.GetDraining()
	result.InFlight = int(reply.GetInFlight())
	if err := json.Unmarshal(reply.GetBurn(), &result.Burn); err != nil {
		m.logger.Warn("cannot decode burn rows from peer", "peer", vm.ID, "error", err)
	}
	return result
}
