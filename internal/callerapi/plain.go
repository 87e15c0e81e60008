package callerapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/request"
)

var errNonTextPart = errors.New("only text parts are offered")

// bodyLimit writes a size in the notation of the middleware.
func bodyLimit(bytes int) string { return strconv.Itoa(bytes) + "B" }

// readRequestBody reads a caller's body. Errors of the body limit pass through.
func readRequestBody(c echo.Context) ([]byte, error) {
	raw, err := io.ReadAll(c.Request().Body)
	if err == nil {
		return raw, nil
	}
	var limit *echo.HTTPError
	if errors.As(err, &limit) {
		return nil, err
	}
	return nil, refuse(http.StatusBadRequest, "body could not be read").Err()
}

// notForwardedHeaders are headers that concern one connection or this API alone.
var notForwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Prefer", "Expect", "Content-Length",
	headerClass, headerRequestID, headerOutcome, "Plankridge-Attempt", "Plankridge-Workspace",
}

// endToEndHeaders returns the headers that concern both ends of a call.
func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwardedHeaders {
		kept.Del(name)
	}
	return kept
}

// plain passes a call on to a plain service.
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
	body, err := readRequestBody(c)
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
