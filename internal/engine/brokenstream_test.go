package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/rawserver"
)

// lastEvent is a whole answer of an engine.
const lastEvent = `{"request_id":"r","attempt":1,"finish_reason":"stop"}` + "\n"

// generate makes an attempt with a prompt of the given size at an engine that gives one response.
func generate(c *qt.C, response rawserver.Response, size int) (events int, err error) {
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return response })
	c.Assert(err, qt.IsNil)
	defer s.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := NewClient(&http.Client{Transport: network.Transport(network.TCP{}, false)})
	attempt := Attempt{RequestID: "r", Number: 1, Prompt: strings.Repeat("x", size)}
	err = client.Generate(ctx, s.Address(), attempt, func(Event) error { events++; return nil })
	return events, err
}

// TestBytesWithoutAHeadAreNoStream guards against taking bytes that are no HTTP response for an answer, or for the promise
// of an engine that it has not run the attempt.
func TestBytesWithoutAHeadAreNoStream(t *testing.T) {
	ok := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(lastEvent), lastEvent)
	for _, form := range append(rawserver.InvalidHeads("", ok), rawserver.CutHeads("")...) {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			events, err := generate(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close}, 8)
			c.Check(errors.Is(err, ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(events, qt.Equals, 0)
		})
	}
}

// TestStreamEndedByAResetIsBroken guards against taking the events before a reset for the whole answer.
func TestStreamEndedByAResetIsBroken(t *testing.T) {
	c := qt.New(t)
	token := `{"request_id":"r","attempt":1,"token":"a"}` + "\n"
	for range 10 {
		_, err := generate(c, rawserver.Response{Text: "HTTP/1.1 200 OK\r\n\r\n" + token, End: rawserver.CloseUnread}, 1_000_000)
		c.Check(errors.Is(err, ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// TestSoundEarlyStreamIsWhole guards against losing a whole answer that comes while the prompt is still being sent.
func TestSoundEarlyStreamIsWhole(t *testing.T) {
	for name, response := range map[string]rawserver.Response{
		"length, unread and reset":     {Text: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(lastEvent), lastEvent), End: rawserver.CloseUnread},
		"no length, sending side shut": {Text: "\r\n" + lastEvent, End: rawserver.HalfClose},
		"no length, unread and reset":  {Text: "\r\n" + lastEvent, End: rawserver.CloseUnread},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			response.Text = "HTTP/1.1 200 OK\r\n" + response.Text
			for range 10 {
				events, err := generate(c, response, 1_000_000)
				c.Check(err, qt.IsNil)
				c.Check(events, qt.Equals, 1)
			}
		})
	}
}
