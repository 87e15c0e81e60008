// Package operatorapi implements the HTTP API for operators and its client. Every
// daemon serves the API, which applies and returns the deployment and reports the
// status of the daemons.
package operatorapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/plankridge/plankridge/internal/burn"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/generation"
	"github.com/plankridge/plankridge/internal/inbound"
	"github.com/plankridge/plankridge/internal/peer"
	"github.com/plankridge/plankridge/internal/store"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// applyTimeout bounds one apply, including the time to find out whether a write
// with a lost response took effect.
const applyTimeout = 20 * time.Second

// Options configures an API.
type Options struct {
	// Token is the operators' bearer token. If it is empty, requests are not
	// authenticated.
	Token     string
	Publisher *generation.Publisher
	Follower  *generation.Follower
	Registry  *discovery.Registry
	Mesh      *peer.Mesh
	Gatherer  prometheus.Gatherer
	Logger    *slog.Logger
	// Self returns the status of this daemon.
	Self func() peer.DaemonStatus
	// Ready reports whether the daemon can accept requests.
	Ready func() bool
	// CallerLimits bound the requests.
	CallerLimits catalog.CallerLimits
}

// API is the HTTP handler for operators.
type API struct {
	options Options
	echo    *echo.Echo
}

// New returns an API.
func New(options Options) *API {
	a := &API{options: options, echo: echo.New()}
	a.echo.HideBanner = true
	a.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	a.echo.GET("/readyz", a.ready)
	a.echo.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(options.Gatherer, promhttp.HandlerOpts{})))
	operators := a.echo.Group("/v1", a.authenticate)
	operators.POST("/apply", a.apply)
	operators.POST("/diff", a.diff)
	operators.GET("/deployment", a.deployment)
	operators.GET("/status", a.status)
	operators.GET("/burn", a.burn)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.echo.ServeHTTP(w, r) }

func (a *API) ready(c echo.Context) error {
	if !a.options.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.options.Token == "" {
			return next(c)
		}
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(a.options.Token)) != 1 {
			return c.JSON(http.StatusUnauthorized, Failure{Message: "operator token is missing or wrong"})
		}
		return next(c)
	}
}

// ApplyRequest is the body of a request to make files the next generation.
type ApplyRequest struct {
	Files []config.File `json:"files"`
	// BasedOn is the generation that the files modify. The apply fails with a
	// conflict if another generation is current.
	BasedOn int64 `json:"based_on"`
	// ApplyID identifies the apply, so that a repeated one has no further effect.
	ApplyID string `json:"apply_id"`
	// DryRun validates the files without applying them.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyResponse holds the generation that an apply created or, for a dry run, would
// create.
type ApplyResponse struct {
	Generation int64 `json:"generation"`
	DryRun     bool  `json:"dry_run,omitempty"`
}

// Failure is the response body of a failed call. BasedOn and Current are set for a
// conflict.
type Failure struct {
	Message  string            `json:"message"`
	Findings []finding.Finding `json:"findings,omitempty"`
	BasedOn  int64             `json:"based_on,omitempty"`
	Current  int64             `json:"current,omitempty"`
}

// readJSON decodes the body of a request. If it fails, it has responded.
func (a *API) readJSON(c echo.Context, body any) (failed bool, err error) {
	limits := a.options.CallerLimits.WithDefaults()
	raw, err := inbound.ReadBody(c.Response(), c.Request(), inbound.BodyLimits{MaxBytes: limits.BodyBytes, IdleTimeout: limits.IdleTimeout, Deadline: time.Now().Add(limits.HeaderTimeout)})
	status := http.StatusBadRequest
	switch {
	case err == nil:
		err = json.Unmarshal(raw, body)
	case errors.Is(err, inbound.ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, inbound.ErrBodyTimeout):
		status = http.StatusRequestTimeout
	case errors.Is(err, inbound.ErrNoMemory):
		status = http.StatusServiceUnavailable
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(inbound.RetryAfter.Seconds())))
	}
	if err == nil {
		return false, nil
	}
	return true, c.JSON(status, Failure{Message: err.Error()})
}

