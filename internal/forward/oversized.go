package forward

import (
	"errors"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/upstream"
)

// reportOversized logs and counts an attempt that ended because its server sent more than a part of a
// response may have. Other errors are ignored.
func (r *run) reportOversized(server backend.Entry, err error) {
	var oversized *upstream.OversizedError
	if !errors.As(err, &oversized) {
		return
	}
	r.options.Metrics.oversized.WithLabelValues(server.Service, string(oversized.Part)).Inc()
	r.options.Logger.Warn("server sent too many bytes, connection closed", "request_id", r.call.ID, "server", server.ID,
		"service", server.Service, "part", oversized.Part, "read_bytes", oversized.Limit)
}
