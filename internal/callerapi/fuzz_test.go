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

// FuzzBody feeds the API any body. It is understood or refused as not run.
func FuzzBody(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"temperature":0.5}`)
	f.Add(`{"model":"m","messages":[{"role":"user","content":null}],"max_tokens":-1}`)
	f.Add(`{"prompt":["a"]}`)
	f.Add(`[1]`)
	service := &config.Service{Model: &config.Model{MaxTokens: 100}}
	f.Fuzz(func(t *testing.T, text string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(text))
		c := echo.New().NewContext(req, httptest.NewRecorder())
		body, parameters, err := parseGenerateBody(c)
		if err != nil {
			var refused problemError
			if !errors.As(err, &refused) || refused.problem.Outcome != request.OutcomeNotRun {
				t.Fatalf("refused with %v", err)
			}
			return
		}
		if most := body.maxTokens(service); most < 1 || most > 100 {
			t.Fatalf("limit of %d tokens", most)
		}
		_ = chatPrompt(body.Messages)
		for name, value := range parameters {
			if !json.Valid(value) {
				t.Fatalf("parameter %s is not valid JSON: %q", name, value)
			}
		}
	})
}