func (a *API) apply(c echo.Context) error {
	var body ApplyRequest
	if failed, err := a.readJSON(c, &body); failed {
		return err
	}
	if body.ApplyID == "" {
		return c.JSON(http.StatusBadRequest, Failure{Message: "apply_id is missing"})
	}
	deployment, err := config.Load(body.Files)
	if err != nil {
		return a.writeError(c, err)
	}
	if body.DryRun {
		return c.JSON(http.StatusOK, ApplyResponse{Generation: body.BasedOn + 1, DryRun: true})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	manifest, err := a.options.Publisher.Apply(ctx, deployment, body.BasedOn, body.ApplyID)
	if err != nil {
		return a.writeError(c, err)
	}
	a.options.Logger.Info("deployment applied", "generation", manifest.Generation, "apply_id", body.ApplyID)
	return c.JSON(http.StatusOK, ApplyResponse{Generation: manifest.Generation})
}

// writeError sends an error as a Failure with the HTTP status for its type.
func (a *API) writeError(c echo.Context, err error) error {
	var findings *finding.Error
	var conflict *generation.ConflictError
	switch {
	case errors.As(err, &findings):
		return c.JSON(http.StatusUnprocessableEntity, Failure{Message: "files have mistakes", Findings: findings.Findings})
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, Failure{Message: err.Error(), BasedOn: conflict.BasedOn, Current: conflict.Current})
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return c.JSON(http.StatusServiceUnavailable, Failure{Message: err.Error()})
	}
	return c.JSON(http.StatusInternalServerError, Failure{Message: err.Error()})
}

// currentDeployment returns the deployment in the store. If the store cannot be
// read, it returns the deployment in force on this daemon.
func (a *API) currentDeployment(ctx context.Context) (generation.Document, error) {
	manifest, deployment, err := a.options.Publisher.Read(ctx)
	if errors.Is(err, generation.ErrNoDeployment) {
		return generation.Document{Deployment: &config.Deployment{}}, nil
	}
	if err == nil {
		return generation.Document{Generation: manifest.Generation, Deployment: deployment}, nil
	}
	index := a.options.Follower.Index()
	if index == nil {
		return generation.Document{}, err
	}
	return generation.Document{Generation: a.options.Follower.Generation(), Deployment: index.Deployment}, nil
}

func (a *API) deployment(c echo.Context) error {
	document, err := a.currentDeployment(c.Request().Context())
	if err != nil {
		return a.writeError(c, err)
	}
	return c.JSON(http.StatusOK, document)
}

// DiffRequest is the body of a request to compare files with the current deployment.
type DiffRequest struct {
	Files []config.File `json:"files"`
}

// DiffResponse lists the changes from a generation to the files of a DiffRequest.
type DiffResponse struct {
	Generation int64           `json:"generation"`
	Changes    []config.Change `json:"changes"`
}

func (a *API) diff(c echo.Context) error {
	var body DiffRequest
	if failed, err := a.readJSON(c, &body); failed {
		return err
	}
	desired, err := config.Load(body.Files)
	if err != nil {
		return a.writeError(c, err)
	}
	document, err := a.currentDeployment(c.Request().Context())
	if err != nil {
		return a.writeError(c, err)
	}
	changes := config.Diff(document.Deployment, desired)
	return c.JSON(http.StatusOK, DiffResponse{Generation: document.Generation, Changes: changes})
}

// StatusResponse holds the status of all daemons, and the number of backend servers
// by service and VM state.
type StatusResponse struct {
	Daemons []peer.DaemonStatus               `json:"daemons"`
	Servers map[string]map[vmlist.VMState]int `json:"servers"`
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, StatusResponse{
		Daemons: a.daemonStatuses(c.Request().Context()),
		Servers: a.options.Registry.ServerCounts(),
	})
}

// daemonStatuses returns the status of every daemon. This daemon's status is read
// locally.
func (a *API) daemonStatuses(ctx context.Context) []peer.DaemonStatus {
	self := a.options.Self()
	statuses := a.options.Mesh.Statuses(ctx)
	for i := range statuses {
		if statuses[i].ID == self.ID {
			statuses[i] = self
			return statuses
		}
	}
	return append(statuses, self)
}

// BurnResponse holds the counts of good and bad requests, summed over all reachable
// daemons.
type BurnResponse struct {
	Windows []string   `json:"windows"`
	Rows    []burn.Row `json:"rows"`
}

func (a *API) burn(c echo.Context) error {
	var rowsByDaemon [][]burn.Row
	for _, daemon := range a.daemonStatuses(c.Request().Context()) {
		rowsByDaemon = append(rowsByDaemon, daemon.Burn)
	}
	response := BurnResponse{Rows: burn.Merge(rowsByDaemon...)}
	for _, window := range burn.Windows {
		response.Windows = append(response.Windows, window.String())
	}
	return c.JSON(http.StatusOK, response)
}
