package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/request"
)

// Response headers.
const (
	headerRequestID = "Plankridge-Request-Id"
	headerOutcome   = "Plankridge-Outcome"
	headerClass     = "Plankridge-Class"
)

const contentTypeProblem = "application/problem+json"

// problem is an RFC 9457 problem document. Outcome states whether the request
// has run. Error repeats the detail in the format that OpenAI clients parse.
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Outcome   request.Outcome `json:"outcome"`
	RequestID request.ID      `json:"request_id,omitempty"`
	Error     *openAIError    `json:"error,omitempty"`

	retryAfter time.Duration
}

type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// refuse returns the problem for a request that was rejected without being run.
func refuse(status int, detail string) *problem {
	return newProblem(status, request.OutcomeNotRun, detail)
}

func newProblem(status int, outcome request.Outcome, detail string) *problem {
	return &problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
		Error:   &openAIError{Message: detail, Type: "plankridge_error", Code: string(outcome)},
	}
}

// failureProblem returns the problem for an accepted request that failed.
func failureProblem(id request.ID, failure *request.Failure) *problem {
	p := newProblem(failure.Status, failure.Outcome, failure.Detail)
	p.RequestID = id
	return p
}

// Err wraps the problem in an error, so that handlers can return it.
func (p *problem) Err() error { return problemError{p} }

type problemError struct{ problem *problem }

// Error implements error.
func (e problemError) Error() string { return e.problem.Detail }

// write sends the problem document and its headers as the response.
func (p *problem) write(c echo.Context) error {
	header := c.Response().Header()
	header.Set(headerOutcome, string(p.Outcome))
	if p.RequestID != "" {
		header.Set(headerRequestID, string(p.RequestID))
	}
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, contentTypeProblem, raw)
}
