package advice

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func adviceWithLimit(rate float64) Advice { return Advice{Limit: &rate} }

func TestParseLimit(t *testing.T) {
	for text, want := range map[string]float64{"1.2": 1.2, " 4 ": 4, "0": 0, "1e2": 100} {
		rate, err := ParseLimit(text)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, rate, qt.Equals, want)
	}
	for _, text := range []string{"", "many", "-1", "NaN", "Inf", "-Inf", "1,5", "1 2"} {
		_, err := ParseLimit(text)
		qt.Check(t, err, qt.ErrorMatches, `limit ".*" is not a valid number of requests per second`)
	}
}

func TestLatestResponseSetsTheLimit(t *testing.T) {
	c := qt.New(t)
	var l Limit
	l = l.Observe(Advice{}, at(0), at(80))
	c.Check(l.Limited, qt.IsFalse)
	l = l.Observe(adviceWithLimit(2), at(100), at(180))
	c.Check(l, qt.Equals, Limit{Rate: 2, Limited: true, ObservedAt: at(180)})
	l = l.Observe(adviceWithLimit(1), at(150), at(230))
	c.Check(l.Rate, qt.Equals, 1.0)
	l = l.Observe(Advice{}, at(240), at(320))
	c.Check(l.Limited, qt.IsFalse)
}

func TestOlderResponseDoesNotEndLimit(t *testing.T) {
	c := qt.New(t)
	l := Limit{}.Observe(adviceWithLimit(2), at(100), at(180))
	c.Check(l.Observe(Advice{}, at(179), at(400)).Limited, qt.IsTrue)
	c.Check(l.Observe(adviceWithLimit(5), at(50), at(170)).Rate, qt.Equals, 2.0)
}

func TestInvalidLimitChangesNothing(t *testing.T) {
	c := qt.New(t)
	_, err := ParseLimit("many")
	invalid := Advice{LimitError: err}
	c.Check(Limit{}.Observe(invalid, at(0), at(10)), qt.Equals, Limit{})
	l := Limit{}.Observe(adviceWithLimit(2), at(100), at(180))
	c.Check(l.Observe(invalid, at(200), at(280)), qt.Equals, l)
}

func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "1e9": maxRetryAfter} {
		retryAfter, err := ParseRetryAfter(text)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, retryAfter, qt.Equals, want)
	}
	for _, text := range []string{"", "soon", "-1", "NaN", "Inf"} {
		_, err := ParseRetryAfter(text)
		qt.Check(t, err, qt.ErrorMatches, `Retry-After ".*" is not a valid number of seconds`)
	}
}

func TestFromHeader(t *testing.T) {
	c := qt.New(t)
	header := http.Header{}
	c.Check(FromHeader(header, true), qt.Equals, Advice{})
	header.Set("Plankridge-Leaving", "1")
	header.Set("Retry-After", "3")
	c.Check(FromHeader(header, true), qt.Equals, Advice{Leaving: true, RetryAfter: 3 * time.Second})
	c.Check(FromHeader(header, false).RetryAfter, qt.Equals, time.Duration(0), qt.Commentf("the service ran the request"))
	header.Set("Plankridge-Limit", "many")
	c.Check(FromHeader(header, false).LimitError, qt.IsNotNil)
	header.Set("Plankridge-Limit", "2.5")
	c.Check(*FromHeader(header, false).Limit, qt.Equals, 2.5)
}

func TestBrittleServers(t *testing.T) {
	c := qt.New(t)
	names := HeaderNames{Limit: "Limit", Leaving: "Leaving", Brittle: "Brittle"}
	for text, want := range map[string]bool{"12": true, "0": true, "": false, "many": false, "-1": false, "NaN": false} {
		header := http.Header{}
		if text != "" {
			header.Set("Brittle", text)
		}
		a := Parse(header, names, true)
		c.Check(a.Brittle, qt.Equals, want, qt.Commentf("%q", text))
		c.Check(a.BrittleError != nil, qt.Equals, text != "" && !want, qt.Commentf("%q", text))
		c.Check(a.Declined, qt.Equals, want)
	}
}

func TestLowerOfTwoEstimatesMadeTogetherIsKept(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	low := Limit{Rate: 3, Limited: true, Estimated: true, ObservedAt: at}
	high := Limit{Rate: 5, Limited: true, Estimated: true, ObservedAt: at.Add(300 * time.Millisecond)}
	c.Check(low.Merge(high), qt.Equals, low)
	c.Check(high.Merge(low), qt.Equals, low)
	high.ObservedAt = at.Add(2 * time.Second)
	c.Check(low.Merge(high), qt.Equals, high)
	stated := Limit{Rate: 9, Limited: true, ObservedAt: at.Add(time.Millisecond)}
	c.Check(low.Merge(stated), qt.Equals, stated)
}
