package plain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/rawserver"
)

// maxAnswerBytes is the limit on answers in these tests.
const maxAnswerBytes = 1 << 20

// callOnce calls a service that gives one response, with a body of the given size.
func callOnce(client *Client, s *rawserver.Server, idempotent bool, size int) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, s.Address(), Call{
		RequestID: "1", Attempt: 1, Idempotent: idempotent, Method: http.MethodPost, Path: "/x", Body: make([]byte, size),
	})
}

func startRaw(c *qt.C, response rawserver.Response) *rawserver.Server {
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return response })
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Stop)
	return s
}

// forms returns the invalid and the cut heads of responses.
func forms() []rawserver.Form {
	const fields = HeaderRequestID + ": 1\r\n"
	return append(rawserver.InvalidHeads(fields, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\r\n\r\nother"), rawserver.CutHeads(fields)...)
}

// TestBytesWithoutAHeadAreNoAnswer guards against passing on, as an answer, bytes that are none by RFC 9112.
func TestBytesWithoutAHeadAreNoAnswer(t *testing.T) {
	for _, form := range forms() {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			s := startRaw(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close})
			for _, idempotent := range []bool{true, false} {
				answer, err := callOnce(NewClient(network.TCP{}, maxAnswerBytes), s, idempotent, 5)
				c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%d, %q, %v", answer.Status, answer.Body, err))
			}
		})
	}
}

// TestUnusualHeadIsAnAnswer guards against a check of heads that refuses those of sound services.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for _, form := range rawserver.SoundHeads(HeaderRequestID + ": 1\r\n") {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			s := startRaw(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close})
			answer, err := callOnce(NewClient(network.TCP{}, maxAnswerBytes), s, true, 5)
			c.Check(err, qt.IsNil)
			c.Check(answer.Status, qt.Equals, form.Status)
			c.Check(string(answer.Body), qt.Equals, form.Body)
		})
	}
}

// TestAnswerEndedByAResetIsNoAnswer guards against taking a part of an answer without a length for all of it when the service
// resets the connection during the upload.
func TestAnswerEndedByAResetIsNoAnswer(t *testing.T) {
	const tries = 30
	for name, end := range map[string]rawserver.End{"unread": rawserver.CloseUnread, "midway": rawserver.CloseMidway} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, size := range []int{200_000, 1_000_000, 3 << 20} {
				for _, idempotent := range []bool{true, false} {
					s := startRaw(c, rawserver.Response{Text: "HTTP/1.1 200 OK\r\n\r\npart", End: end})
					client := NewClient(network.TCP{}, maxAnswerBytes)
					whole := 0
					for range tries {
						_, err := callOnce(client, s, idempotent, size)
						if err == nil {
							whole++
							continue
						}
						c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", err))
					}
					c.Check(whole, qt.Equals, 0, qt.Commentf("%d bytes, idempotent %v: %d of %d", size, idempotent, whole, tries))
				}
			}
		})
	}
}

// TestSoundEarlyAnswerIsWhole guards against losing a whole answer that comes while the upload is still being written.
func TestSoundEarlyAnswerIsWhole(t *testing.T) {
	for name, response := range map[string]rawserver.Response{
		"length, upload read on":           {Text: "Content-Length: 5\r\n\r\nwhole"},
		"length, unread and reset":         {Text: "Content-Length: 5\r\n\r\nwhole", End: rawserver.CloseUnread},
		"chunks, unread and reset":         {Text: "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End: rawserver.CloseUnread},
		"no length, sending side shut":     {Text: "\r\nwhole", End: rawserver.HalfClose},
		"no length, closed after upload":   {Text: "\r\nwhole", End: rawserver.Close},
		"no length, response after upload": {Text: "\r\nwhole", End: rawserver.Close, AfterRequest: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			response.Text = "HTTP/1.1 200 OK\r\n" + response.Text
			for _, size := range []int{9 << 10, 200_000, 3 << 20} {
				s := startRaw(c, response)
				client := NewClient(network.TCP{}, maxAnswerBytes)
				lost := 0
				for range 10 {
					if answer, err := callOnce(client, s, false, size); fmt.Sprintf("%s, %v", answer.Body, err) != "whole, <nil>" {
						lost++
						c.Log(size, err)
					}
				}
				c.Check(lost, qt.Equals, 0, qt.Commentf("%d bytes", size))
			}
		})
	}
}
