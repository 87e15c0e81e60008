// Package callerapi implements the HTTP API for callers: models in the OpenAI wire
// format, plain services under /services, and the state and response of requests.
package callerapi

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/keys"
	"github.com/plankridge/plankridge/internal/request"
)

// Locator finds requests that are held by other daemons.
type Locator interface {
	// Locate returns dispatch.ErrNotFound if no daemon holds the request.
	Locate(ctx context.Context, id request.ID) (dispatch.Source, error)
}

// KeyedSubmitter runs requests that carry an idempotency key.
type KeyedSubmitter interface {
	// Submit returns an error if the outcome is not known: the request may have
	// been accepted.
	Submit(ctx context.Context, spec request.Spec) (keys.Result, error)
}

// Options configures an API.
type Options struct {
	Limits     config.RequestLimits
	Dispatcher *dispatch.Dispatcher
	Follower   *generation.Follower
	Locator    Locator
	Keys       KeyedSubmitter
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Ready reports whether the daemon can accept requests.
	Ready func() bool
}

// API is the HTTP handler for callers.
type API struct {
	options  Options
	refusals *prometheus.CounterVec
	draining atomic.Bool
	echo     *echo.Echo
}

// New returns an API and registers its metrics.
func New(options Options) *API {
	a := &API{
		options: options,
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_refusals_total", Help: "Requests refused before acceptance, by status.",
		}, []string{"status"}),
		echo: echo.New(),
	}
	options.Registerer.MustRegister(a.refusals)
	a.echo.HideBanner = true
	a.echo.HTTPErrorHandler = a.handleError
	a.echo.Use(a.setWriteDeadline, a.closeWhileDraining)
	a.routes()
	return a
}

func (a *API) routes() {
	a.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	a.echo.GET("/readyz", a.ready)
	a.echo.GET("/v1/models", a.models)
	a.echo.POST("/v1/chat/completions", a.chat)
	a.echo.POST("/v1/completions", a.completion)
	a.echo.Any("/services/:service/*", a.plain)
	a.echo.Any("/services/:service", a.plain)
	a.echo.GET("/v1/requests/:id", a.state)
	a.echo.GET("/v1/requests/:id/response", a.response)
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.echo.ServeHTTP(w, r) }

// Drain makes the readiness endpoint report not ready and adds "Connection: close"
// to all responses. The API keeps serving requests.
func (a *API) Drain() { a.draining.Store(true) }

func (a *API) ready(c echo.Context) error {
	if a.draining.Load() || !a.options.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// setWriteDeadline is middleware that sets the write deadline when a response
// starts.
func (a *API) setWriteDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() { a.extendWriteDeadline(c) })
		return next(c)
	}
}

func (a *API) closeWhileDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// handleError writes an error that a handler returned as a problem document.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var problemErr problemError
	var httpError *echo.HTTPError
	var p *problem
	switch {
	case errors.As(err, &problemErr):
		p = problemErr.problem
	case errors.As(err, &httpError):
		p = refuse(httpError.Code, strings.ToLower(http.StatusText(httpError.Code)))
	default:
		a.options.Logger.Error("caller API handler failed", "error", err)
		p = newProblem(http.StatusInternalServerError, request.OutcomeUnknown, "internal error")
	}
	if p.Outcome == request.OutcomeNotRun {
		a.refusals.WithLabelValues(http.StatusText(p.Status)).Inc()
	}
	if err := p.write(c); err != nil {
		a.options.Logger.Debug("cannot write problem response", "error", err)
	}
}

// authenticatedCall holds the caller's workspace and the configuration that the
// call is served with.
type authenticatedCall struct {
	index     *config.Index
	workspace *config.Workspace
}

