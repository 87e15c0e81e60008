package callerapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/request"
)

// FuzzBody parses arbitrary bodies. Each must either parse into valid parameters
// or be rejected with the outcome "not run".
func FuzzBody(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"temperature":0.5}`)
	f.Add(`{"model":"m","messages":[{"role":"user","content":null}],"max_tokens":-1}`)
	f.Add(`{"prompt":["a"]}`)
	f.Add(`[1]`)
	service := &config.Service{Model: &config.Model{MaxTokens: 100}}
	api := &API{options: Options{Limits: config.DefaultSettings().Limits}}
	f.Fuzz(func(t *testing.T, text string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(text))
		c := echo.New().NewContext(req, httptest.NewRecorder())
		body, parameters, err := api.parseGenerateBody(c)
		if err != nil {
			var refused problemError
			if !errors.As(err, &refused) || refused.problem.Outcome != request.OutcomeNotRun {
				t.Fatalf("got error %v, want a problem with outcome not-run", err)
			}
			return
		}
		if maxTokens := body.maxTokens(service); maxTokens < 1 || maxTokens > 100 {
			t.Fatalf("max tokens = %d, want 1 to 100", maxTokens)
		}
		_ = chatPrompt(body.Messages)
		for name, value := range parameters {
			if !json.Valid(value) {
				t.Fatalf("parameter %s is not valid JSON: %q", name, value)
			}
		}
	})
}
