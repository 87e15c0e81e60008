package robustness

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/vmlist"
)

const chatBody = `{"model":"modele-devis","stream":true,"messages":[{"role":"user","content":"How heavy is block 12?"}]}`

// reader reads a stream of server-sent events.
type reader struct {
	*qt.C
	resp  *http.Response
	lines *bufio.Scanner
	// text is the answer so far, last the ID of the last event.
	text string
	last string
	done bool
	// moved is true when the daemon has sent the caller away.
	moved bool
}

// stream opens a stream; cancel closes it from the caller's side.
func (b *bed) stream(method, url, workspace, body string, header ...string) (*reader, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	b.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+examples.SampleKey(workspace))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := b.client.Do(req)
	b.Assert(err, qt.IsNil)
	b.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	return &reader{C: b.C, resp: resp, lines: bufio.NewScanner(resp.Body)}, cancel
}

// id returns the request's ID.
func (r *reader) id() string { return r.resp.Header.Get("Plankridge-Request-Id") }

// tokens reads that many tokens, or all when count is negative.
func (r *reader) tokens(count int) {
	for count != 0 && r.lines.Scan() {
		line := r.lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.last = id
		}
		if line == "event: moved" {
			r.moved = true
			return
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			return
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		r.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil, qt.Commentf("%s", data))
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			r.text += chunk.Choices[0].Delta.Content
			count--
		}
	}
}

// whole returns the answer to a chat, unbroken.
func (b *bed) whole(body string) string {
	r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", body)
	defer cancel()
	r.tokens(-1)
	b.Assert(r.done, qt.IsTrue)
	return r.text
}

// running returns the number of requests inside all engines.
func (b *bed) running() int {
	total := 0
	for _, engine := range b.d.StandIns.Engines() {
		total += engine.Running()
	}
	return total
}

func TestStreamResumesAtAnotherDaemon(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		want := b.whole(chatBody)
		first, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		first.tokens(5)
		cancel()
		var other string
		for _, node := range b.d.Nodes {
			if !node.Daemon.Owns(first.id()) {
				other = "http://" + node.Daemon.CallerAddress()
			}
		}
		rest, cancel := b.stream(http.MethodGet, other+"/v1/requests/"+first.id()+"/response", "devis", "", "Last-Event-ID", first.last)
		defer cancel()
		rest.tokens(-1)
		b.Assert(rest.done, qt.IsTrue)
		b.Assert(first.text+rest.text, qt.Equals, want)
	})
}

func TestEngineIsFreedWhenCallerGoesAway(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		r.tokens(2)
		b.Assert(b.running(), qt.Equals, 1)
		for _, engine := range b.d.StandIns.Engines() {
			engine.Faults.Set(faults.State{Paused: true})
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
		b.Assert(b.running(), qt.Equals, 1, qt.Commentf("the grace has not passed"))
		time.Sleep(config.DefaultSettings().Limits.ResumeGrace.Std())
		b.Assert(b.running(), qt.Equals, 0)
	})
}

// TestLeavingServersGetNoNewWork counts the attempts that begin on servers
// whose reclaim has been announced.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		var before int
		b.holds(b.replayDay("ndiaye-day", func() {
			time.Sleep(14 * time.Second)
			b.d.StandIns.Fleet.ReclaimZone("hall-nord", vmlist.RoleBackend, 20*time.Second)
			time.Sleep(100 * time.Millisecond)
			before = b.startedIn("hall-nord")
			time.Sleep(15 * time.Second)
			b.Check(b.startedIn("hall-nord"), qt.Equals, before)
		}))
		b.Assert(before > 0, qt.IsTrue)
	})
}

// startedIn returns the number of attempts begun on the engines of a zone.
func (b *bed) startedIn(zone string) int {
	total := 0
	for _, vm := range b.d.StandIns.Fleet.Members() {
		if engine := b.d.StandIns.Engine(vm.ID); engine != nil && vm.Zone == zone {
			total += engine.Started()
		}
	}
	return total
}

