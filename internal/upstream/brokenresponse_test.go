package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/standin/rawserver"
)

// fields are the header lines by which a response belongs to the requests of these tests.
const fields = "Request-Id: 1\r\n"

// soundResponse is a response to the requests of these tests.
const soundResponse = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother"

// startRaw starts a server that answers each request in the same way.
func startRaw(c *qt.C, response rawserver.Response) *rawserver.Server {
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return response })
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Stop)
	return s
}

// upload returns a request with a body of the given size.
func upload(size int) *http.Request {
	req := &http.Request{
		Method: http.MethodPost, Host: "h", URL: &url.URL{Opaque: "/x"}, Header: http.Header{"Request-Id": {"1"}},
		ProtoMajor: 1, ProtoMinor: 1,
	}
	if size > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
	}
	return req
}

// exchangeOnce sends a request with a body of the given size and reads its response to the end.
func exchangeOnce(pool *Pool, address string, size int) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := pool.Do(ctx, address, upload(size), Reuse{Matches: hasID("1")})
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

func newTCPPool(c *qt.C) *Pool {
	pool := NewPool(network.TCP{}, time.Second)
	c.Cleanup(pool.Close)
	return pool
}

// TestInvalidHeadIsNoResponse guards against passing on, as a response, bytes that are none by RFC 9112, or a part of such
// bytes that looks like one.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for _, form := range rawserver.InvalidHeads(fields, soundResponse) {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			s := startRaw(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close})
			status, text, err := exchangeOnce(newTCPPool(c), s.Address(), 0)
			c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%d, %q, %v", status, text, err))
		})
	}
}

// TestCutHeadIsNoResponse guards against an empty response in place of one whose head was cut.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, form := range rawserver.CutHeads(fields) {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			s := startRaw(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close})
			status, text, err := exchangeOnce(newTCPPool(c), s.Address(), 0)
			c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%d, %q, %v", status, text, err))
		})
	}
}

// TestCodingInHTTP10IsNoResponse guards against passing on the framing of a coding, which HTTP/1.0 does not have (RFC 9112,
// section 6.1), as the body.
func TestCodingInHTTP10IsNoResponse(t *testing.T) {
	c := qt.New(t)
	text := "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	s := startRaw(c, rawserver.Response{Text: text, AfterRequest: true, End: rawserver.Close})
	status, body, err := exchangeOnce(newTCPPool(c), s.Address(), 0)
	c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%d, %q, %v", status, body, err))
}

// TestUnusualHeadIsAResponse guards against a check of heads that refuses those of sound servers.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for _, form := range rawserver.SoundHeads(fields) {
		t.Run(form.Name, func(t *testing.T) {
			c := qt.New(t)
			s := startRaw(c, rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close})
			status, text, err := exchangeOnce(newTCPPool(c), s.Address(), 0)
			c.Check(err, qt.IsNil)
			c.Check(status, qt.Equals, form.Status)
			c.Check(text, qt.Equals, form.Body)
		})
	}
}

// earlyResponseTries is how often a race between an upload and its response is played.
const earlyResponseTries = 30

// uploadSizes are sizes of requests in bytes: written before the response is read, just beyond that, and beyond the
// buffers of a connection.
var uploadSizes = []int{6 << 10, 9 << 10, 200_000, 1_000_000, 3 << 20}

// TestBodyEndedByAResetIsNotWhole guards against taking a part of a response without a length for all of it when the server
// resets the connection during the upload.
func TestBodyEndedByAResetIsNotWhole(t *testing.T) {
	for name, end := range map[string]rawserver.Response{
		"closed with the upload unread": {End: rawserver.CloseUnread},
		"closed 5 ms later":             {End: rawserver.CloseUnread, Delay: 5 * time.Millisecond},
		"closed midway":                 {End: rawserver.CloseMidway},
		"reset":                         {End: rawserver.Reset},
		"reset 5 ms later":              {End: rawserver.Reset, Delay: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			end.Text = "HTTP/1.1 200 OK\r\n" + fields + "\r\npart"
			for _, size := range uploadSizes {
				if end.End == rawserver.CloseMidway && size <= rawserver.MidwayBytes {
					// The server reads all of it.
					continue
				}
				s := startRaw(c, end)
				pool := newTCPPool(c)
				whole := 0
				for range earlyResponseTries {
					if _, _, err := exchangeOnce(pool, s.Address(), size); err == nil {
						whole++
					}
				}
				c.Check(whole, qt.Equals, 0, qt.Commentf("%d bytes: %d of %d", size, whole, earlyResponseTries))
			}
		})
	}
}

// TestSoundEarlyResponseIsWhole guards against losing a whole response that comes while the upload is still being written.
func TestSoundEarlyResponseIsWhole(t *testing.T) {
	const withLength, chunked, withoutLength = "Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "\r\nwhole"
	for name, response := range map[string]rawserver.Response{
		"length, upload read on":           {Text: withLength},
		"length, unread and reset":         {Text: withLength, End: rawserver.CloseUnread},
		"chunks, upload read on":           {Text: chunked},
		"chunks, unread and reset":         {Text: chunked, End: rawserver.CloseUnread},
		"chunks, reset later":              {Text: chunked, End: rawserver.Reset, Delay: 5 * time.Millisecond},
		"no length, sending side shut":     {Text: withoutLength, End: rawserver.HalfClose},
		"no length, closed after upload":   {Text: withoutLength, End: rawserver.Close},
		"no length, response after upload": {Text: withoutLength, End: rawserver.Close, AfterRequest: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			response.Text = "HTTP/1.1 200 OK\r\n" + fields + response.Text
			for _, size := range uploadSizes {
				s := startRaw(c, response)
				pool := newTCPPool(c)
				for range earlyResponseTries {
					_, text, err := exchangeOnce(pool, s.Address(), size)
					c.Check(fmt.Sprintf("%s, %v", text, err), qt.Equals, "whole, <nil>", qt.Commentf("%d bytes", size))
				}
			}
		})
	}
}
