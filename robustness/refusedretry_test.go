package robustness

import (
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// withoutRetries empties the retry budget and sets short time limits of attempts.
func withoutRetries(settings *config.Settings) {
	settings.Limits.RetryRatio, settings.Limits.ExtraRetries = 0, 0
	settings.Limits.AttemptIdleTimeout = config.Duration(2 * time.Second)
	settings.Limits.PlainAttemptTimeout = config.Duration(2 * time.Second)
}

// runAdjusted is run with changed settings.
func runAdjusted(t *testing.T, adjust func(*config.Settings), test func(b *bed)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		test(startWith(t, dev.Options{
			Example: "ndiaye", Logger: slog.New(slog.NewTextHandler(logOutput(), nil)), ListLag: time.Second, Adjust: adjust,
			OnViolation: func(err error) { t.Errorf("invariant violated: %v", err) },
		}))
	})
}

// TestSilentEngineKeepsItsStreamWithoutARetry guards against streams of the own interface that are taken from a
// silent engine, which goes on later, and then wait in vain for the retry budget.
func TestSilentEngineKeepsItsStreamWithoutARetry(t *testing.T) {
	runAdjusted(t, withoutRetries, func(b *bed) {
		want := b.whole(chatBody)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		r.tokens(5)
		b.pauseEngines(true)
		time.Sleep(3 * time.Second)
		b.pauseEngines(false)
		begun := time.Now()
		r.tokens(-1)
		b.Check(time.Since(begun) < 10*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		b.Check(r.done, qt.IsTrue)
		b.Check(r.text, qt.Equals, want)
	})
}

// TestSlowPlainAnswerIsKeptWithoutARetry guards against the same for idempotent calls of plain services.
func TestSlowPlainAnswerIsKeptWithoutARetry(t *testing.T) {
	runAdjusted(t, withoutRetries, func(b *bed) {
		for _, service := range b.d.StandIns.PlainServers() {
			service.Faults.Set(faults.State{Delay: 3 * time.Second})
		}
		begun := time.Now()
		resp, _ := b.call(http.MethodPost, balancerURL+"/services/app-carriere/weighings", "pesee", `{}`)
		b.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		b.Check(time.Since(begun) < 10*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	})
}

// TestStreamOfTheLastServerOfItsVersionStays guards against streams of the own interface that are taken from a
// server before it is reclaimed, and then fail because no other server has its version.
func TestStreamOfTheLastServerOfItsVersionStays(t *testing.T) {
	runAdjusted(t, nil, func(b *bed) {
		b.d.StandIns.Fleet.SetVersions(func(vm vmlist.VM) string { return "version of " + vm.ID })
		time.Sleep(3 * time.Second)
		begun := time.Now()
		want := b.whole(chatBody)
		whole := time.Since(begun)
		r, cancel := b.stream(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", chatBody)
		defer cancel()
		begun = time.Now()
		r.tokens(5)
		source := b.runningServer()
		// The stream ends within the time in which running streams are taken from the server.
		b.d.StandIns.Fleet.Reclaim(source, whole-time.Since(begun)+500*time.Millisecond)
		r.tokens(-1)
		b.Check(r.done, qt.IsTrue)
		b.Check(r.text, qt.Equals, want)
	})
}

// runningServer returns the ID of the server that runs the only request.
func (b *bed) runningServer() string {
	var ids []string
	for id, engine := range b.d.StandIns.EnginesByVM() {
		if engine.Running() > 0 {
			ids = append(ids, id)
		}
	}
	b.Assert(ids, qt.HasLen, 1)
	return ids[0]
}
