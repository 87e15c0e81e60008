package robustness

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/vmlist"
)

func TestRecordedDaysReplayAsStated(t *testing.T) {
	for example, trace := range map[string]string{"ndiaye": "ndiaye-day", "amakusa": "amakusa-day"} {
		t.Run(example, func(t *testing.T) {
			run(t, example, func(b *bed) { b.holds(b.replayDay(trace, func() {})) })
		})
	}
}

func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	for example, trace := range map[string]string{"ndiaye": "ndiaye-day", "amakusa": "amakusa-day"} {
		t.Run(example, func(t *testing.T) {
			run(t, example, func(b *bed) {
				b.holds(b.replayDay(trace, func() {
					time.Sleep(12 * time.Second)
					for _, node := range b.d.Nodes[:2] {
						node.Drain()
						b.Check(node.Wait(), qt.IsNil)
					}
				}))
			})
		})
	}
}

func TestReclaimOfZoneLosesNoRequest(t *testing.T) {
	for _, notice := range []time.Duration{3 * time.Second, 10 * time.Second} {
		t.Run(notice.String(), func(t *testing.T) {
			run(t, "ndiaye", func(b *bed) {
				b.holds(b.replayDay("ndiaye-day", func() {
					time.Sleep(14 * time.Second)
					b.d.StandIns.Fleet.ReclaimZone("hall-nord", vmlist.RoleBackend, notice)
				}))
			})
		})
	}
}

func TestUnreadAnswerOutlivesShutdown(t *testing.T) {
	run(t, "amakusa", func(b *bed) {
		resp, _ := b.call(http.MethodPost, balancerURL+"/v1/chat/completions", "reviews",
			`{"model":"plankridge-llm","messages":[{"role":"user","content":"Review chapter 3."}]}`, "Prefer", "respond-async")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
		location := resp.Header.Get("Location")
		b.client.CloseIdleConnections()
		_, before := b.call(http.MethodGet, balancerURL+location, "reviews", "")
		b.Assert(before, qt.Contains, `"state"`)
		for _, node := range b.d.Nodes {
			if node.Daemon.Owns(location[len("/v1/requests/"):]) {
				node.Drain()
				b.Assert(node.Wait(), qt.IsNil)
			}
		}
		resp, body := b.call(http.MethodGet, balancerURL+location+"/response", "reviews", "")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		b.Assert(body, qt.Contains, `"finish_reason":"stop"`)

		resp, _ = b.call(http.MethodGet, balancerURL+location+"/response", "clerks", "")
		b.Assert(resp.StatusCode, qt.Equals, http.StatusNotFound)
	})
}

func TestOpenAIForms(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		_, models := b.call(http.MethodGet, balancerURL+"/v1/models", "devis", "")
		b.Check(models, qt.Contains, `"id":"modele-devis:bordereaux"`)
		resp, body := b.call(http.MethodPost, balancerURL+"/v1/completions", "devis", `{"model":"modele-devis","prompt":"Block 12","max_tokens":2,"temperature":0.2}`)
		b.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		b.Check(body, qt.Contains, `"object":"text_completion"`)
		b.Check(body, qt.Contains, `"finish_reason":"length"`)
		b.Check(body, qt.Contains, `"completion_tokens":2`)
		_, body = b.call(http.MethodPost, balancerURL+"/v1/completions", "devis", `{"model":"modele-devis","prompt":"Block 12","max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`)
		b.Check(body, qt.Contains, `"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":2`)
		b.Check(body, qt.Contains, "data: [DONE]")
	})
}
