package robustness

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/standin/rawserver"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// rawBed is a deployment on TCP sockets whose only server of the plain service writes bytes as they are.
type rawBed struct {
	*qt.C
	callers string
	client  *http.Client
	// response is what the server answers.
	response rawserver.Response
}

// rawAnswer is the body of the server's sound answers.
const rawAnswer = "answer"

var soundRawResponse = rawserver.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + rawAnswer, AfterRequest: true}

func newRawBed(t *testing.T) *rawBed {
	b := &rawBed{C: qt.New(t), client: &http.Client{Transport: network.Transport(network.TCP{}, true), Timeout: time.Minute}, response: soundRawResponse}
	server, err := rawserver.Start(func(*http.Request) rawserver.Response { return b.response })
	b.Assert(err, qt.IsNil)
	b.Cleanup(server.Stop)
	deployment, err := dev.Start(context.Background(), dev.Options{Example: "ndiaye", BenchmarkMode: true, Hosts: dev.Loopback{}, Logger: slog.New(slog.DiscardHandler)})
	b.Assert(err, qt.IsNil)
	b.Cleanup(deployment.Stop)
	fleet := deployment.StandIns.Fleet
	for _, vm := range fleet.Members() {
		if vm.Service == "app-carriere" {
			fleet.Kill(vm.ID)
		}
	}
	fleet.Add(vmlist.VM{
		ID: "raw", Zone: "hall-nord", Role: vmlist.RoleBackend, Service: "app-carriere", Class: "app-small", Market: "reclaimable",
		Address: server.Address(),
	}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b.Assert(deployment.WaitReady(ctx), qt.IsNil)
	b.callers = "http://" + deployment.Nodes[0].Daemon.CallerAddress()
	for status := 0; status != http.StatusOK; status, _, _ = b.send("/weighings", 2) {
		b.Assert(ctx.Err(), qt.IsNil)
	}
	return b
}

// send makes a call with a body of the given size and returns its status, outcome and body, or status 0 and an error.
func (b *rawBed) send(path string, size int) (status int, outcome request.Outcome, body string) {
	req, err := http.NewRequest(http.MethodPost, b.callers+"/services/app-carriere"+path, bytes.NewReader(make([]byte, size)))
	b.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer sample-key-of-pesee")
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	b.Check(err, qt.IsNil)
	return resp.StatusCode, request.Outcome(resp.Header.Get("Plankridge-Outcome")), string(raw)
}

// checkBroken checks the answer to an order that the server answered with broken bytes. Calls that may be repeated are sent
// again until they are answered.
func (b *rawBed) checkBroken(size int, comment string) {
	b.Helper()
	status, outcome, body := b.send("/orders", size)
	b.Check(slices.Contains([]int{http.StatusBadGateway, http.StatusGatewayTimeout}, status), qt.IsTrue, qt.Commentf("%s: status %d, %q", comment, status, body))
	b.Check(outcome, qt.Equals, request.OutcomeUnknown, qt.Commentf(comment))
}

// TestBrokenAnswersOfPlainServicesReachNoCaller guards against bytes of a plain service that are no answer, or a part of one, that
// callers get as an answer.
func TestBrokenAnswersOfPlainServicesReachNoCaller(t *testing.T) {
	b := newRawBed(t)
	for _, form := range append(rawserver.InvalidHeads("", soundRawResponse.Text), rawserver.CutHeads("")...) {
		b.response = rawserver.Response{Text: form.Text, AfterRequest: true, End: rawserver.Close}
		b.checkBroken(2, form.Name)
	}
	for name, end := range map[string]rawserver.End{"closed unread": rawserver.CloseUnread, "closed midway": rawserver.CloseMidway, "reset": rawserver.Reset} {
		b.response = rawserver.Response{Text: "HTTP/1.1 200 OK\r\n\r\npart", End: end}
		for range 20 {
			b.checkBroken(3<<20, name)
		}
	}
}

// TestSoundEarlyAnswersOfPlainServicesAreWhole guards against whole answers that callers do not get because they come during the
// upload.
func TestSoundEarlyAnswersOfPlainServicesAreWhole(t *testing.T) {
	b := newRawBed(t)
	for name, response := range map[string]rawserver.Response{
		"length, upload read on":         {Text: "Content-Length: 6\r\n\r\n" + rawAnswer},
		"length, unread and reset":       {Text: "Content-Length: 6\r\n\r\n" + rawAnswer, End: rawserver.CloseUnread},
		"chunks, unread and reset":       {Text: "Transfer-Encoding: chunked\r\n\r\n6\r\n" + rawAnswer + "\r\n0\r\n\r\n", End: rawserver.CloseUnread},
		"no length, sending side shut":   {Text: "\r\n" + rawAnswer, End: rawserver.HalfClose},
		"no length, closed after upload": {Text: "\r\n" + rawAnswer, End: rawserver.Close},
	} {
		response.Text = "HTTP/1.1 200 OK\r\n" + response.Text
		b.response = response
		for _, path := range []string{"/orders", "/weighings"} {
			for range 10 {
				status, _, body := b.send(path, 3<<20)
				b.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s, %s", name, path))
				b.Check(body, qt.Equals, rawAnswer, qt.Commentf("%s, %s", name, path))
			}
		}
	}
}
