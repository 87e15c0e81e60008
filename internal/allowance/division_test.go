package allowance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawMix draws the tokens that are requested in each class. Many classes are empty, as in deployments.
func drawMix(t *rapid.T) (mix byClass) {
	for c := range mix {
		if rapid.Bool().Draw(t, "present") {
			mix[c] = math.Pow(10, rapid.Float64Range(1, 6).Draw(t, "magnitude"))
		}
	}
	mix[rapid.IntRange(0, ClassCount-1).Draw(t, "class")] += 1000
	return mix
}

// TestDivisionKeepsTheShare guards against classes that together get more, or less, than what is free, and against
// classes that starve: each is served at least a quarter as often as all requests, and at least half as often as the
// requests of its rank and of similar sizes.
func TestDivisionKeepsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mix := drawMix(t)
		d, requests := newDivision(mix), requestsOf(&mix)
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		var p byClass
		admitted, first := 0.0, -1
		for c := range p {
			p[c] = d.probability(Class(c), share)
			admitted += mix[c] * p[c]
			if p[c] < 0 || p[c] > 1+1e-9 {
				t.Fatalf("class %d is admitted with probability %v", c, p[c])
			}
			if first < 0 && mix[c] > 0 {
				first = c
			}
		}
		if total := mix.sum(); math.Abs(admitted-share*total) > 1e-6*total {
			t.Fatalf("%v of %v are admitted, share %v", admitted, total, share)
		}
		meanOf := func(begin, end int) float64 {
			served, all := 0.0, 0.0
			for c := begin; c < end; c++ {
				served, all = served+requests[c]*p[c], all+requests[c]
			}
			return served / all
		}
		for c := range p {
			switch {
			case mix[c] == 0:
			case p[c] < 0.25*meanOf(0, ClassCount)-1e-9:
				t.Fatalf("class %d is served %v, all %v", c, p[c], meanOf(0, ClassCount))
			case p[c] > p[first]+1e-9:
				t.Fatalf("class %d is served more often (%v) than the most urgent class (%v)", c, p[c], p[first])
			}
		}
		for begin := 0; begin < ClassCount; {
			end := endOfRun(begin, &mix)
			for c := begin; c < end && mix[c] > 0; c++ {
				if p[c] < 0.5*meanOf(begin, end)-1e-9 || c > begin && p[c] > p[c-1]+1e-9 {
					t.Fatalf("class %d is served %v, those of similar sizes %v", c, p[c], p[begin:end])
				}
			}
			begin = end
		}
	})
}

// TestShareForAClass guards against a Retry-After at which a class is admitted less often than intended.
func TestShareForAClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mix := drawMix(t)
		d := newDivision(mix)
		class := Class(rapid.IntRange(0, ClassCount-1).Draw(t, "of"))
		wanted := rapid.Float64Range(0.05, 1).Draw(t, "wanted")
		if got := d.probability(class, d.shareFor(class, wanted)); mix[class] > 0 && got < wanted-1e-6 {
			t.Fatalf("class %d is admitted with probability %v, wanted %v", class, got, wanted)
		}
	})
}

func TestUrgentClassesAreServedFirst(t *testing.T) {
	c := qt.New(t)
	plain, short, long := ClassOf(2, 200), ClassOf(0, 2400), ClassOf(2, 12_000)
	var mix byClass
	mix[plain], mix[short], mix[long] = 16, 442, 542
	d := newDivision(mix)
	c.Check(d.probability(short, 0.25) > 0.4, qt.IsTrue, qt.Commentf("%v", d.probability(short, 0.25)))
	c.Check(d.probability(plain, 0.25), qt.Equals, d.probability(short, 0.25), qt.Commentf("few tokens beside those of the urgent class"))
	c.Check(d.probability(long, 0.25) < 0.15, qt.IsTrue, qt.Commentf("%v", d.probability(long, 0.25)))
	c.Check(d.probability(short, 0.75), qt.Equals, 1.0)
	c.Check(d.probability(long, 1) > 0.999, qt.IsTrue)
}

