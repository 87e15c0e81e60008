package keys

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/request"
)

// noRequestPeers finds no request at any daemon.
type noRequestPeers struct{ Peers }

// Locate implements Peers.
func (noRequestPeers) Locate(context.Context, request.ID) (dispatch.Source, error) {
	return nil, dispatch.ErrNotFound
}

// TestKeyOfStartingRequestIsInFlight covers the time between claiming a key and registering its
// request with the dispatcher, when no daemon can find the request. A second request with the key
// must get the verdict in-flight, not unknown.
func TestKeyOfStartingRequestIsInFlight(t *testing.T) {
	c := qt.New(t)
	m := &Manager{options: Options{Peers: noRequestPeers{}}, starting: map[request.ID]bool{}}
	spec := request.Spec{Kind: request.KindPlain, Key: &request.Key{}}
	current := Record{RequestID: "first", State: StateIntent}
	m.markStarting("first")
	c.Check(m.inFlight(context.Background(), spec, current, Record{RequestID: "second"}).Verdict, qt.Equals, VerdictInFlight)
	m.markStarted("first")
	c.Check(m.inFlight(context.Background(), spec, current, Record{RequestID: "second"}).Verdict, qt.Equals, VerdictUnknown)
}
