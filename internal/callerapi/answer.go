package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/request"
)

// findRequest returns the source and status of the request in the URL, which this
// daemon or a peer may hold. A request of another workspace is reported as not
// found, so that its existence is not disclosed.
func (a *API) findRequest(c echo.Context) (dispatch.Source, dispatch.Status, error) {
	call, err := a.authenticate(c)
	if err != nil {
		return nil, dispatch.Status{}, err
	}
	id := request.ID(c.Param("id"))
	source, err := a.locate(c.Request().Context(), id)
	if errors.Is(err, dispatch.ErrNotFound) {
		return nil, dispatch.Status{}, newProblem(http.StatusNotFound, request.OutcomeUnknown, "no daemon holds this request").Err()
	}
	if err != nil {
		return nil, dispatch.Status{}, unreachableProblem().Err()
	}
	status, err := source.Status(c.Request().Context())
	if err != nil {
		return nil, dispatch.Status{}, unreachableProblem().Err()
	}
	if status.Spec.Workspace != call.workspace.Name {
		return nil, dispatch.Status{}, newProblem(http.StatusNotFound, request.OutcomeUnknown, "no daemon holds this request").Err()
	}
	c.Response().Header().Set(headerRequestID, string(id))
	return source, status, nil
}

func unreachableProblem() *problem {
	p := newProblem(http.StatusServiceUnavailable, request.OutcomeUnknown, "the daemon that holds this request cannot be reached")
	p.retryAfter = time.Second
	return p
}

func (a *API) locate(ctx context.Context, id request.ID) (dispatch.Source, error) {
	flight, err := a.options.Dispatcher.Find(id)
	if err == nil {
		return flight, nil
	}
	return a.options.Locator.Locate(ctx, id)
}

// stateBody is the response body of GET /v1/requests/{id}.
type stateBody struct {
	ID       request.ID      `json:"id"`
	Service  string          `json:"service"`
	Class    string          `json:"class"`
	State    request.State   `json:"state"`
	Outcome  request.Outcome `json:"outcome,omitempty"`
	Attempts int             `json:"attempts"`
	Tokens   int             `json:"tokens"`
	Accepted time.Time       `json:"accepted"`
	Response string          `json:"response"`
}

func (a *API) state(c echo.Context) error {
	_, status, err := a.findRequest(c)
	if err != nil {
		return err
	}
	body := stateBody{
		ID:       status.Spec.ID,
		Service:  status.Spec.Service,
		Class:    string(status.Spec.Class),
		State:    status.State,
		Attempts: status.Attempts,
		Tokens:   status.Tokens,
		Accepted: status.Spec.Accepted,
		Response: responsePath(status.Spec.ID),
	}
	if status.State.Final() {
		body.Outcome = status.Outcome
	}
	return c.JSON(http.StatusOK, body)
}

func (a *API) response(c echo.Context) error {
	source, status, err := a.findRequest(c)
	if err != nil {
		return err
	}
	spec := status.Spec
	if strings.Contains(c.Request().Header.Get("Accept"), "text/event-stream") {
		spec.Stream = true
	}
	var from request.Position
	if lastEventID := c.Request().Header.Get("Last-Event-ID"); lastEventID != "" {
		from, err = request.ParsePosition(lastEventID)
		if err != nil {
			return newProblem(http.StatusBadRequest, status.Outcome, "Last-Event-ID: "+err.Error()).Err()
		}
		if !spec.CanResumeFrom(from) {
			return newProblem(http.StatusConflict, status.Outcome, "the answer was begun again: read it without Last-Event-ID").Err()
		}
		spec.Stream = spec.Kind != request.KindPlain
	}
	return a.answer(c, source, &spec, from.Offset)
}

// answer sends the response of a request in the format of its kind. In a stream,
// the number of tokens given by after is skipped.
func (a *API) answer(c echo.Context, source dispatch.Source, spec *request.Spec, after int) error {
	switch {
	case spec.Kind == request.KindPlain:
		return a.answerPlain(c, source, spec)
	case spec.Stream:
		return a.answerStream(c, source, spec, after)
	}
	return a.answerJSON(c, source, spec)
}

// readAnswer reads an answer to its end and returns its text and last event. The
// error holds the problem to respond with.
func readAnswer(ctx context.Context, source dispatch.Source, spec *request.Spec) (string, dispatch.Event, error) {
	var text strings.Builder
	var last dispatch.Event
	err := source.Follow(ctx, 0, func(event dispatch.Event) error {
		text.WriteString(event.Token)
		last = event
		return nil
	})
	switch {
	case err != nil:
		err = readError(spec, err)
	case last.Failure != nil:
		err = failureProblem(spec.ID, last.Failure).Err()
	}
	return text.String(), last, err
}

func (a *API) answerPlain(c echo.Context, source dispatch.Source, spec *request.Spec) error {
	_, last, err := readAnswer(c.Request().Context(), source, spec)
	if err != nil {
		return err
	}
	if last.Moved {
		return writeSeeOther(c, spec.ID)
	}
	return writePlain(c, last.Plain)
}

// writePlain sends the response of a plain service to the caller.
func writePlain(c echo.Context, answer *request.PlainAnswer) error {
	header := c.Response().Header()
	for name, values := range endToEndHeaders(answer.Header) {
		header[name] = values
	}
	c.Response().WriteHeader(answer.Status)
	_, err := c.Response().Write(answer.Body)
	return err
}

// writeSeeOther redirects a waiting caller to the URL of its response, which any
// daemon can serve.
func writeSeeOther(c echo.Context, id request.ID) error {
	c.Response().Header().Set("Location", responsePath(id))
	return c.NoContent(http.StatusSeeOther)
}

func responsePath(id request.ID) string {
	return "/v1/requests/" + string(id) + "/response"
}