func TestClassOf(t *testing.T) {
	c := qt.New(t)
	c.Check(ClassOf(0, 100) < ClassOf(0, 5000), qt.IsTrue)
	c.Check(ClassOf(0, 1e9) < ClassOf(1, 1), qt.IsTrue)
	c.Check(ClassOf(2, 700), qt.Equals, ClassOf(9, 4000))
	c.Check(ClassOf(-1, 511).String(), qt.Equals, "rank 0, below 512 tokens")
	c.Check(ClassOf(7, 40_000).String(), qt.Equals, "rank 2+, from 32768 tokens")
	c.Check(noClass.String(), qt.Equals, "none")
	for class := range Class(ClassCount) {
		c.Check(classRequestTokens(class) > 0, qt.IsTrue)
		c.Check(ClassOf(class.rank(), classRequestTokens(class)), qt.Equals, class)
	}
}

// hotLimiter returns the limiter of one of 67 daemons whose peers request much more than is free, by class as given.
// asked is nil for peers of an earlier version.
func hotLimiter(random func() float64, asked []float64) (*Limiter, time.Time) {
	return limiterBesidePeers(random, asked, 95_000, 300_000)
}

// limiterBesidePeers returns such a limiter whose peers admit and refuse the given tokens per second. The allowance is
// 100,000 tokens per second.
func limiterBesidePeers(random func() float64, asked []float64, admitted, refusals float64) (*Limiter, time.Time) {
	l := NewLimiter(testTolerance, start, random)
	l.Restore(Snapshot{}, start)
	l.ApplyCatalog(testCatalog(100_000, 100_000), start)
	now := start.Add(time.Minute)
	spent, refused := 0.0, 0.0
	for i := range 40 {
		l.SetReachable(67, 67, now)
		counters := Counters{Spent: map[string]float64{"w": spent}, Refused: map[string]float64{"w": refused}}
		if asked != nil {
			counters.Asked = map[string][]float64{"w": scale(asked, spent+refused)}
		}
		l.ApplyReport(Report{
			VM: "leader", Incarnation: 1, Counters: counters, Baseline: i == 0, Age: 400 * time.Millisecond, Interval: 300 * time.Millisecond,
		}, now)
		now = now.Add(300 * time.Millisecond)
		spent, refused = spent+admitted*0.3, refused+refusals*0.3
	}
	return l, now
}

func scale(parts []float64, total float64) []float64 {
	scaled := make([]float64, len(parts))
	for i, part := range parts {
		scaled[i] = part * total
	}
	return scaled
}

// usualParts are parts of plain calls, short streams and long streams by class.
func usualParts() []float64 {
	parts := make([]float64, ClassCount)
	parts[ClassOf(2, 200)], parts[ClassOf(0, 2400)], parts[ClassOf(2, 12_000)] = 0.016, 0.442, 0.542
	return parts
}

// drawRequest draws a request of a plain call, a short stream or a long stream.
func drawRequest(r *rand.Rand) (tokens float64, class Class) {
	rank, tokens := 2, 200.0
	switch x := r.Float64(); {
	case x < 0.59:
		rank, tokens = 0, 600+logNormal(r, 1800, 1.1, 6900)
	case x < 0.74:
		tokens = 5800 + logNormal(r, 6610, 1.2, 54_600)
	}
	return tokens, ClassOf(rank, tokens)
}

