package forward

import (
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/allowance"
)

// Metrics holds the metrics of forwarded calls.
type Metrics struct {
	calls       *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	firstAnswer *prometheus.HistogramVec
	// resumed counts the streams that callers take up.
	resumed *prometheus.CounterVec
	// allowance counts the decisions on requests to workspaces with an allowance, by class.
	allowance *prometheus.CounterVec
	// moves counts the moves of streams by result, and movePause measures their pauses.
	moves     *prometheus.CounterVec
	movePause *prometheus.HistogramVec
	// kept counts the attempts that were not given up because the next one was refused.
	kept *prometheus.CounterVec
	// levelDecisions counts the decisions on calls while an admission level binds.
	levelDecisions *prometheus.CounterVec
	// oversized counts attempts that ended because a server sent too many bytes for a part of its response.
	oversized *prometheus.CounterVec
	// violations counts violated invariants. Any violation is a bug in this program.
	violations prometheus.Counter
}

// latencyBuckets are in seconds. They are centered on the usual latency targets of routes:
// 0.1 s for plain calls and 0.8 to 1.2 s to the first event.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 15}

// pauseBuckets are in seconds. Allowed pauses of streams are 0.4 to 0.5 s.
var pauseBuckets = []float64{0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.5, 1, 2}

// NewMetrics creates and registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_calls_total", Help: "Calls by service and outcome.",
		}, []string{"service", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "plankridge_call_duration_seconds", Help: "Time from the arrival of a call to its end.", Buckets: latencyBuckets,
		}, []string{"service", "outcome"}),
		firstAnswer: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "plankridge_call_first_answer_seconds", Help: "Time from the arrival of a call to its first answer or event.", Buckets: latencyBuckets,
		}, []string{"service"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_streams_taken_up_total", Help: "Streams that callers take up, by how the version that began them was established; empty if it was not.",
		}, []string{"service", "version_from"}),
		allowance: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_allowance_decisions_total",
			Help: "Requests to workspaces with an allowance, by class, decision, and whether the classes of all requests decided.",
		}, []string{"class", "decision", "by_class"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_stream_moves_total", Help: "Moves of running streams away from leaving servers: begun, done, or the cause of the failure.",
		}, []string{"service", "result"}),
		movePause: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "plankridge_stream_move_pause_seconds", Help: "Time between the last event before a move and the first one after it.", Buckets: pauseBuckets,
		}, []string{"service"}),
		kept: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_attempts_kept_total",
			Help: "Attempts that go on, or whose answers are forwarded, because the next attempt was refused, by why they were to be replaced: leaving, silent or server-error.",
		}, []string{"service", "cause"}),
		levelDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_admission_decisions_total", Help: "Calls while the admission level of their service binds, by class of rank and decision.",
		}, []string{"service", "class", "decision"}),
		oversized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_oversized_responses_total", Help: "Attempts that ended because the server sent too many bytes, by part: head, skipped-response or event.",
		}, []string{"service", "part"}),
		violations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "plankridge_call_invariant_violations_total", Help: "Steps that the life of a call does not have.",
		}),
	}
	registerer.MustRegister(m.calls, m.duration, m.firstAnswer, m.resumed, m.allowance, m.levelDecisions, m.kept, m.moves, m.movePause, m.oversized, m.violations)
	return m
}

func (m *Metrics) countLevel(service string, class int, admitted bool) {
	decision := "refused"
	if admitted {
		decision = "admitted"
	}
	m.levelDecisions.WithLabelValues(service, strconv.Itoa(class), decision).Inc()
}

func (m *Metrics) observe(call *Call, outcome string, took, first time.Duration) {
	m.calls.WithLabelValues(call.Service, outcome).Inc()
	m.duration.WithLabelValues(call.Service, outcome).Observe(took.Seconds())
	if first > 0 {
		m.firstAnswer.WithLabelValues(call.Service).Observe(first.Seconds())
	}
}

func (m *Metrics) observeAllowance(verdict allowance.Verdict) {
	decision := "refused"
	switch {
	case verdict.Admitted:
		decision = "admitted"
	case verdict.RetryAfter == 0:
		decision = "refused-without-retry"
	}
	m.allowance.WithLabelValues(verdict.Class.String(), decision, strconv.FormatBool(verdict.ByClass)).Inc()
}

// countKept counts an attempt that was to be replaced for a cause and is not.
func (m *Metrics) countKept(service string, cause error) {
	label := "server-error"
	switch {
	case errors.Is(cause, errLeaving):
		label = "leaving"
	case errors.Is(cause, errSilent):
		label = "silent"
	}
	m.kept.WithLabelValues(service, label).Inc()
}
