package router

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/store"
)

// badObjectLogInterval is the minimum time between two log lines about objects of one kind with the
// same fault. A faulty writer may write thousands of them.
const badObjectLogInterval = 10 * time.Second

// badObjects counts and logs the objects in the store that cannot be used.
type badObjects struct {
	logger *slog.Logger
	total  *prometheus.CounterVec

	mu          sync.Mutex
	loggedAt    map[badObjectCause]time.Time
	sinceLogged map[badObjectCause]int
}

type badObjectCause struct {
	kind  string
	fault store.Fault
}

func newBadObjects(metrics prometheus.Registerer, logger *slog.Logger) *badObjects {
	b := &badObjects{
		logger: logger, loggedAt: map[badObjectCause]time.Time{}, sinceLogged: map[badObjectCause]int{},
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_store_bad_objects_total", Help: "Objects read from the store that cannot be used, by kind and fault.",
		}, []string{"kind", "fault"}),
	}
	metrics.MustRegister(b.total)
	return b
}

// record counts an object that cannot be used.
func (b *badObjects) record(err error, now time.Time) {
	var bad *store.BadObject
	if !errors.As(err, &bad) {
		bad = &store.BadObject{Fault: store.FaultUnreadable}
	}
	b.total.WithLabelValues(bad.Kind, string(bad.Fault)).Inc()
	cause := badObjectCause{bad.Kind, bad.Fault}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sinceLogged[cause]++
	if last, known := b.loggedAt[cause]; known && now.Sub(last) < badObjectLogInterval {
		return
	}
	b.logger.Error("object in the store cannot be used", "kind", bad.Kind, "object", bad.Name, "fault", bad.Fault, "field", bad.Field,
		"since_last_line", b.sinceLogged[cause])
	b.loggedAt[cause], b.sinceLogged[cause] = now, 0
}