// TestOneClassDecidesAsBefore guards against another decision for a limiter that sees one class only, that hears of
// the classes of a part of the requests, or whose workspace is within its allowance.
func TestOneClassDecidesAsBefore(t *testing.T) {
	oneClass := make([]float64, ClassCount)
	oneClass[ClassOf(0, 2400)] = 1
	halfKnown := scale(usualParts(), 0.5)
	for name, test := range map[string]struct {
		asked              []float64
		admitted, refusals float64
	}{
		"one class":                  {oneClass, 95_000, 300_000},
		"earlier version":            {nil, 95_000, 300_000},
		"half of an earlier version": {halfKnown, 95_000, 300_000},
		"within the allowance":       {usualParts(), 50_000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			draws, otherDraws := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
			l, now := limiterBesidePeers(draws.Float64, test.asked, test.admitted, test.refusals)
			other, _ := limiterBesidePeers(otherDraws.Float64, test.asked, test.admitted, test.refusals)
			requests := rand.New(rand.NewPCG(2, 2))
			admitted := 0
			for range 300 {
				tokens, class := drawRequest(requests)
				if name == "one class" {
					class = ClassOf(0, 2400)
				}
				if test.refusals == 0 {
					tokens /= 20
				}
				got, want := l.AdmitClass("w", tokens, class, now), other.Admit("w", tokens, now)
				c.Assert(got.Admitted, qt.Equals, want.Admitted)
				c.Assert(got.RetryAfter, qt.Equals, want.RetryAfter, qt.Commentf("%+v", got))
				c.Assert(got.ByClass, qt.IsFalse)
				if got.Admitted {
					admitted++
				}
				now = now.Add(time.Millisecond)
			}
			c.Check(admitted > 0, qt.IsTrue)
		})
	}
}

// TestClassesAdmitNoMoreInExpectation guards against admitting more tokens in expectation than without classes, for
// reported classes that have nothing to do with the requests.
func TestClassesAdmitNoMoreInExpectation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mix := drawMix(t)
		seed := rapid.Uint64().Draw(t, "seed")
		draws := rand.New(rand.NewPCG(seed, 1))
		l, now := hotLimiter(draws.Float64, scale(mix[:], 1/mix.sum()))
		requests := rand.New(rand.NewPCG(seed, 2))
		balance, decided := 0.0, 0
		for range 200 {
			tokens, class := drawRequest(requests)
			verdict := l.AdmitClass("w", tokens, class, now)
			balance += tokens * (verdict.EvenProbability - verdict.Probability)
			if verdict.ByClass {
				decided++
			}
			if balance < -1e-6 {
				t.Fatalf("%v tokens more than without classes", -balance)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
		}
		present := 0
		for _, tokens := range mix {
			if tokens > 0 {
				present++
			}
		}
		if decided == 0 && present > 1 {
			t.Fatalf("no decision by class")
		}
	})
}

// TestClassesFallBackToOne guards against dividing by sums that are old, or those of a minority of the daemons.
func TestClassesFallBackToOne(t *testing.T) {
	c := qt.New(t)
	byClass := func(set func(l *Limiter, now time.Time) time.Time) bool {
		l, now := hotLimiter(func() float64 { return 0.9 }, usualParts())
		now = set(l, now)
		return l.AdmitClass("w", 2400, ClassOf(0, 2400), now).ByClass
	}
	c.Check(byClass(func(_ *Limiter, now time.Time) time.Time { return now }), qt.IsTrue)
	c.Check(byClass(func(_ *Limiter, now time.Time) time.Time { return now.Add(2 * time.Second) }), qt.IsFalse)
	c.Check(byClass(func(l *Limiter, now time.Time) time.Time {
		l.SetReachable(30, 67, now)
		return now
	}), qt.IsFalse)
	c.Check(byClass(func(l *Limiter, now time.Time) time.Time {
		l.ApplyReport(Report{VM: "other", Incarnation: 1, Baseline: true}, now)
		return now
	}), qt.IsFalse, qt.Commentf("another source"))
}