// TestCallerIsSeenToLeaveLate lets a caller go after it has waited for longer
// than it may take to send a request.
func TestCallerIsSeenToLeaveLate(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		r.tokens(1)
		for _, engine := range b.d.StandIns.Engines() {
			engine.Faults.Set(faults.State{Paused: true})
		}
		limits := config.DefaultSettings().Limits
		time.Sleep(limits.ReadTimeout.Std() + 10*time.Second)
		b.Assert(b.running(), qt.Equals, 1)
		cancel()
		time.Sleep(limits.ResumeGrace.Std() + time.Second)
		b.Assert(b.running(), qt.Equals, 0)
	})
}

func TestKilledServerLosesNoStream(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		want := b.whole(chatBody)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(5)
		for _, vm := range b.d.StandIns.Fleet.Members() {
			if vm.Service == "modele-devis" && vm.Zone != "hall-sud" {
				b.d.StandIns.Fleet.Kill(vm.ID)
			}
		}
		r.tokens(-1)
		b.Assert(r.done, qt.IsTrue)
		b.Assert(r.text, qt.Equals, want)
	})
}

// TestOrderRunsAtMostOnce loses answers and kills servers under orders.
func TestOrderRunsAtMostOnce(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		order := func(reference string) (int, string) {
			resp, body := b.call(http.MethodPost, balancerURL+"/services/app-carriere/orders", "commandes", `{}`, "X-Reference", reference)
			return resp.StatusCode, body
		}
		for _, server := range b.d.StandIns.PlainServers() {
			server.Faults.Set(faults.State{LoseAnswers: 1})
		}
		status, body := order("lost")
		b.Check(status, qt.Equals, http.StatusGatewayTimeout)
		b.Check(body, qt.Contains, `"outcome":"unknown"`)
		b.Check(b.d.StandIns.Ledgers["app-carriere"].Runs()["lost"], qt.Equals, 1)

		// Idempotent calls are sent again and answered.
		resp, _ := b.call(http.MethodPost, balancerURL+"/services/app-carriere/weighings", "pesee", `{}`, "X-Reference", "weighing")
		b.Check(resp.StatusCode, qt.Equals, http.StatusOK)

		for _, vm := range b.d.StandIns.Fleet.Members() {
			if vm.Role == vmlist.RoleBackend && vm.Service == "app-carriere" {
				b.d.StandIns.Fleet.Kill(vm.ID)
			}
		}
		time.Sleep(2 * time.Second)
		status, body = order("nobody")
		b.Check(status, qt.Equals, http.StatusServiceUnavailable)
		b.Check(body, qt.Contains, `"outcome":"not-run"`)
		b.Check(b.d.StandIns.Ledgers["app-carriere"].Runs()["nobody"], qt.Equals, 0)
	})
}

func TestRefusalsAreProblems(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		chat := balancerURL + "/v1/chat/completions"
		for _, refusal := range []struct {
			workspace, url, body string
			status               int
		}{
			{"nobody", chat, chatBody, http.StatusUnauthorized},
			{"pesee", chat, chatBody, http.StatusNotFound},
			{"devis", chat, `{"model":"modele-devis"}`, http.StatusBadRequest},
			{"devis", chat, `{"model":"modele-devis","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, http.StatusBadRequest},
			{"devis", chat, `{"model":"modele-devis:none","messages":[{"role":"user","content":"x"}]}`, http.StatusNotFound},
			{"devis", chat, `{"model":"modele-devis","n":2,"messages":[{"role":"user","content":"x"}]}`, http.StatusBadRequest},
			{"devis", chat, `not json`, http.StatusBadRequest},
			{"devis", chat, `{"model":"` + strings.Repeat("x", 9<<20) + `"}`, http.StatusRequestEntityTooLarge},
			{"macons", balancerURL + "/services/app-carriere/orders", `{}`, http.StatusNotFound},
		} {
			resp, body := b.call(http.MethodPost, refusal.url, refusal.workspace, refusal.body)
			b.Check(resp.StatusCode, qt.Equals, refusal.status, qt.Commentf("%s", body))
			b.Check(resp.Header.Get("Plankridge-Outcome"), qt.Equals, "not-run")
			b.Check(body, qt.Contains, `"outcome":"not-run"`)
		}
	})
}
