package forward

import (
	"errors"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/upstream"
)

// reportInvalidResponse logs an attempt that ended because its server sent no HTTP response, or more than a part of a
// response may have, and counts the latter. Other errors are ignored.
func (r *run) reportInvalidResponse(server backend.Entry, err error) {
	logger := r.options.Logger.With("request_id", r.call.ID, "server", server.ID, "service", server.Service)
	var oversized *upstream.OversizedError
	var invalid *network.InvalidHeadError
	switch {
	case errors.As(err, &oversized):
		r.options.Metrics.oversized.WithLabelValues(server.Service, string(oversized.Part)).Inc()
		logger.Warn("server sent too many bytes, connection closed", "part", oversized.Part, "read_bytes", oversized.Limit)
	case errors.As(err, &invalid):
		logger.Warn("server sent no HTTP response, connection closed", "error", invalid)
	}
}
