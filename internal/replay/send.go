package replay

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/request"
)

// result is what came of one request.
type result struct {
	outcome request.Outcome
	// cut is true when the answer ended before its end, or never came.
	cut    bool
	detail string
	sum    string

	firstToken time.Duration
	between    []time.Duration
	took       time.Duration

	promptTokens int
	cachedTokens int
}

// sender sends the requests of a trace.
type sender struct {
	url    string
	client *http.Client
	trace  *Trace
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatAnswer is a whole answer or a chunk of one.
type chatAnswer struct {
	Choices []struct {
		Message      *chatMessage `json:"message"`
		Delta        *chatMessage `json:"delta"`
		FinishReason *string      `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// problem is the part of a problem document that replay reads.
type problem struct {
	Outcome request.Outcome `json:"outcome"`
	Detail  string          `json:"detail"`
}

// send sends an entry and reads its answer. Times count from due.
func (s *sender) send(ctx context.Context, entry *Entry, due time.Time) result {
	req, err := s.newRequest(ctx, entry)
	if err != nil {
		return result{cut: true, detail: err.Error()}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return result{cut: true, detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	r := s.read(ctx, entry, resp, due)
	r.took = time.Since(due)
	return r
}

func (s *sender) newRequest(ctx context.Context, entry *Entry) (*http.Request, error) {
	method, path, body := entry.Method, "/services/"+entry.Service+entry.Path, []byte(entry.Body)
	if entry.Prompt != nil {
		method, path = http.MethodPost, "/v1/chat/completions"
		chat := chatBody{
			Model:     entry.Service,
			Messages:  []chatMessage{{Role: "user", Content: s.trace.Prompt(entry)}},
			MaxTokens: entry.MaxTokens,
			Stream:    entry.Stream,
		}
		if entry.Stream {
			chat.StreamOptions = &streamOptions{IncludeUsage: true}
		}
		var err error
		if body, err = json.Marshal(chat); err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
	}
	req, err := s.authorized(ctx, entry.Workspace, method, path, body)
	if err != nil {
		return nil, err
	}
	setHeader(req, "X-Reference", entry.Reference)
	setHeader(req, "Idempotency-Key", entry.Key)
	setHeader(req, "Plankridge-Class", entry.Class)
	if entry.Async {
		req.Header.Set("Prefer", "respond-async")
	}
	return req, nil
}

func (s *sender) authorized(ctx context.Context, workspace, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+s.trace.Header.Keys[workspace])
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

func (s *sender) read(ctx context.Context, entry *Entry, resp *http.Response, due time.Time) result {
	contentType := resp.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(contentType, "application/problem+json"):
		return readProblem(resp.Body)
	case resp.StatusCode == http.StatusAccepted && entry.Async:
		return s.readLater(ctx, entry, resp.Header.Get("Location"), due)
	case strings.HasPrefix(contentType, "text/event-stream"):
		return readStream(resp.Body, due)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{cut: true, detail: err.Error()}
	}
	if entry.Prompt != nil {
		return readWhole(raw)
	}
	return result{outcome: request.OutcomeOK, sum: digest(raw)}
}

func readProblem(body io.Reader) result {
	var p problem
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return result{cut: true, detail: err.Error()}
	}
	return result{outcome: p.Outcome, detail: p.Detail}
}

// readLater reads the answer of a request that was answered 202.
func (s *sender) readLater(ctx context.Context, entry *Entry, location string, due time.Time) result {
	req, err := s.authorized(ctx, entry.Workspace, http.MethodGet, location+"/response", nil)
	if err != nil {
		return result{cut: true, detail: err.Error()}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return result{cut: true, detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	waiting := *entry
	waiting.Async = false
	return s.read(ctx, &waiting, resp, due)
}

func readWhole(raw []byte) result {
	var answer chatAnswer
	if err := json.Unmarshal(raw, &answer); err != nil || len(answer.Choices) == 0 || answer.Choices[0].Message == nil {
		return result{cut: true, detail: "answer is not a chat completion"}
	}
	r := result{outcome: request.OutcomeOK, sum: digest([]byte(answer.Choices[0].Message.Content))}
	r.count(&answer)
	return r
}

func (r *result) count(answer *chatAnswer) {
	if answer.Usage == nil {
		return
	}
	r.promptTokens = answer.Usage.PromptTokens
	r.cachedTokens = answer.Usage.Details.CachedTokens
}

// readStream reads server-sent events up to [DONE].
func readStream(body io.Reader, due time.Time) result {
	var r result
	var text strings.Builder
	var last time.Time
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "error" {
			return readProblem(strings.NewReader(data))
		}
		if data == "[DONE]" {
			r.outcome, r.sum = request.OutcomeOK, digest([]byte(text.String()))
			return r
		}
		last = r.chunk(data, &text, due, last)
	}
	r.cut, r.detail = true, "stream ended before [DONE]"
	return r
}

// chunk takes one chunk of a stream and returns the time of the last token.
func (r *result) chunk(data string, text *strings.Builder, due, last time.Time) time.Time {
	var answer chatAnswer
	if json.Unmarshal([]byte(data), &answer) != nil {
		return last
	}
	r.count(&answer)
	if len(answer.Choices) == 0 || answer.Choices[0].Delta == nil || answer.Choices[0].Delta.Content == "" {
		return last
	}
	now := time.Now()
	text.WriteString(answer.Choices[0].Delta.Content)
	if last.IsZero() {
		r.firstToken = now.Sub(due)
	} else {
		r.between = append(r.between, now.Sub(last))
	}
	return now
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
