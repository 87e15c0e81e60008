package callerapi

import (
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/request"
)

// Headers for requests with an idempotency key and their responses.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Plankridge-Replayed"
)

// keyRetryAfter is the Retry-After for a key whose home did not respond or whose
// request has not ended.
const keyRetryAfter = time.Second

// submitKeyed submits a request to the home of its idempotency key and sends the
// response.
func (a *API) submitKeyed(c echo.Context, spec request.Spec) error {
	result, err := a.options.Keys.Submit(c.Request().Context(), spec)
	if err != nil {
		p := newProblem(http.StatusServiceUnavailable, request.OutcomeUnknown, "the home of this key gave no answer: send the same key again")
		p.retryAfter = keyRetryAfter
		return p.Err()
	}
	if result.RequestID != "" {
		c.Response().Header().Set(headerRequestID, string(result.RequestID))
	}
	switch result.Verdict {
	case keys.VerdictRun:
		return a.answerKeyed(c, spec, result.RequestID)
	case keys.VerdictReplay:
		c.Response().Header().Set(headerReplayed, "true")
		return writePlain(c, result.Answer)
	}
	return keyProblem(result).Err()
}

// keyProblem returns the problem for a request whose key was used before or that
// was refused.
func keyProblem(result keys.Result) *problem {
	switch result.Verdict {
	case keys.VerdictInFlight:
		p := newProblem(http.StatusConflict, request.OutcomeUnknown, "the first request with this key has not ended: send the same key again")
		p.RequestID = result.RequestID
		p.retryAfter = keyRetryAfter
		return p
	case keys.VerdictMismatch:
		return refuse(http.StatusUnprocessableEntity, "this key was used for another request")
	case keys.VerdictAnswerNotKept:
		return newProblem(http.StatusGone, request.OutcomeOK, "the request with this key has run; its answer was too large to keep")
	case keys.VerdictUnknown:
		return newProblem(http.StatusGatewayTimeout, request.OutcomeUnknown, "the request with this key may have run and its answer is lost")
	}
	p := refuse(result.Refusal.Status, result.Refusal.Detail)
	if result.Verdict == keys.VerdictHomeUnreachable {
		p = newProblem(result.Refusal.Status, request.OutcomeUnknown, result.Refusal.Detail+": send the same key again")
	}
	p.retryAfter = result.Refusal.RetryAfter
	return p
}

// answerKeyed sends the response of a request that runs on this daemon or at the
// home of its key.
func (a *API) answerKeyed(c echo.Context, spec request.Spec, id request.ID) error {
	if spec.Async {
		return writeAccepted(c, id)
	}
	spec.ID = id
	source, err := a.locate(c.Request().Context(), id)
	if errors.Is(err, dispatch.ErrNotFound) {
		return writeSeeOther(c, id)
	}
	if err != nil {
		return readError(&spec, err)
	}
	return a.answer(c, source, &spec, 0)
}
