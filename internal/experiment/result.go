package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// spanLength is the length of the spans over which worth is shown.
const spanLength = 2 * time.Second

// Result is what came of a play.
type Result struct {
	Policy, Sizing string
	// Owed is the worth of all requests, Earned that of those answered.
	Owed, Earned                         float64
	Asked, OnTime, Late, Refused, Failed int
	// Read are prompt tokens that engines read, ReadAgain those of shared parts
	// that some engine had read lately, Copied those copied between engines.
	Read, ReadAgain, Copied int
	// ServerSeconds are seconds of engines times their zone's price.
	ServerSeconds float64
	// Spans are the shares of the worth owed that were earned, by time of arrival.
	Spans []Span

	day    *Day
	firsts *hdrhistogram.Histogram
}

// Span is a part of the day.
type Span struct{ Owed, Earned float64 }

const (
	// longestFirst bounds the times to first events that are told apart, in
	// milliseconds, and digits is their precision.
	longestFirst = 60_000
	digits       = 3
)

func newResult(day *Day, policy Policy, sizing Sizing) *Result {
	spans := max(1, int((day.Length.Std()+spanLength-1)/spanLength))
	return &Result{
		Policy: policy.Name, Sizing: sizing.Name, day: day, Spans: make([]Span, spans),
		firsts: hdrhistogram.New(1, longestFirst, digits),
	}
}

func (r *Result) span(q *request) *Span {
	return &r.Spans[min(len(r.Spans)-1, int(q.arrived.Sub(origin)/spanLength))]
}

func (r *Result) ask(q *request) {
	r.Asked++
	r.Owed += q.kind.Worth
	r.span(q).Owed += q.kind.Worth
}

func (r *Result) firstEvent(q *request, at time.Time) {
	// The histogram refuses values above its bound only.
	_ = r.firsts.RecordValue(min(longestFirst, at.Sub(q.arrived).Milliseconds()))
	q.late = q.late || at.Sub(q.arrived) > q.kind.Target.Std()
}

func (r *Result) served(q *request) {
	worth := q.kind.Worth
	if q.late {
		worth = q.kind.Late
		r.Late++
	} else {
		r.OnTime++
	}
	r.Earned += worth
	r.span(q).Earned += worth
}

// FirstMS returns a quantile of the time to the first event, in milliseconds.
func (r *Result) FirstMS(quantile float64) int64 { return r.firsts.ValueAtQuantile(quantile) }

// thousand is the unit in which tokens are priced.
const thousand = 1000

// Price is what is taken off, in units of worth.
func (r *Result) Price() float64 {
	p := r.day.Prices
	return p.ServerSecond*r.ServerSeconds + p.ReadAgain*float64(r.ReadAgain)/thousand + p.Copied*float64(r.Copied)/thousand
}

// worstWeight is the weight of the two worst spans in Net; the whole day has the
// rest. The users' sheets weigh 0.28 so, and split the rest further, by zone and
// by kind of request.
const worstWeight = 0.28

// Net is what was earned, the two worst spans weighed extra, less the prices, as
// a share of what was owed.
func (r *Result) Net() float64 {
	if r.Owed == 0 {
		return 0
	}
	return worstWeight*r.WorstSpans() + (1-worstWeight)*r.Share() - r.Price()/r.Owed
}

// Share is what was earned as a share of what was owed.
func (r *Result) Share() float64 {
	if r.Owed == 0 {
		return 0
	}
	return r.Earned / r.Owed
}

// Shares are the spans' shares; a span without requests repeats the one before.
func (r *Result) Shares() []float64 {
	shares := make([]float64, 0, len(r.Spans))
	last := 1.0
	for _, s := range r.Spans {
		if s.Owed > 0 {
			last = s.Earned / s.Owed
		}
		shares = append(shares, last)
	}
	return shares
}

// WorstSpans is the mean share of the two worst spans.
func (r *Result) WorstSpans() float64 {
	shares := slices.Sorted(slices.Values(r.Shares()))
	if len(shares) < 2 {
		return r.Share()
	}
	return (shares[0] + shares[1]) / 2
}
