package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/request"
)

type metrics struct {
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	inFlight      prometheus.Gauge
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	promptTokens  *prometheus.CounterVec
	mismatched    prometheus.Counter
	violations    prometheus.Counter
	heldBytes     prometheus.Gauge
	uncopied      prometheus.Counter
	// delayedRetries counts the times that a retry had to wait for the retry budget.
	delayedRetries *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_requests_total", Help: "Requests ended, by service and outcome.",
		}, []string{"service", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_attempts_total", Help: "Attempts ended, by service and result.",
		}, []string{"service", "result"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "plankridge_requests_in_flight", Help: "Accepted requests that have not ended.",
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "plankridge_first_token_seconds", Help: "Time from acceptance to the first token.",
			Buckets: []float64{.05, .1, .25, .5, .75, 1, 1.5, 2, 3, 5, 10},
		}),
		betweenTokens: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "plankridge_between_tokens_seconds", Help: "Time between two tokens of a stream.",
			Buckets: []float64{.01, .02, .04, .06, .072, .1, .2, .5, 1, 5},
		}),
		promptTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plankridge_prompt_tokens_total", Help: "Prompt tokens, reused from a cache or computed.",
		}, []string{"service", "source"}),
		mismatched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "plankridge_mismatched_answers_total", Help: "Answers dropped because they belong to another request or attempt.",
		}),
		violations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "plankridge_invariant_violations_total", Help: "Steps that the request state machine does not have.",
		}),
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "plankridge_held_answer_bytes", Help: "Memory of finished answers kept for late readers.",
		}),
	}
	m.uncopied = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "plankridge_uncopied_requests_total", Help: "Times that no daemon took the copy of a request.",
	})
	m.delayedRetries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "plankridge_delayed_retries_total", Help: "Times that a retry had to wait for the retry budget, by service.",
	}, []string{"service"})
	registerer.MustRegister(m.uncopied, m.delayedRetries, m.requests, m.attempts, m.inFlight, m.firstToken, m.betweenTokens,
		m.promptTokens, m.mismatched, m.violations, m.heldBytes)
	return m
}

// countUsage counts the prompt tokens of a finished answer.
func (m *metrics) countUsage(service string, finish *request.Finish) {
	if finish == nil {
		return
	}
	m.promptTokens.WithLabelValues(service, "reused").Add(float64(finish.CachedTokens))
	m.promptTokens.WithLabelValues(service, "computed").Add(float64(finish.PromptTokens - finish.CachedTokens))
}
