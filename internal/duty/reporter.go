package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/plankridge/plankridge/internal/usage"
)

const (
	// reportTick is the time between two checks for windows that are due.
	reportTick = 200 * time.Millisecond
	// reportDelay is the time from a window's end to its report. It gives every peer time for
	// three reports.
	reportDelay = 1300 * time.Millisecond
	// silentPeerWaitFraction is the fraction of the deadline for which a report waits for
	// unreachable peers.
	silentPeerWaitFraction = 0.6
)

// Reporter sends the usage of each window to the cloud. Repeated reports of a window are
// identical.
type Reporter struct {
	Elector *Elector
	Cloud   Cloud
	Ledger  *usage.Ledger
	Peers   Peers
	// Exchange provides the counts of daemons that cannot be reached.
	Exchange *Exchange
	Logger   *slog.Logger
	// Deadline is the time from a window's end within which its report must arrive.
	Deadline time.Duration

	// nextWindow is the first window that this process has not reported yet.
	nextWindow int64
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(reportTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.step(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reporter) step(ctx context.Context, now time.Time) {
	if _, holds := r.Elector.Token(); !holds {
		r.nextWindow = 0
		return
	}
	if oldest := r.Ledger.WindowAt(now.Add(-r.Deadline)); r.nextWindow < oldest {
		r.nextWindow = oldest
	}
	for r.ready(r.nextWindow, now) {
		if end := r.Ledger.End(r.nextWindow); !r.Elector.mayBeReported(r.nextWindow, end) {
			// A missing report is better than two different ones.
			r.Logger.Warn("usage not reported: a report may be lost with the store's latest changes", "window", r.nextWindow)
			r.nextWindow++
			continue
		}
		if !r.send(ctx, r.nextWindow) {
			return
		}
		r.nextWindow++
	}
}

// ready reports whether the counts of a window are complete, or waiting longer would risk the
// deadline.
func (r *Reporter) ready(window int64, now time.Time) bool {
	age := now.Sub(r.Ledger.End(window))
	if age < reportDelay {
		return false
	}
	maxWait := time.Duration(silentPeerWaitFraction * float64(r.Deadline))
	return age > maxWait || r.Peers.AllReachable()
}

func (r *Reporter) send(ctx context.Context, window int64) bool {
	if _, recorded := r.Elector.recordedReport(window); !recorded && !r.Peers.AllReachable() {
		r.Exchange.Collect(ctx)
	}
	counts, decided := r.Elector.RecordReport(ctx, window, r.Ledger.Sum(window))
	if !decided {
		return false
	}
	token, holds := r.Elector.Token()
	if !holds {
		return false
	}
	err := r.Cloud.ReportUsage(ctx, token, window, counts)
	r.Logger.Info("usage reported", "window", window, "counts", counts, "fence", token.Fence, "error", errorText(err))
	if errors.Is(err, ErrDeclined) {
		r.Elector.FenceRejected(token)
	}
	return err == nil
}

// errorText returns the message of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
