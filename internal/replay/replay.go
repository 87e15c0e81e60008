package replay

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/network"
	"github.com/plankridge/plankridge/internal/request"
)

// Options choose how a trace is sent.
type Options struct {
	// URL is where callers send requests.
	URL string
	// Speed divides the recorded times; one sends as recorded.
	Speed float64
	// FleetPerHour is the price of all backend VMs per hour; zero leaves the
	// cost out.
	FleetPerHour float64
	// Transport carries the requests; nil means TCP.
	Transport http.RoundTripper
	// OnResult, when not nil, is called with what came of each request.
	OnResult func(*Entry, Result)
}

// Result is what came of one request.
type Result struct {
	Outcome request.Outcome
	// Cut is true when the answer ended before its end, or never came.
	Cut bool
	// Known is true when the caller has learnt the request's ID.
	Known  bool
	SHA256 string
	Detail string
}

// Summary is the result of a replay.
type Summary struct {
	Trace    string                  `json:"trace"`
	Sent     int                     `json:"sent"`
	Seconds  float64                 `json:"seconds"`
	Outcomes map[request.Outcome]int `json:"outcomes"`
	// Lost counts requests that were to succeed and got no whole answer.
	Lost int `json:"lost"`
	// Wrong counts answers that are not the stated ones.
	Wrong int `json:"wrong"`
	// Duplicated counts references that ran more often than stated.
	Duplicated int `json:"duplicated"`
	// Unexpected counts requests whose outcome is not the stated one.
	Unexpected int `json:"unexpected"`
	// Resumed counts answers that the caller had to ask for again, because a
	// daemon sent it away or its connection broke.
	Resumed       int         `json:"resumed"`
	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`
	Answer        Percentiles `json:"answer_ms"`
	// WithinTarget is the share of awaited requests that met the targets.
	WithinTarget     float64  `json:"within_target"`
	TokensReused     int      `json:"prompt_tokens_reused"`
	TokensRecomputed int      `json:"prompt_tokens_recomputed"`
	Cost             *float64 `json:"cost,omitempty"`
	// CostPerThousand is the cost of a thousand requests within target.
	CostPerThousand *float64  `json:"cost_per_thousand_within_target,omitempty"`
	Failures        []Failure `json:"failures,omitempty"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Failure is a request whose stated outcome does not hold.
type Failure struct {
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// maxFailures bounds the failures that a summary lists.
const maxFailures = 20

// Holds reports whether every stated outcome holds.
func (s *Summary) Holds() bool {
	return s.Lost == 0 && s.Wrong == 0 && s.Duplicated == 0 && s.Unexpected == 0
}

// idleTimeout is how long a connection without requests is kept. It is below
// the time for which a daemon that shuts down still accepts requests.
const idleTimeout = time.Second

// Run sends a trace and returns its summary.
func Run(ctx context.Context, trace *Trace, options Options) (*Summary, error) {
	client := &http.Client{Transport: options.Transport}
	if options.Transport == nil {
		transport := network.Transport(network.TCP{}, false)
		transport.IdleConnTimeout = idleTimeout
		client.Transport = transport
	}
	defer client.CloseIdleConnections()
	s := &sender{url: options.URL, client: client, trace: trace}
	tally := newTally(trace)
	tally.onResult = options.OnResult
	begin := time.Now()
	var sending sync.WaitGroup
	for i := range trace.Entries {
		entry := &trace.Entries[i]
		due := begin.Add(time.Duration(entry.At / options.Speed * float64(time.Second)))
		if err := waitUntil(ctx, due); err != nil {
			return nil, err
		}
		sending.Go(func() { tally.add(entry, s.send(ctx, entry, due)) })
	}
	sending.Wait()
	if err := tally.settle(ctx, s); err != nil {
		return nil, err
	}
	return tally.summary(time.Since(begin), options.FleetPerHour), nil
}

func waitUntil(ctx context.Context, due time.Time) error {
	select {
	case <-time.After(time.Until(due)):
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "replay")
	}
}

// Ranges of the histograms in microseconds.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// tally adds up results.
type tally struct {
	trace    *Trace
	onResult func(*Entry, Result)

	mu         sync.Mutex
	sum        Summary
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	answer     *hdrhistogram.Histogram
	awaited    int
	inTarget   int
}

func newTally(trace *Trace) *tally {
	return &tally{
		trace:      trace,
		sum:        Summary{Trace: trace.Header.Name, Outcomes: map[request.Outcome]int{}},
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		between:    hdrhistogram.New(1, histogramMax, histogramDigits),
		answer:     hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (t *tally) add(entry *Entry, r *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Sent++
	if r.resumed {
		t.sum.Resumed++
	}
	if t.onResult != nil {
		t.onResult(entry, Result{Outcome: r.outcome, Cut: r.cut, Known: r.id != "", SHA256: r.sum, Detail: r.detail})
	}
	if r.outcome != "" {
		t.sum.Outcomes[r.outcome]++
	}
	t.check(entry, r)
	t.measure(entry, r)
}

// check compares a result with the stated outcome.
func (t *tally) check(entry *Entry, r *result) {
	switch {
	case r.cut:
		t.sum.Lost++
	case r.outcome != entry.Expect.Outcome:
		t.sum.Unexpected++
	case entry.Expect.SHA256 != "" && r.sum != entry.Expect.SHA256:
		t.sum.Wrong++
		r.detail = "answer differs from the stated one"
	default:
		return
	}
	t.failed(entry.ID, string(r.outcome)+" "+r.detail)
}

func (t *tally) failed(id, detail string) {
	if len(t.sum.Failures) < maxFailures {
		t.sum.Failures = append(t.sum.Failures, Failure{ID: id, Detail: detail})
	}
}

func (t *tally) measure(entry *Entry, r *result) {
	t.sum.TokensReused += r.cachedTokens
	t.sum.TokensRecomputed += r.promptTokens - r.cachedTokens
	record(t.answer, r.took)
	if r.firstToken > 0 {
		record(t.firstToken, r.firstToken)
	}
	for _, gap := range r.between {
		record(t.between, gap)
	}
	if entry.Class == "deferrable" || entry.Async {
		return
	}
	t.awaited++
	if t.withinTarget(entry, r) {
		t.inTarget++
	}
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(1, min(histogramMax, value.Microseconds())))
}

func (t *tally) withinTarget(entry *Entry, r *result) bool {
	if r.outcome != request.OutcomeOK {
		return false
	}
	targets := t.trace.Header.Targets
	if entry.Prompt == nil || !entry.Stream {
		return targets.Answer == 0 || r.took.Seconds() <= targets.Answer || entry.Prompt != nil
	}
	var total time.Duration
	for _, gap := range r.between {
		total += gap
	}
	mean := total.Seconds() / float64(max(1, len(r.between)))
	return r.firstToken.Seconds() <= targets.FirstToken && mean <= targets.BetweenTokens
}

// settle reads the ledger and counts runs that are not the stated ones.
func (t *tally) settle(ctx context.Context, s *sender) error {
	ledger := t.trace.Header.Ledger
	if ledger == nil {
		return nil
	}
	req, err := s.authorized(ctx, ledger.Workspace, http.MethodGet, "/services/"+ledger.Service+ledger.Path, nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "read ledger")
	}
	defer func() { _ = resp.Body.Close() }()
	var runs map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil || resp.StatusCode != http.StatusOK {
		return eris.Errorf("read ledger: status %d, %v", resp.StatusCode, err)
	}
	for i := range t.trace.Entries {
		t.checkRuns(&t.trace.Entries[i], runs)
	}
	return nil
}

func (t *tally) checkRuns(entry *Entry, runs map[string]int) {
	if entry.Expect.Runs == 0 {
		return
	}
	switch got := runs[entry.Reference]; {
	case got > entry.Expect.Runs:
		t.sum.Duplicated++
		t.failed(entry.ID, "ran more often than stated")
	case got < entry.Expect.Runs:
		t.sum.Lost++
		t.failed(entry.ID, "has not run")
	}
}

func (t *tally) summary(took time.Duration, fleetPerHour float64) *Summary {
	t.sum.Seconds = took.Seconds()
	t.sum.FirstToken = percentiles(t.firstToken)
	t.sum.BetweenTokens = percentiles(t.between)
	t.sum.Answer = percentiles(t.answer)
	if t.awaited > 0 {
		t.sum.WithinTarget = float64(t.inTarget) / float64(t.awaited)
	}
	if fleetPerHour > 0 {
		cost := fleetPerHour * took.Hours()
		t.sum.Cost = &cost
		if t.inTarget > 0 {
			perThousand := cost / float64(t.inTarget) * 1000
			t.sum.CostPerThousand = &perThousand
		}
	}
	return &t.sum
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const perMillisecond = 1000.0
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMillisecond }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}
