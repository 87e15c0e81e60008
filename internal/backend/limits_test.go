package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/advice"
)

// fakeLimiter admits a fixed number of requests to each server.
type fakeLimiter struct {
	remaining map[uint32]int
	limits    map[uint32]float64
	refunds   int
}

func newFakeLimiter() *fakeLimiter {
	return &fakeLimiter{remaining: map[uint32]int{}, limits: map[uint32]float64{}}
}

func (f *fakeLimiter) SetLimit(server uint32, rate float64) { f.limits[server] = rate }
func (f *fakeLimiter) Lift(server uint32)                   { delete(f.limits, server) }
func (f *fakeLimiter) Forget(server uint32)                 { delete(f.limits, server) }
func (f *fakeLimiter) Refund(uint32, time.Time)             { f.refunds++ }
func (f *fakeLimiter) AtLimit(server uint32) bool           { return f.remaining[server] == 0 }

func (f *fakeLimiter) Admit(server uint32) (time.Time, time.Duration, bool) {
	if f.remaining[server] == 0 {
		return time.Time{}, 700 * time.Millisecond, false
	}
	f.remaining[server]--
	return start, 0, true
}

func limitedView(ids ...string) (*View, *fakeLimiter) {
	v, limiter := NewView(), newFakeLimiter()
	v.SetLimiter(limiter)
	for _, id := range ids {
		v.Put(entry(id, "z-a"), start)
	}
	return v, limiter
}

func limitedTo(rate float64, at time.Time) advice.Limit {
	return advice.Limit{Rate: rate, Limited: true, ObservedAt: at}
}

// report merges a report of a peer on one server.
func report(v *View, id string, limit advice.Limit) []ServerLimit {
	return v.MergeLimits([]advice.LimitRecord{{Server: KeyOf(entry(id, "z-a")), Limit: limit}})
}

func TestServersAtTheirLimitsArePassedOver(t *testing.T) {
	c := qt.New(t)
	v, limiter := limitedView("a", "b")
	need := Need{Service: "s", Zone: "z-a"}
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a", ServerID: "a"}, start)
	rate := 1.5
	change := choice.ApplyAdvice(advice.Advice{Limit: &rate}, start)
	c.Check(change.Before.Limited, qt.IsFalse)
	c.Check(change.After, qt.Equals, limitedTo(1.5, start))
	choice.End(OutcomeServed, start)
	c.Check(limiter.limits, qt.DeepEquals, map[uint32]float64{KeyOf(choice.Entry): 1.5})
	for range 4 {
		other, ok := v.Begin(need, start)
		c.Assert(ok, qt.IsTrue)
		c.Check(other.ID, qt.Equals, "b")
	}
	c.Check(v.Servers(start)[0].AtLimit, qt.IsTrue)
	limiter.remaining[KeyOf(choice.Entry)] = 1
	within, _ := v.Begin(need, start)
	c.Check(within.ID, qt.Equals, "a")
	within.RefundAdmission()
	within.RefundAdmission()
	c.Check(limiter.refunds, qt.Equals, 1)
}

func TestAllServersAtTheirLimits(t *testing.T) {
	c := qt.New(t)
	v, _ := limitedView("a", "b")
	need := Need{Service: "s", Zone: "z-a"}
	report(v, "a", limitedTo(1, start))
	report(v, "b", limitedTo(1, start))
	_, ok := v.Begin(need, start)
	c.Assert(ok, qt.IsFalse)
	wait, found := v.RetryAfter(need, start)
	c.Check(found, qt.IsTrue)
	c.Check(wait, qt.Equals, 700*time.Millisecond)
	_, found = v.RetryAfter(Need{Service: "other"}, start)
	c.Check(found, qt.IsFalse)
}

