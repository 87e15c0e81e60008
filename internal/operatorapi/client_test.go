package operatorapi

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/standin/rawserver"
)

// apply applies files at a server that gives one response.
func apply(c *qt.C, response rawserver.Response) error {
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return response })
	c.Assert(err, qt.IsNil)
	defer s.Stop()
	_, err = NewClient("http://"+s.Address(), "").Apply(context.Background(), ApplyRequest{})
	return err
}

// TestEmptyAnswerIsNoSuccess guards against telling operators that files were applied because of an answer that was cut after its
// head.
func TestEmptyAnswerIsNoSuccess(t *testing.T) {
	c := qt.New(t)
	c.Check(apply(c, rawserver.Response{Text: "HTTP/1.1 200 OK\r\n\r\n", AfterRequest: true, End: rawserver.Close}), qt.IsNotNil)
}

// TestBytesWithoutAHeadAreNoSuccess guards against telling operators that files were applied because of bytes that are no
// head of a response.
func TestBytesWithoutAHeadAreNoSuccess(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, form := range append(rawserver.InvalidHeads("", ok), rawserver.CutHeads("")...) {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(apply(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close}), qt.IsNotNil)
		})
	}
}
