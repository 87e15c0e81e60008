package callerapi

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/request"
)

var errNonTextPart = errors.New("only text parts are offered")

// readRequestBody reads a request body.
func (a *API) readRequestBody(c echo.Context) ([]byte, error) {
	limits := a.options.Limits.CallerLimits()
	raw, err := inbound.ReadBody(c.Response(), c.Request(), inbound.BodyLimits{
		MaxBytes: limits.BodyBytes, IdleTimeout: limits.IdleTimeout, Deadline: time.Now().Add(a.options.Limits.ReadTimeout.Std()),
	})
	switch {
	case err == nil:
		return raw, nil
	case errors.Is(err, inbound.ErrBodyTooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, err.Error()).Err()
	case errors.Is(err, inbound.ErrBodyTimeout):
		return nil, refuse(http.StatusRequestTimeout, err.Error()).Err()
	case errors.Is(err, inbound.ErrNoMemory):
		p := refuse(http.StatusServiceUnavailable, err.Error())
		p.retryAfter = inbound.RetryAfter
		return nil, p.Err()
	}
	return nil, refuse(http.StatusBadRequest, "body could not be read").Err()
}

// notForwardedHeaders are hop-by-hop headers and headers that only this API uses.
var notForwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Prefer", "Expect", "Content-Length",
	headerClass, headerRequestID, headerOutcome, "Plankridge-Attempt", "Plankridge-Workspace",
}

// endToEndHeaders returns a copy of the headers without hop-by-hop headers and
// without those that only this API uses.
func endToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// plain handles calls to plain services. A call with an idempotency key is
// submitted through the key's home.
func (a *API) plain(c echo.Context) error {
	call, err := a.authenticate(c)
	if err != nil {
		return err
	}
	name := c.Param("service")
	service, err := call.service(name, config.KindPlain)
	if err != nil {
		return err
	}
	path := strings.TrimPrefix(c.Request().URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	spec, err := call.spec(c, service, path)
	if err != nil {
		return err
	}
	body, err := a.readRequestBody(c)
	if err != nil {
		return err
	}
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	spec.Kind = request.KindPlain
	spec.Plain = &request.PlainRequest{
		Method: c.Request().Method,
		Path:   path,
		Header: endToEndHeaders(c.Request().Header),
		Body:   body,
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if key == "" {
		return a.submit(c, spec)
	}
	if len(key) > keys.MaxKeyBytes {
		return refuse(http.StatusBadRequest, headerIdempotencyKey+": longer than 255 bytes").Err()
	}
	ref := keys.NewRef(keys.HomeZone(call.index.Deployment, call.workspace), keys.Scope{
		Workspace: call.workspace.Name, Service: name, Path: keys.PathWithoutQuery(path),
	}, key, spec.Plain.Method, body)
	spec.Key = &request.Key{KeyRef: ref}
	return a.submitKeyed(c, spec)
}
