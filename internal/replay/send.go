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
	cut bool
	// id is the request's ID, once the caller has been told; later says that
	// the answer can be asked for again.
	id    string
	later bool
	// resumed is true when an answer that had begun was asked for again.
	resumed bool
	text    strings.Builder
	last    time.Time
	offset  string
	detail  string
	sum     string

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

// A caller that was sent away, or cut off after it has learnt the request's
// ID, asks for the answer again that many times.
const (
	resumeTries = 60
	resumePause = 500 * time.Millisecond
)

// send sends an entry and reads its answer. Times count from due.
func (s *sender) send(ctx context.Context, entry *Entry, due time.Time) *result {
	r := &result{}
	req, err := s.newRequest(ctx, entry)
	if err != nil {
		r.fail(err)
		return r
	}
	s.exchange(req, entry, r, due)
	for try := 0; try < resumeTries && r.again(); try++ {
		if try > 0 {
			time.Sleep(resumePause)
		}
		r.resumed = r.resumed || !entry.Async
		s.resume(ctx, entry, r, due)
	}
	r.took = time.Since(due)
	return r
}

// again reports whether the answer is still to be had.
func (r *result) again() bool { return r.id != "" && (r.later || r.cut) }

func (r *result) fail(err error) {
	r.cut = true
	r.detail = err.Error()
}

// exchange sends a request and reads what comes.
func (s *sender) exchange(req *http.Request, entry *Entry, r *result, due time.Time) {
	r.cut, r.later, r.outcome = false, false, ""
	resp, err := s.client.Do(req)
	if err != nil {
		r.fail(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get("Plankridge-Request-Id"); id != "" {
		r.id = id
	}
	s.read(entry, resp, r, due)
}

// resume asks for the answer of a request that has been accepted.
func (s *sender) resume(ctx context.Context, entry *Entry, r *result, due time.Time) {
	req, err := s.authorized(ctx, entry.Workspace, http.MethodGet, "/v1/requests/"+r.id+"/response", nil)
	if err != nil {
		r.fail(err)
		return
	}
	if entry.Stream {
		req.Header.Set("Accept", "text/event-stream")
		setHeader(req, "Last-Event-ID", r.offset)
	}
	s.exchange(req, entry, r, due)
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

func (s *sender) read(entry *Entry, resp *http.Response, r *result, due time.Time) {
	contentType := resp.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(contentType, "application/problem+json"):
		r.readProblem(resp.Body)
		if resp.StatusCode == http.StatusConflict && entry.Key == "" {
			r.restart()
			return
		}
		r.later = resp.StatusCode == http.StatusServiceUnavailable && r.outcome == request.OutcomeUnknown
		return
	case resp.StatusCode == http.StatusAccepted && entry.Async:
		r.later = true
		return
	case strings.HasPrefix(contentType, "text/event-stream"):
		r.readStream(resp.Body, due)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.fail(err)
		return
	}
	if entry.Prompt != nil {
		r.readWhole(raw)
		return
	}
	r.outcome, r.sum = request.OutcomeOK, digest(raw)
}

// restart forgets the part of an answer that has been begun again.
func (r *result) restart() {
	r.text.Reset()
	r.offset, r.later = "", true
}

func (r *result) readProblem(body io.Reader) {
	var p problem
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		r.fail(err)
		return
	}
	r.outcome, r.detail = p.Outcome, p.Detail
}

func (r *result) readWhole(raw []byte) {
	var answer chatAnswer
	if err := json.Unmarshal(raw, &answer); err != nil || len(answer.Choices) == 0 || answer.Choices[0].Message == nil {
		r.cut, r.detail = true, "answer is not a chat completion"
		return
	}
	r.outcome, r.sum = request.OutcomeOK, digest([]byte(answer.Choices[0].Message.Content))
	r.count(&answer)
}

func (r *result) count(answer *chatAnswer) {
	if answer.Usage == nil {
		return
	}
	r.promptTokens = answer.Usage.PromptTokens
	r.cachedTokens = answer.Usage.Details.CachedTokens
}

// readStream reads server-sent events up to [DONE], or to the event that sends
// the caller away.
func (r *result) readStream(body io.Reader, due time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	event, id := "", ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case event == "error":
			r.readProblem(strings.NewReader(data))
			r.later = r.outcome == request.OutcomeUnknown
			return
		case event == "moved":
			r.later = true
			return
		case data == "[DONE]":
			r.outcome, r.sum = request.OutcomeOK, digest([]byte(r.text.String()))
			return
		}
		r.chunk(data, due)
		r.offset = id
	}
	r.cut, r.detail = true, "stream ended before [DONE]"
}

// chunk takes one chunk of a stream.
func (r *result) chunk(data string, due time.Time) {
	var answer chatAnswer
	if json.Unmarshal([]byte(data), &answer) != nil {
		return
	}
	r.count(&answer)
	if len(answer.Choices) == 0 || answer.Choices[0].Delta == nil || answer.Choices[0].Delta.Content == "" {
		return
	}
	now := time.Now()
	r.text.WriteString(answer.Choices[0].Delta.Content)
	if r.last.IsZero() {
		r.firstToken = now.Sub(due)
	} else {
		r.between = append(r.between, now.Sub(r.last))
	}
	r.last = now
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
