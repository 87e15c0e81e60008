package keys

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/request"
)

// noRequestPeers is a deployment in which no request is found.
type noRequestPeers struct{ Peers }

// Locate implements Peers.
func (noRequestPeers) Locate(context.Context, request.ID) (dispatch.Source, error) {
	return nil, dispatch.ErrNotFound
}

// TestKeyOfStartingRequestIsInFlight: between taking a key and handing its
// request to the dispatcher nobody finds the request. Another one with the key
// is told that it has not ended, not that its fate is unknown.
func TestKeyOfStartingRequestIsInFlight(t *testing.T) {
	c := qt.New(t)
	m := &Manager{options: Options{Peers: noRequestPeers{}}, starting: map[request.ID]bool{}}
	spec := request.Spec{Kind: request.KindPlain, Key: &request.Key{}}
	present := Record{RequestID: "first", State: StateIntent}
	m.markStarting("first")
	c.Check(m.inFlight(context.Background(), spec, present, Record{RequestID: "second"}).Verdict, qt.Equals, VerdictInFlight)
	m.markStarted("first")
	c.Check(m.inFlight(context.Background(), spec, present, Record{RequestID: "second"}).Verdict, qt.Equals, VerdictUnknown)
}
