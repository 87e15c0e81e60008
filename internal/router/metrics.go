package router

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler serves the metrics address.
func (r *Router) metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.metrics, promhttp.HandlerOpts{})))
	return e
}