// TestClassesAreReportedWhileScarce guards against reports that grow with each workspace within its allowance, and
// against classes that are not counted when more is requested than is free.
func TestClassesAreReportedWhileScarce(t *testing.T) {
	c := qt.New(t)
	l, now := limiterBesidePeers(func() float64 { return 0.9 }, nil, 50_000, 0)
	c.Assert(l.AdmitClass("w", 200, ClassOf(2, 200), now).Admitted, qt.IsTrue)
	c.Check(l.OwnCounters().Asked, qt.HasLen, 0)
	l, now = hotLimiter(func() float64 { return 0.9 }, nil)
	l.AdmitClass("w", 12_000, ClassOf(2, 12_000), now)
	l.AdmitClass("w", 200, ClassOf(2, 200), now)
	asked := l.OwnCounters().Asked["w"]
	c.Check(asked[ClassOf(2, 200)], qt.Equals, 200.0)
	c.Check(asked[ClassOf(2, 12_000)], qt.Equals, 12_000.0)
	report := Report{VM: "leader", Incarnation: 1, Counters: l.lastCounters[reporter{"leader", 1}]}
	l.ApplyReport(report, now.Add(29*time.Second))
	c.Check(l.OwnCounters().Asked, qt.HasLen, 1)
	l.ApplyReport(report, now.Add(31*time.Second))
	c.Check(l.OwnCounters().Asked, qt.HasLen, 0)
}

// TestRetryAfterOfAClass guards against inviting callers of a class that will be refused when they come back.
func TestRetryAfterOfAClass(t *testing.T) {
	c := qt.New(t)
	parts := usualParts()
	l, now := hotLimiter(func() float64 { return 0.999 }, parts)
	long := l.AdmitClass("w", 12_000, ClassOf(2, 12_000), now)
	c.Assert(long.Admitted, qt.IsFalse)
	c.Check(long.RetryAfter, qt.Equals, time.Duration(0), qt.Commentf("demand stays above what leaves the window"))
	// A burst that leaves the window within 3 s makes room for short streams, and not for long ones.
	l.accounts["w"].used = newWindow(l.tolerance.Window, now)
	l.accounts["w"].used.add(900_000, now.Add(-6*time.Second))
	l.accounts["w"].used.add(100_000, now)
	short := l.AdmitClass("w", 2400, ClassOf(0, 2400), now)
	c.Assert(short.Admitted, qt.IsFalse)
	c.Check(short.RetryAfter > 0 && short.RetryAfter < 6*time.Second, qt.IsTrue, qt.Commentf("%v", short.RetryAfter))
}

// TestTimeToFreeWithin guards against forecasts that count what others are owed, or what leaves later than within the
// span.
func TestTimeToFreeWithin(t *testing.T) {
	c := qt.New(t)
	w := newWindow(8*time.Second, start)
	now := start.Add(8 * time.Second)
	w.advance(now)
	for _, age := range []time.Duration{7, 5, 4} {
		w.add(100, now.Add(-age*time.Second))
	}
	check := func(tokens, debt float64, from, to time.Duration) {
		wait, found := w.timeToFreeWithin(tokens, debt, 2*time.Second, now)
		c.Check(found && wait >= from && wait <= to, qt.IsTrue, qt.Commentf("%v with debt %v: %v, %v", tokens, debt, wait, found))
	}
	check(100, 0, 0, 200*time.Millisecond)
	check(50, 50, 0, 200*time.Millisecond)
	check(100, 50, time.Second, 2200*time.Millisecond)
	check(200, 0, 2*time.Second, 3200*time.Millisecond)
	check(200, 100, 2*time.Second, 3200*time.Millisecond)
	_, found := w.timeToFreeWithin(201, 0, 2*time.Second, now)
	c.Check(found, qt.IsFalse)
	_, found = w.timeToFreeWithin(1, 300, 2*time.Second, now)
	c.Check(found, qt.IsFalse)
}

func BenchmarkAdmitClass(b *testing.B) {
	for name, class := range map[string]Class{"one class": noClass, "by class": ClassOf(0, 2400)} {
		b.Run(name, func(b *testing.B) {
			l, now := hotLimiter(func() float64 { return 0.999 }, usualParts())
			for b.Loop() {
				l.admit("w", 2400, class, now)
			}
		})
	}
}

func BenchmarkDivision(b *testing.B) {
	mix := byClass{}
	for c := range mix {
		mix[c] = float64(c + 1)
	}
	for b.Loop() {
		newDivision(mix)
	}
}