// TestManyServersAtTheirLimits guards against refusing a request because all shortlisted servers
// are at their limits while others are not.
func TestManyServersAtTheirLimits(t *testing.T) {
	c := qt.New(t)
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("i-%02d", i))
	}
	v, _ := limitedView(ids...)
	for _, id := range ids[1:] {
		report(v, id, limitedTo(1, start))
	}
	for i := range 20 {
		choice, ok := v.Begin(Need{Service: "s", Zone: "z-a", SampleSeed: uint64(i), Parts: []PromptPart{{ID: fmt.Sprint(i), Tokens: 100}}}, start)
		c.Assert(ok, qt.IsTrue)
		c.Check(choice.ID, qt.Equals, ids[0])
	}
}

func TestReportsOfLimitsMerge(t *testing.T) {
	c := qt.New(t)
	v, limiter := limitedView("a")
	c.Check(report(v, "a", limitedTo(2, start)), qt.HasLen, 1)
	c.Check(report(v, "a", limitedTo(2, start.Add(500*time.Millisecond))), qt.HasLen, 0)
	c.Check(v.Limits(0, start)[0].ObservedAt, qt.Equals, start, qt.Commentf("an equal limit is not refreshed by each report"))
	c.Check(report(v, "a", advice.Limit{ObservedAt: start.Add(-time.Second)}), qt.HasLen, 0, qt.Commentf("an older report does not end the limit"))
	c.Check(report(v, "unknown", limitedTo(2, start)), qt.HasLen, 0)
	c.Check(report(v, "a", advice.Limit{ObservedAt: start.Add(time.Second)}), qt.HasLen, 1)
	c.Check(limiter.limits, qt.HasLen, 0)
	c.Check(v.Limits(0, start.Add(2*time.Second)), qt.HasLen, 1, qt.Commentf("the end of the limit is reported"))
	c.Check(v.Limits(0, start.Add(liftedReportTTL+2*time.Second)), qt.HasLen, 0)
}

func TestRestartedServerHasNoLimit(t *testing.T) {
	c := qt.New(t)
	v, limiter := limitedView()
	v.Put(entryAt("a", 1000, 1), start)
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a"}, start)
	rate := 2.0
	choice.ApplyAdvice(advice.Advice{Limit: &rate}, start)
	c.Check(limiter.limits, qt.HasLen, 1)
	v.Put(entryAt("a", 2000, 1), start)
	c.Check(limiter.limits, qt.HasLen, 0)
	choice.ApplyAdvice(advice.Advice{Limit: &rate}, start.Add(time.Second))
	c.Check(limiter.limits, qt.HasLen, 0, qt.Commentf("the response is of the earlier incarnation"))
	c.Check(v.Servers(start)[0].Limit.Limited, qt.IsFalse)
}

func TestReportsRotateThroughManyLimits(t *testing.T) {
	c := qt.New(t)
	var ids []string
	for i := range 150 {
		ids = append(ids, fmt.Sprintf("i-%03d", i))
	}
	v, _ := limitedView(ids...)
	for _, id := range ids {
		report(v, id, limitedTo(1, start))
	}
	seen := map[uint32]bool{}
	for turn := range uint64(3) {
		records := v.Limits(turn, start)
		c.Check(records, qt.HasLen, maxReportRecords)
		for _, r := range records {
			seen[r.Server] = true
		}
	}
	c.Check(seen, qt.HasLen, 150)
}

func TestServersInBackoffAreSkipped(t *testing.T) {
	c := qt.New(t)
	v, _ := limitedView("a", "b")
	need := Need{Service: "s", Zone: "z-a"}
	decline := func(id string, retryAfter time.Duration) {
		only := need
		only.ServerID = id
		choice, ok := v.Begin(only, start)
		c.Assert(ok, qt.IsTrue)
		choice.ApplyAdvice(advice.Advice{RetryAfter: retryAfter}, start)
		choice.End(OutcomeFull, start)
	}
	decline("a", 3*time.Second)
	for ms := range 30 {
		c.Check(pick(v, start.Add(time.Duration(ms)*100*time.Millisecond)), qt.Equals, "b")
	}
	decline("b", time.Second)
	_, ok := v.Begin(need, start)
	c.Check(ok, qt.IsFalse)
	wait, found := v.RetryAfter(need, start)
	c.Check(found, qt.IsTrue)
	c.Check(wait, qt.Equals, time.Second)
	c.Check(pick(v, start.Add(time.Second)), qt.Equals, "b")
	v.Remove("b", start.Add(2*time.Second))
	c.Check(pick(v, start.Add(3*time.Second)), qt.Equals, "a", qt.Commentf("used again at the end of its backoff"))
}

