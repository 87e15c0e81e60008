package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/request"
)

// A kept answer keeps the request that it belongs to.
func TestKeptAnswerCountsItsRequest(t *testing.T) {
	c := qt.New(t)
	const body = 1 << 20
	plain := newFlight(request.Spec{Kind: request.KindPlain, Plain: &request.PlainRequest{Method: "POST", Path: "/", Body: make([]byte, body)}})
	c.Check(plain.size() >= body, qt.IsTrue, qt.Commentf("%d", plain.size()))
	model := newFlight(request.Spec{Kind: request.KindChat, Model: &request.ModelRequest{Prompt: string(make([]byte, body))}})
	c.Check(model.size() >= body, qt.IsTrue, qt.Commentf("%d", model.size()))
}
