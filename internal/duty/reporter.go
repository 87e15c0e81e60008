package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/plankridge/plankridge/internal/usage"
)

const (
	// reportTick is how often the reporter looks for windows that are due.
	reportTick = 200 * time.Millisecond
	// reportDelay is how long after its end a window is reported: three reports
	// of every peer.
	reportDelay = 1300 * time.Millisecond
	// silentPeerWaitFraction is the part of the time until a report is due for which silent
	// peers are waited for.
	silentPeerWaitFraction = 0.6
)

// Reporter sends the usage of each window once, equal on repeat.
type Reporter struct {
	Elector *Elector
	Cloud   Cloud
	Ledger  *usage.Ledger
	Peers   Peers
	// Exchange brings the counts of daemons that are not heard.
	Exchange *Exchange
	Logger   *slog.Logger
	// Deadline is how long after a window's end its report must be there.
	Deadline time.Duration

	// nextWindow is the first window that this process has not yet reported.
	nextWindow int64
}

// Run reports until the context ends.
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
		if !r.send(ctx, r.nextWindow) {
			return
		}
		r.nextWindow++
	}
}

// ready reports whether a window's counts are complete, or are as complete as
// they will be in time.
func (r *Reporter) ready(window int64, now time.Time) bool {
	age := now.Sub(r.Ledger.End(window))
	if age < reportDelay {
		return false
	}
	late := time.Duration(silentPeerWaitFraction * float64(r.Deadline))
	return age > late || r.Peers.AllReachable()
}

func (r *Reporter) send(ctx context.Context, window int64) bool {
	if _, standing := r.Elector.recordedReport(window); !standing && !r.Peers.AllReachable() {
		r.Exchange.Collect(ctx)
	}
	counts, decided := r.Elector.RecordReport(ctx, window, r.Ledger.Sum(window))
	if !decided {
		return false
	}
	right, holds := r.Elector.Token()
	if !holds {
		return false
	}
	err := r.Cloud.ReportUsage(ctx, right, window, counts)
	r.Logger.Info("usage reported", "window", window, "counts", counts, "fence", right.Fence, "error", errorText(err))
	if errors.Is(err, ErrDeclined) {
		r.Elector.FenceRejected(right)
	}
	return err == nil
}

// errorText returns an error's message, or nothing.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
