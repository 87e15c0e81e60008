package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/request"
)

// adapterSeparator separates the service from the adapter in a model name.
const adapterSeparator = ":"

// tierFlex is the service tier with which OpenAI clients request cheaper, slower
// processing. It maps to the deferrable class.
const tierFlex = "flex"

// modelEntry is one entry in the response of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models handles GET /v1/models: it lists the models and adapters that the
// workspace may call.
func (a *API) models(c echo.Context) error {
	call, err := a.authenticate(c)
	if err != nil {
		return err
	}
	entries := []modelEntry{}
	for _, service := range call.index.Deployment.Services {
		if service.Kind != config.KindModel || !call.workspace.MayCall(service.Name) {
			continue
		}
		names := []string{service.Name}
		for _, adapter := range service.Model.Adapters {
			names = append(names, service.Name+adapterSeparator+adapter)
		}
		for _, name := range names {
			entries = append(entries, modelEntry{ID: name, Object: "model", OwnedBy: service.Model.Name})
		}
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": entries})
}

// generateBody holds the members of a chat or completion body that this API
// interprets. All other members are passed on to the engine unchanged.
type generateBody struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	ServiceTier         string          `json:"service_tier"`
}

// knownMembers are the JSON names of the fields of generateBody.
var knownMembers = []string{"model", "messages", "prompt", "stream", "stream_options",
	"max_tokens", "max_completion_tokens", "n", "service_tier"}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string or a list of text
// parts.
type content string

// UnmarshalJSON accepts a string, null, or a list of text parts, which it
// concatenates.
func (t *content) UnmarshalJSON(raw []byte) error {
	var text *string
	if json.Unmarshal(raw, &text) == nil {
		if text != nil {
			*t = content(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		if part.Type != "text" {
			return errNonTextPart
		}
		*t += content(part.Text)
	}
	return nil
}

// chatPrompt returns the prompt for a chat: one "role: text" line per message,
// followed by the assistant's line for the model to complete.
func chatPrompt(messages []message) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(string(m.Content))
		prompt.WriteString("\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String()
}

func (a *API) chat(c echo.Context) error {
	return a.generate(c, request.KindChat, func(body *generateBody) (string, error) {
		if len(body.Messages) == 0 {
			return "", refuse(http.StatusBadRequest, "messages: must not be empty").Err()
		}
		return chatPrompt(body.Messages), nil
	})
}

func (a *API) completion(c echo.Context) error {
	return a.generate(c, request.KindCompletion, func(body *generateBody) (string, error) {
		var prompt string
		if json.Unmarshal(body.Prompt, &prompt) != nil {
			return "", refuse(http.StatusBadRequest, "prompt: want one text").Err()
		}
		return prompt, nil
	})
}

// generate parses a request body, builds the request's specification and submits
// it. promptOf returns the prompt or the error to respond with.
func (a *API) generate(c echo.Context, kind request.Kind, promptOf func(*generateBody) (string, error)) error {
	call, err := a.authenticate(c)
	if err != nil {
		return err
	}
	body, parameters, err := a.parseGenerateBody(c)
	if err != nil {
		return err
	}
	prompt, err := promptOf(body)
	if err != nil {
		return err
	}
	name, adapter, _ := strings.Cut(body.Model, adapterSeparator)
	service, err := call.service(name, config.KindModel)
	if err != nil {
		return err
	}
	if adapter != "" && !hasAdapter(service, adapter) {
		return refuse(http.StatusNotFound, "no such adapter: "+body.Model).Err()
	}
	spec, err := call.spec(c, service, "")
	if err != nil {
		return err
	}
	if body.ServiceTier == tierFlex {
		spec.Class = config.ClassDeferrable
	}
	spec.Kind = kind
	spec.Stream = body.Stream
	spec.Model = &request.ModelRequest{
		Name:         body.Model,
		Adapter:      adapter,
		Prompt:       prompt,
		MaxTokens:    body.maxTokens(service),
		Parameters:   parameters,
		IncludeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
	}
	return a.submit(c, spec)
}

func hasAdapter(service *config.Service, name string) bool {
	for _, adapter := range service.Model.Adapters {
		if adapter == name {
			return true
		}
	}
	return false
}

// parseGenerateBody decodes and validates a body. It also returns the raw values
// of the members that this API does not interpret.
func (a *API) parseGenerateBody(c echo.Context) (*generateBody, map[string][]byte, error) {
	raw, err := a.readRequestBody(c)
	if err != nil {
		return nil, nil, err
	}
	body := &generateBody{}
	if err := json.Unmarshal(raw, body); err != nil {
		return nil, nil, refuse(http.StatusBadRequest, "body: "+err.Error()).Err()
	}
	if body.N != nil && *body.N != 1 {
		return nil, nil, refuse(http.StatusBadRequest, "n: only one choice a request is offered").Err()
	}
	if limit := body.tokenLimit(); limit != nil && *limit <= 0 {
		return nil, nil, refuse(http.StatusBadRequest, "max_tokens: must be greater than zero").Err()
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		return nil, nil, refuse(http.StatusBadRequest, "body: "+err.Error()).Err()
	}
	for _, name := range knownMembers {
		delete(members, name)
	}
	parameters := make(map[string][]byte, len(members))
	for name, value := range members {
		parameters[name] = value
	}
	return body, parameters, nil
}

func (b *generateBody) tokenLimit() *int {
	if b.MaxCompletionTokens != nil {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

func (b *generateBody) maxTokens(service *config.Service) int {
	if limit := b.tokenLimit(); limit != nil {
		return min(*limit, service.Model.MaxTokens)
	}
	return service.Model.MaxTokens
}

// createdUnix returns the creation time of a response as a Unix time in seconds.
func createdUnix(accepted time.Time) int64 { return accepted.Unix() }