func TestLeavingServerIsUsedWhileOthersBackOff(t *testing.T) {
	c := qt.New(t)
	v, _ := limitedView("a", "b")
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a", ServerID: "a"}, start)
	choice.ApplyAdvice(advice.Advice{RetryAfter: 3 * time.Second}, start)
	v.Remove("b", start)
	leaving, ok := v.Begin(Need{Service: "s", Zone: "z-a"}, start)
	c.Assert(ok, qt.IsTrue)
	c.Check(leaving.ID, qt.Equals, "b")
	c.Check(leaving.MaySend(start), qt.IsTrue)
	c.Check(leaving.MaySend(start.Add(defaultDrainBound)), qt.IsFalse)
}

func TestCandidatesInBackoffAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	v, _ := limitedView()
	for id, version := range map[string]string{"a": "v1", "c": "v2"} {
		e := entry(id, "z-a")
		e.Version = version
		v.Put(e, start)
	}
	v.SetVersions("s", Versions{Enforced: true, Stable: "v1", Candidate: "v2"})
	need := Need{Service: "s", Zone: "z-a", Candidate: true}
	choice, ok := v.Begin(need, start)
	c.Assert(ok, qt.IsTrue)
	c.Check(choice.ID, qt.Equals, "c")
	report(v, "c", limitedTo(0, start))
	choice.ApplyAdvice(advice.Advice{RetryAfter: time.Second}, start)
	choice, ok = v.Begin(need, start)
	c.Assert(ok, qt.IsTrue)
	c.Check(choice.ID, qt.Equals, "a")
	c.Check(choice.Candidate, qt.IsFalse)
}

// TestLastAttemptAvoidsServersThatMayDecline guards against sending the last attempt of a request
// to a server whose backoff has just ended while healthy servers are available.
func TestLastAttemptAvoidsServersThatMayDecline(t *testing.T) {
	c := qt.New(t)
	v, _ := limitedView("a", "b")
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a", ServerID: "a"}, start)
	choice.ApplyAdvice(advice.Advice{RetryAfter: time.Second}, start)
	choice.End(OutcomeFull, start)
	backoffEnd := start.Add(time.Second)
	picked := func(final bool, at time.Time) string {
		choice, _ := v.Begin(Need{Service: "s", Zone: "z-a", Final: final}, at)
		defer choice.End(OutcomeNeutral, at)
		return choice.ID
	}
	c.Check(picked(false, backoffEnd), qt.Equals, "a", qt.Commentf("earlier attempts may test it"))
	c.Check(picked(true, backoffEnd), qt.Equals, "b")
	c.Check(picked(true, backoffEnd.Add(probationPeriod)), qt.Equals, "a", qt.Commentf("requests with a single attempt use it again after probation"))
	served, _ := v.Begin(Need{Service: "s", Zone: "z-a", ServerID: "a"}, backoffEnd)
	served.End(OutcomeServed, backoffEnd)
	c.Check(picked(true, backoffEnd), qt.Equals, "a")
}

// BenchmarkMergeLimits merges a report of 64 limits. A leader receives hundreds of such
// reports per second.
func BenchmarkMergeLimits(b *testing.B) {
	for _, servers := range []int{160, 2600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var ids []string
			for i := range servers {
				ids = append(ids, fmt.Sprintf("i-%05d", i))
			}
			v, _ := limitedView(ids...)
			for _, id := range ids[:maxReportRecords] {
				report(v, id, limitedTo(1, start))
			}
			records := v.Limits(0, start)
			for b.Loop() {
				v.MergeLimits(records)
			}
		})
	}
}