// authenticate returns the workspace that the bearer key belongs to.
func (a *API) authenticate(c echo.Context) (authenticatedCall, error) {
	index := a.options.Follower.Index()
	if index == nil {
		p := refuse(http.StatusServiceUnavailable, "daemon has no deployment yet")
		if c.Request().Header.Get(headerIdempotencyKey) != "" {
			// An earlier request with the key may have run.
			p = newProblem(p.Status, request.OutcomeUnknown, p.Detail)
		}
		p.retryAfter = time.Second
		return authenticatedCall{}, p.Err()
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return authenticatedCall{}, refuse(http.StatusUnauthorized, "send the workspace's key as a bearer token").Err()
	}
	workspace := index.WorkspaceByKey(key)
	if workspace == nil {
		return authenticatedCall{}, refuse(http.StatusUnauthorized, "key belongs to no workspace").Err()
	}
	return authenticatedCall{index: index, workspace: workspace}, nil
}

// service returns a service that the workspace may call. Any other service is
// reported as not found, so that its existence is not disclosed.
func (a *authenticatedCall) service(name string, kind config.ServiceKind) (*config.Service, error) {
	service := a.index.Service(name)
	if service == nil || service.Kind != kind || !a.workspace.MayCall(name) {
		return nil, refuse(http.StatusNotFound, "no such "+string(kind)+": "+name).Err()
	}
	return service, nil
}

// spec returns the request specification of a call, without its kind and content.
func (a *authenticatedCall) spec(c echo.Context, service *config.Service, path string) (request.Spec, error) {
	route := a.index.Route(service, c.Request().Method, path)
	spec := request.Spec{
		Workspace: a.workspace.Name,
		Service:   service.Name,
		Route:     route,
		Class:     route.Class,
		Async:     prefersAsync(c.Request().Header),
	}
	if class := c.Request().Header.Get(headerClass); class != "" {
		if err := spec.Class.UnmarshalText([]byte(class)); err != nil {
			return spec, refuse(http.StatusBadRequest, headerClass+": "+err.Error()).Err()
		}
	}
	return spec, nil
}

func prefersAsync(header http.Header) bool {
	for _, value := range header.Values("Prefer") {
		for _, preference := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), "respond-async") {
				return true
			}
		}
	}
	return false
}

// submit submits a request to the dispatcher and sends the response.
func (a *API) submit(c echo.Context, spec request.Spec) error {
	flight, refusal := a.options.Dispatcher.Submit(spec)
	if refusal != nil {
		return refusalProblem(c, refusal).Err()
	}
	holdUntilEnd(c, flight)
	c.Response().Header().Set(headerRequestID, string(flight.ID()))
	if spec.Async {
		return writeAccepted(c, flight.ID())
	}
	return a.answer(c, flight, flight.Spec(), 0)
}

// minHeldBytes is the size from which a request's content counts until the request has ended, also when its
// caller has left.
const minHeldBytes = 64 << 10

// holdUntilEnd accounts the content of a request that may outlive its connection.
func holdUntilEnd(c echo.Context, flight *dispatch.Flight) {
	size := flight.Spec().Size()
	if size < minHeldBytes {
		return
	}
	release := inbound.Detach(c.Request(), size)
	go func() {
		<-flight.Done()
		release()
	}()
}

// refusalProblem returns the problem for a refused request. A request that arrives
// on an open connection after the daemon stopped accepting requests is redirected
// to the same URL. It also closes the connection, so that the balancer routes the
// retry to another daemon.
func refusalProblem(c echo.Context, refusal *dispatch.Refusal) *problem {
	p := refuse(refusal.Status, refusal.Detail)
	p.retryAfter = refusal.RetryAfter
	if refusal.Elsewhere {
		p.Status, p.Title = http.StatusTemporaryRedirect, http.StatusText(http.StatusTemporaryRedirect)
		c.Response().Header().Set("Location", c.Request().URL.RequestURI())
		c.Response().Header().Set("Connection", "close")
	}
	return p
}

// writeAccepted responds with 202 and the URLs of the request's state and response.
func writeAccepted(c echo.Context, id request.ID) error {
	location := "/v1/requests/" + string(id)
	c.Response().Header().Set("Location", location)
	c.Response().Header().Set("Preference-Applied", "respond-async")
	return c.JSON(http.StatusAccepted, map[string]string{
		"id":       string(id),
		"status":   location,
		"response": responsePath(id),
	})
}
