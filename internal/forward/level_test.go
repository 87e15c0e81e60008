package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/plankridge/plankridge/internal/admission"
	"github.com/plankridge/plankridge/internal/backend"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/upstream"
)

// fixedLevel is an Admission that gives one verdict and records the requests.
type fixedLevel struct {
	verdict  admission.Verdict
	unranked bool
	requests []admission.Request
}

func (l *fixedLevel) Decide(_ string, r admission.Request) (admission.Verdict, bool) {
	l.requests = append(l.requests, r)
	return l.verdict, !l.unranked
}

// countingBackend counts the attempts and sends none.
type countingBackend struct {
	Backend
	sent int
}

func (b *countingBackend) Send(context.Context, Attempt) (*Answer, error) {
	b.sent++
	return nil, upstream.ErrNotSent
}

type noBudget struct{ Budget }

func (noBudget) CountRequest(string) {}

// recordedDemand records the origins of demand.
type recordedDemand struct{ from []demand.Origin }

func (d *recordedDemand) RecordRequest(_ string, from demand.Origin, _ demand.Load, _ time.Time) {
	d.from = append(d.from, from)
}

// levelBed is a forwarder whose calls go to a service with one server.
type levelBed struct {
	level   *fixedLevel
	backend *countingBackend
	demand  *recordedDemand
	*Forwarder
}

func newLevelBed(level *fixedLevel) *levelBed {
	b := &levelBed{level: level, backend: &countingBackend{}, demand: &recordedDemand{}}
	view := backend.NewView()
	view.SetTraits(map[string]backend.Traits{"s": {CacheTokens: 100_000, Ranked: true}})
	view.Put(backend.Entry{ID: "a", Service: "s", Slots: 8}, time.Now())
	b.Forwarder = New(Options{
		View: view, Backend: b.backend, Budget: noBudget{}, Demand: b.demand, Admission: level, Logger: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Freshness: func() (time.Duration, bool) { return 0, false },
	})
	return b
}

func (b *levelBed) forward(change func(*Call)) *Refusal {
	call := &Call{
		ID: "0123456789abcdef", Service: "s", Workspace: "w", Rank: 2, Catalog: &catalog.Catalog{}, Prompt: &Prompt{Tokens: 900, MaxOutput: 50}, Arrived: time.Now(),
		Route: &catalog.Route{Name: "long", Kind: catalog.EventStream, LatencyTarget: 2 * time.Second, Timeout: 15 * time.Second, MaxAttempts: 1},
	}
	change(call)
	var refusal *Refusal
	_ = errors.As(b.Forward(context.Background(), call, nil), &refusal)
	return refusal
}

// TestLevelRefusesBeforeAnAttempt guards against calls that run although the caller is told that they
// have not, against a Retry-After that the level has not given, and against demand that falls with
// each refusal.
func TestLevelRefusesBeforeAnAttempt(t *testing.T) {
	c := qt.New(t)
	b := newLevelBed(&fixedLevel{verdict: admission.Verdict{Binding: true, Share: 0.3}})
	refusal := b.forward(func(*Call) {})
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refusal.Reason, qt.Equals, reasonAboveLevel)
	c.Check(refusal.RetryAfter, qt.Equals, time.Duration(0))
	c.Check(b.backend.sent, qt.Equals, 0)
	c.Check(b.demand.from, qt.DeepEquals, []demand.Origin{{Class: 2, Workspace: "w"}})
	request := b.level.requests[0]
	c.Check(request.MaxRetryWait > 4*time.Second && request.MaxRetryWait <= 5*time.Second, qt.IsTrue, qt.Commentf("a third of the remaining time: %v", request.MaxRetryWait))
	c.Check(request.Draw >= 0 && request.Draw < 1, qt.IsTrue)
	b.level.verdict.RetryAfter = 700 * time.Millisecond
	c.Check(b.forward(func(*Call) {}).RetryAfter, qt.Equals, 700*time.Millisecond)
}

// TestCallsThatTheLevelDoesNotRefuse guards against the refusal of callers that resume a stream, of
// calls to plain services, and of calls to services with one rank.
func TestCallsThatTheLevelDoesNotRefuse(t *testing.T) {
	for name, change := range map[string]func(*Call){
		"resumed": func(call *Call) { call.LastEventID = "7" },
		"plain":   func(call *Call) { call.Prompt = nil },
	} {
		t.Run(name, func(t *testing.T) {
			b := newLevelBed(&fixedLevel{verdict: admission.Verdict{Binding: true}})
			b.forward(change)
			qt.Check(t, b.backend.sent > 0, qt.IsTrue)
		})
	}
	b := newLevelBed(&fixedLevel{verdict: admission.Verdict{}, unranked: true})
	b.forward(func(*Call) {})
	qt.Check(t, b.backend.sent > 0, qt.IsTrue)
}
