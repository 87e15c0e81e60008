package forward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/quarantine"
)

// attemptRecord is the log entry of an attempt, with the data that the routing was based on.
type attemptRecord struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	// Version is the version of the server's software.
	Version string `json:"version"`
	Result  string `json:"result"`
	// Via is the daemon through which the server was reached; empty for a direct connection.
	Via string `json:"via,omitempty"`
	// AtMS is the start of the attempt in milliseconds since the call arrived.
	AtMS   int64 `json:"at_ms"`
	TookMS int64 `json:"took_ms"`
	// WaitMS is the predicted time to the first event. IdleWaitMS is the part of it that the
	// request would take on an idle server. Calibrated is set if the prediction is based on
	// measurements of the engines. PrefillTokens is the number of prompt tokens that the server was
	// expected to process, and Running the number of requests that it was running.
	WaitMS        int64 `json:"wait_ms"`
	IdleWaitMS    int64 `json:"own_ms"`
	Calibrated    bool  `json:"learned"`
	PrefillTokens int   `json:"unread"`
	Running       int   `json:"running"`
	// PrefillSpeed and StepSpeed are the server's speeds relative to its service that the predictions
	// assume, and StreamMS the predicted time from the first event to the end of the answer. They are
	// left out for servers that count as alike.
	PrefillSpeed float64 `json:"prefill_speed,omitempty"`
	StepSpeed    float64 `json:"step_speed,omitempty"`
	StreamMS     int64   `json:"stream_ms,omitempty"`
}

func (r *run) recordAttempt(choice *backend.Choice, result string, began, ended time.Time) {
	record := attemptRecord{
		Server: choice.ID, Zone: choice.Zone, Version: choice.Version, Result: result, Via: r.via,
		AtMS: began.Sub(r.call.Arrived).Milliseconds(), TookMS: ended.Sub(began).Milliseconds(),
		WaitMS: choice.Wait.Milliseconds(), IdleWaitMS: choice.IdleWait.Milliseconds(), Calibrated: choice.Calibrated, PrefillTokens: choice.PrefillTokens, Running: choice.Running,
	}
	if choice.PrefillSpeed != 1 || choice.StepSpeed != 1 || choice.EndsLate {
		record.PrefillSpeed, record.StepSpeed, record.StreamMS = roundSpeed(choice.PrefillSpeed), roundSpeed(choice.StepSpeed), choice.StreamTime.Milliseconds()
	}
	r.history = append(r.history, record)
}

// roundSpeed rounds a relative speed to hundredths for the log.
func roundSpeed(speed float64) float64 { return math.Round(100*speed) / 100 }

// recordCall logs a completed call and updates the metrics.
func (r *run) recordCall(ctx context.Context, err error) {
	took := time.Since(r.call.Arrived)
	outcome := "served"
	status := r.status
	var refusal *Refusal
	level := slog.LevelInfo
	switch {
	case errors.As(err, &refusal):
		outcome, status = "refused", refusal.Status
		if r.mayHaveRun() {
			outcome = "failed"
		}
	case errors.Is(err, ErrTruncated):
		outcome = "cut"
	case errors.Is(err, errCallerLeft), ctx.Err() != nil && err != nil:
		outcome = "caller-left"
	}
	r.options.Metrics.observe(r.call, outcome, took, r.firstAnswerAfter)
	serversAge, storeFailing := r.options.Freshness()
	attrs := []any{
		"request_id", r.call.ID, "route", r.call.Route.Name, "service", r.call.Service, "workspace", r.call.Workspace,
		"content", r.fingerprint.Content.String(), "outcome", outcome, "status", status, "took_ms", took.Milliseconds(), "first_ms", r.firstAnswerAfter.Milliseconds(), "age_ms", r.callerAge.Milliseconds(),
		"attempts", r.history, "allowance_tokens", r.cost, "config_version", r.call.Catalog.Version,
		"config_age_ms", time.Since(r.call.Catalog.AppliedAt).Milliseconds(), "servers_age_ms", serversAge.Milliseconds(), "store_failing", storeFailing,
	}
	if r.resumed() {
		if r.hasStreamVersion() {
			r.options.Metrics.resumed.WithLabelValues(r.call.Service, r.stream.Source).Inc()
		}
		attrs = append(attrs, "resumes", r.call.Resumes, "last_event", r.call.LastEventID)
	}
	if r.stream.Source != "" {
		attrs = append(attrs, "stream_version", r.stream.Version, "stream_version_from", r.stream.Source)
	}
	attrs = append(attrs, r.moves.attrs(outcome)...)
	if b := r.blockedBy; b != nil {
		attrs = append(attrs, "blocked", b.Digest.String(), "blocked_servers", b.Servers, "blocked_ms", time.Since(b.Since).Milliseconds())
	}
	if v := r.level; v != nil && v.Binding {
		attrs = append(attrs, "admission_level", v.Level, "admission_share", v.Share, "admission_class", r.rankClass(), "admission_utilization", v.Utilization,
			"admission_backlog_ms", v.Backlog.Milliseconds(), "admission_sums_ms", v.SumsAge.Milliseconds())
	}
	if v := r.verdict; v != nil {
		attrs = append(attrs, "allowance_limit", int64(v.Limit), "allowance_used", int64(v.Used), "allowance_free", int64(v.Free),
			"allowance_unheard", int64(v.Unreported), "allowance_asked", int64(v.OthersDemand), "allowance_heard_ms", v.ReportAge.Milliseconds(),
			"allowance_drawn", v.ByChance, "allowance_share", v.ReachableShare, "allowance_opened", v.Restored,
			"allowance_class", v.Class.String(), "allowance_by_class", v.ByClass, "allowance_probability", v.Probability,
			"allowance_probability_without_classes", v.EvenProbability, "allowance_retry_ms", v.RetryAfter.Milliseconds())
	}
	if v := r.retryVerdict; v != nil {
		attrs = append(attrs, "retries_allowed", v.Limit, "retries_spent", v.Used, "retries_free", v.Free, "retries_unreported", v.Unreported,
			"retries_others_rate", v.OthersDemand, "retries_report_ms", v.ReportAge.Milliseconds(), "retries_drawn", v.ByChance, "retries_reach", v.ReachableShare, "retries_known", v.Restored)
	}
	if r.notRetried != "" {
		attrs = append(attrs, "not_retried", r.notRetried)
	}
	if refusal != nil {
		attrs = append(attrs, "retry_after_ms", refusal.RetryAfter.Milliseconds())
	}
	if err != nil {
		attrs = append(attrs, "reason", err.Error(), "parts", quarantine.FormatDigests(r.fingerprint.Parts))
		level = slog.LevelWarn
	}
	r.options.Logger.Log(context.WithoutCancel(ctx), level, "request ended", attrs...)
}
