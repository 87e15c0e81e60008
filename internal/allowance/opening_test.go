package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startsTogether are daemons that all start at a moment, while one workspace asks for
// several times its allowance.
type startsTogether struct {
	daemons int
	// rate is the allowance, a second, and the burst.
	rate float64
	// openAt is when the daemons know what there was, hearAt when they first hear sums.
	// A daemon that does not come to know has openAt beyond the end.
	openAt, hearAt time.Duration
	opening        Opening
}

const (
	togetherTick = 10 * time.Millisecond
	sumsEvery    = 400 * time.Millisecond
)

// play returns the tokens admitted by the end.
func (s startsTogether) play(tolerance Tolerance, length time.Duration) float64 {
	random := rand.New(rand.NewPCG(1, uint64(s.daemons)))
	limiters := make([]*Limiter, s.daemons)
	told := make([]float64, s.daemons)
	for i := range limiters {
		limiters[i] = NewLimiter(tolerance, start)
		limiters[i].ApplyCatalog(limited(s.rate, s.rate), start)
	}
	total := 0.0
	for at := time.Duration(0); at < length; at += togetherTick {
		now := start.Add(at)
		if at == s.openAt {
			for _, l := range limiters {
				l.Open(s.opening, now)
			}
		}
		if at >= s.hearAt && (at-s.hearAt)%sumsEvery == 0 {
			tellSums(limiters, told, now)
		}
		for asked := 4 * s.rate * togetherTick.Seconds(); asked > 0; {
			tokens := 1000 + 16_000*random.Float64()
			asked -= tokens
			if ok, _ := limiters[random.IntN(s.daemons)].Admit("w", tokens, now); ok {
				total += tokens
			}
		}
	}
	return total
}

// tellSums lets all daemons hear each other: what is told was used one round before.
func tellSums(limiters []*Limiter, told []float64, now time.Time) {
	sum := 0.0
	for _, tokens := range told {
		sum += tokens
	}
	for i, l := range limiters {
		l.SetReach(len(limiters), len(limiters), now)
		l.Heard("sums", 1, map[string]float64{"w": sum - told[i]}, false, now)
	}
	for i, l := range limiters {
		told[i] = l.Spent()["w"]
	}
}

// TestDaemonsThatStartTogetherStayWithinTheAllowance: at 8, 77 and 330 daemons, with
// a list of them that is whole, stale, short, paged or refused, two starts within a
// window, each after a time in which the allowance was used up.
func TestDaemonsThatStartTogetherStayWithinTheAllowance(t *testing.T) {
	const rate, life = 530_000.0, 4 * time.Second
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Tokens: 72_000}
	// A window holds two lives of four seconds. What is used between them, while no
	// daemon runs, is nothing.
	allowed := (1+tolerance.Over)*9*rate + tolerance.Tokens
	for _, daemons := range []int{8, 77, 330} {
		never := time.Hour
		ways := map[string]startsTogether{
			"known":   {openAt: 50 * time.Millisecond, hearAt: 400 * time.Millisecond, opening: Opening{Daemons: daemons, Levels: map[string]float64{"w": 0}}},
			"unknown": {openAt: 50 * time.Millisecond, hearAt: 400 * time.Millisecond, opening: Opening{Daemons: daemons}},
			"full":    {openAt: 50 * time.Millisecond, hearAt: 600 * time.Millisecond, opening: Opening{Daemons: daemons, Levels: map[string]float64{"w": rate}}},
			"stale":   {openAt: 50 * time.Millisecond, hearAt: 600 * time.Millisecond, opening: Opening{Daemons: daemons + daemons/2}},
			"refused": {openAt: never, hearAt: 1200 * time.Millisecond},
			"late":    {openAt: time.Second, hearAt: 600 * time.Millisecond, opening: Opening{Daemons: daemons, Levels: map[string]float64{"w": rate}}},
		}
		for name, way := range ways {
			t.Run(fmt.Sprintf("%s-%d", name, daemons), func(t *testing.T) {
				c := qt.New(t)
				way.daemons, way.rate = daemons, rate
				used := 2 * way.play(tolerance, life)
				c.Check(used <= allowed, qt.IsTrue, qt.Commentf("%.0f of %.0f", used, allowed))
				c.Check(used >= 0.5*2*life.Seconds()*rate, qt.IsTrue, qt.Commentf("%.0f is less than half of what is allowed", used))
			})
		}
	}
}

// TestCallersWithinTheirAllowanceAreServedAtOnce: a workspace that had most of its
// burst left when all daemons died is served from the first moment on.
func TestCallersWithinTheirAllowanceAreServedAtOnce(t *testing.T) {
	c := qt.New(t)
	const rate, daemons = 400_000.0, 7
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Tokens: 140_000}
	limiters := make([]*Limiter, daemons)
	told := make([]float64, daemons)
	for i := range limiters {
		limiters[i] = NewLimiter(tolerance, start)
		limiters[i].ApplyCatalog(limited(rate, rate), start)
		limiters[i].Open(Opening{Daemons: daemons, Levels: map[string]float64{"w": 0.9 * rate}}, start)
	}
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	const requests = 300
	for i := range requests {
		at := time.Duration(i) * 10 * time.Millisecond
		if at%sumsEvery == 0 && at > 0 {
			tellSums(limiters, told, start.Add(at))
		}
		// Just above half of the allowance.
		if ok, _ := limiters[random.IntN(daemons)].Admit("w", 1000+2400*random.Float64(), start.Add(at)); !ok {
			refused++
		}
	}
	c.Check(refused <= requests/50, qt.IsTrue, qt.Commentf("%d of %d refused", refused, requests))
}

// TestBurstsBeforeTwoStartsStayWithinTheAllowance: what stands in the record is a second
// old. A workspace that used up its burst since is taken to have it, twice in a window.
func TestBurstsBeforeTwoStartsStayWithinTheAllowance(t *testing.T) {
	const rate, life = 1_415_000.0, 3500 * time.Millisecond
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Tokens: 140_000}
	allowed := (1+tolerance.Over)*9*rate + tolerance.Tokens
	for _, daemons := range []int{7, 77} {
		c := qt.New(t)
		way := startsTogether{
			daemons: daemons, rate: rate, openAt: 50 * time.Millisecond, hearAt: 400 * time.Millisecond,
			opening: Opening{Daemons: daemons, Levels: map[string]float64{"w": rate}},
		}
		// Before the first death the burst and a second's refill are used.
		used := 2*rate + 2*way.play(tolerance, life)
		c.Check(used <= allowed, qt.IsTrue, qt.Commentf("%d daemons: %.0f of %.0f", daemons, used, allowed))
	}
}