// readError returns the error for an answer that could not be read. The request
// itself may still be running.
func readError(spec *request.Spec, err error) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	p := unreachableProblem()
	p.RequestID = spec.ID
	return p.Err()
}

// extendWriteDeadline sets the connection's write deadline to WriteTimeout from
// now.
func (a *API) extendWriteDeadline(c echo.Context) {
	deadline := time.Now().Add(a.options.Limits.WriteTimeout.Std())
	_ = http.NewResponseController(c.Response().Writer).SetWriteDeadline(deadline)
}

// Objects of the OpenAI wire format.
type (
	usage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		TotalTokens      int           `json:"total_tokens"`
		Details          promptDetails `json:"prompt_tokens_details"`
	}
	promptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
	chatMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	choice struct {
		Index        int          `json:"index"`
		Message      *chatMessage `json:"message,omitempty"`
		Delta        *chatMessage `json:"delta,omitempty"`
		Text         *string      `json:"text,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
)

func newUsage(finish *request.Finish) *usage {
	return &usage{
		PromptTokens:     finish.PromptTokens,
		CompletionTokens: finish.OutputTokens,
		TotalTokens:      finish.PromptTokens + finish.OutputTokens,
		Details:          promptDetails{CachedTokens: finish.CachedTokens},
	}
}

// objectName returns the OpenAI "object" value for the response of a request.
func objectName(spec *request.Spec) string {
	switch {
	case spec.Kind == request.KindCompletion:
		return "text_completion"
	case spec.Stream:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func newCompletion(spec *request.Spec, choices ...choice) *completion {
	return &completion{
		ID:      string(spec.ID),
		Object:  objectName(spec),
		Created: createdUnix(spec.Accepted),
		Model:   spec.Model.Name,
		Choices: choices,
	}
}

func (a *API) answerJSON(c echo.Context, source dispatch.Source, spec *request.Spec) error {
	text, last, err := readAnswer(c.Request().Context(), source, spec)
	if err != nil {
		return err
	}
	if last.Moved {
		return writeSeeOther(c, spec.ID)
	}
	single := choice{FinishReason: &last.Finish.Reason}
	if spec.Kind == request.KindChat {
		single.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		single.Text = &text
	}
	body := newCompletion(spec, single)
	body.Usage = newUsage(last.Finish)
	return c.JSON(http.StatusOK, body)
}

// answerStream sends the answer as server-sent events. The ID of an event holds
// the run and the number of tokens up to and including the event.
func (a *API) answerStream(c echo.Context, source dispatch.Source, spec *request.Spec, after int) error {
	header := c.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	c.Response().WriteHeader(http.StatusOK)
	if _, err := fmt.Fprintf(c.Response(), ": request %s\n\n", spec.ID); err != nil {
		return nil
	}
	c.Response().Flush()
	stream := &eventStream{api: a, c: c, spec: spec, rolePending: after == 0}
	err := source.Follow(c.Request().Context(), after, stream.writeEvent)
	if err != nil && c.Request().Context().Err() == nil {
		stream.writeProblem(unreachableProblem())
	}
	return nil
}

// eventStream writes one answer as server-sent events.
type eventStream struct {
	api         *API
	c           echo.Context
	spec        *request.Spec
	rolePending bool
}

func (s *eventStream) writeEvent(event dispatch.Event) error {
	switch {
	case event.Moved:
		return s.writeMoved(event.Offset)
	case event.Failure != nil:
		s.writeProblem(failureProblem(s.spec.ID, event.Failure))
		return nil
	case event.Finish != nil:
		return s.writeFinish(event)
	}
	return s.writeData(event.Offset, newCompletion(s.spec, s.delta(event.Token, nil)))
}

func (s *eventStream) delta(text string, finish *string) choice {
	if s.spec.Kind == request.KindCompletion {
		return choice{Text: &text, FinishReason: finish}
	}
	delta := &chatMessage{Content: text}
	if s.rolePending {
		delta.Role = "assistant"
		s.rolePending = false
	}
	return choice{Delta: delta, FinishReason: finish}
}

func (s *eventStream) writeFinish(event dispatch.Event) error {
	if err := s.writeData(event.Offset, newCompletion(s.spec, s.delta("", &event.Finish.Reason))); err != nil {
		return err
	}
	if s.spec.Model.IncludeUsage {
		chunk := newCompletion(s.spec)
		chunk.Choices = []choice{}
		chunk.Usage = newUsage(event.Finish)
		if err := s.writeData(event.Offset, chunk); err != nil {
			return err
		}
	}
	return s.write("data: [DONE]\n\n")
}

// writeMoved ends a stream whose request has moved to another daemon. The caller
// reconnects to the given location with the ID of the last event.
func (s *eventStream) writeMoved(offset int) error {
	raw, err := json.Marshal(map[string]string{"location": responsePath(s.spec.ID)})
	if err != nil {
		return err
	}
	return s.write("event: moved\nid: " + s.eventID(offset) + "\ndata: " + string(raw) + "\n\n")
}

// writeProblem ends a stream with an error event instead of its final event.
func (s *eventStream) writeProblem(p *problem) {
	raw, err := json.Marshal(p)
	if err == nil {
		_ = s.write("event: error\ndata: " + string(raw) + "\n\n")
	}
}

func (s *eventStream) writeData(offset int, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.write("id: " + s.eventID(offset) + "\ndata: " + string(raw) + "\n\n")
}

func (s *eventStream) eventID(offset int) string {
	return request.Position{Run: s.spec.Run, Offset: offset}.String()
}

func (s *eventStream) write(text string) error {
	s.api.extendWriteDeadline(s.c)
	if _, err := s.c.Response().Write([]byte(text)); err != nil {
		return err
	}
	s.c.Response().Flush()
	return nil
}
