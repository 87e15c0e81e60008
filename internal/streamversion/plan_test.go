package streamversion

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func capacity(slots map[string]int) map[string]Demand {
	d := Demand{Capacity: map[string]Capacity{}}
	for version, n := range slots {
		d.Capacity[version] = Capacity{Slots: n}
	}
	return map[string]Demand{"llm": d}
}

// settled plans until nothing changes, while all daemons adopt each step at once.
func settled(a *Assignment, demands map[string]Demand, now time.Time) (*Assignment, int) {
	steps := 0
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
		if next, changed := a.Plan(demands, true, at); changed {
			a, steps = next, steps+1
		}
	}
	return a, steps
}

func counts(a *Assignment) map[string]int {
	p := planner{buckets: a.Services["llm"].Buckets}
	return p.counts()
}

func TestBucketsFollowCapacity(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	c.Check(counts(a), qt.DeepEquals, map[string]int{"v1": BucketCount})
	a, steps := settled(a, capacity(map[string]int{"v1": 300, "v2": 100}), start)
	c.Check(counts(a), qt.DeepEquals, map[string]int{"v1": 96, "v2": 32})
	c.Check(steps > 2 && steps < 12, qt.IsTrue, qt.Commentf("%d steps", steps))
	a, steps = settled(a, capacity(map[string]int{"v1": 300, "v2": 110}), start)
	c.Check(steps, qt.Equals, 0, qt.Commentf("a small change of the capacity moves nothing"))
	a, _ = settled(a, capacity(map[string]int{"v2": 110}), start)
	c.Check(counts(a), qt.DeepEquals, map[string]int{"v2": BucketCount})
}

func TestOnlySomeBucketsMoveAtATime(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if next, changed := a.Plan(capacity(map[string]int{"v1": 100, "v2": 900}), true, at); changed {
			a = next
		}
		p := planner{buckets: a.Services["llm"].Buckets, now: at}
		c.Assert(p.moving() <= maxMoving, qt.IsTrue, qt.Commentf("%v", at.Sub(start)))
	}
	c.Check(counts(a)["v2"] > 110, qt.IsTrue, qt.Commentf("%v", counts(a)))
}

func TestMoveWaitsUntilAllDaemonsKnowOfIt(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	both := capacity(map[string]int{"v1": 400, "v2": 400})
	a, changed := a.Plan(both, false, start)
	c.Assert(changed, qt.IsTrue)
	b := a.Services["llm"].Buckets[0]
	c.Check(b.Version, qt.Equals, "v1")
	c.Check(b.Next, qt.Equals, "v2")
	c.Check(b.Allows("v2"), qt.IsFalse)
	_, err := b.Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
	_, changed = a.Plan(both, false, start.Add(time.Hour))
	c.Check(changed, qt.IsFalse)
	a, changed = a.Plan(both, true, start)
	c.Assert(changed, qt.IsTrue)
	b = a.Services["llm"].Buckets[0]
	c.Check(b.Allows("v2"), qt.IsTrue)
	c.Check(b.Allows("v1"), qt.IsFalse)
	_, err = b.Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous, qt.Commentf("a daemon may still begin streams at v1"))
	a, _ = a.Plan(both, true, start)
	b = a.Services["llm"].Buckets[0]
	version, err := b.Began(start.Add(beginDelay + time.Second))
	c.Check(err, qt.IsNil)
	c.Check(version, qt.Equals, "v2")
	_, err = b.Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
}

func TestBucketsOfVersionWithoutServersMoveAtOnce(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	a, _ = settled(a, capacity(map[string]int{"v1": 400, "v2": 400}), start)
	a, changed := a.Plan(capacity(map[string]int{"v2": 400}), false, start.Add(time.Minute))
	c.Assert(changed, qt.IsTrue)
	for _, b := range a.Services["llm"].Buckets {
		c.Assert(b.Version, qt.Equals, "v2")
	}
	leaving := capacity(map[string]int{"v3": 400})
	leaving["llm"].Capacity["v2"] = Capacity{Leaving: true}
	a, changed = a.Plan(leaving, false, start.Add(time.Minute))
	c.Assert(changed, qt.IsTrue)
	b := a.Services["llm"].Buckets[0]
	c.Check(b.Version, qt.Equals, "v2", qt.Commentf("servers that leave can begin streams until all daemons know of the move"))
	c.Check(b.Next, qt.Equals, "v3")
	_, changed = a.Plan(capacity(nil), false, start.Add(time.Minute))
	c.Check(changed, qt.IsTrue, qt.Commentf("the move is cancelled"))
}

func TestTrialIsSharedAndThenMovedOrCancelled(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	trial := capacity(map[string]int{"v1": 400})
	trial["llm"] = Demand{Capacity: trial["llm"].Capacity, Trial: Trial{Version: "v2", Shared: 0.25}}
	a, _ = a.Plan(trial, true, start)
	c.Check(a.Services["llm"].Buckets[0].Allows("v2"), qt.IsFalse, qt.Commentf("not all daemons know of the trial"))
	shared, _ := settled(a, trial, start)
	c.Check(shared.Services["llm"].Buckets[0].Allows("v2"), qt.IsTrue)
	c.Check(shared.Services["llm"].Buckets[31].Allows("v2"), qt.IsTrue)
	c.Check(shared.Services["llm"].Buckets[32].Allows("v2"), qt.IsFalse)
	halted, _ := shared.Plan(capacity(map[string]int{"v1": 400}), true, start)
	c.Check(halted.Services["llm"].Buckets[0].Allows("v2"), qt.IsFalse)
	_, err := halted.Services["llm"].Buckets[0].Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
	trial["llm"] = Demand{Capacity: trial["llm"].Capacity, Trial: Trial{Version: "v2", Moved: 1, Shared: 1}}
	moved, _ := settled(shared, trial, start)
	for _, b := range moved.Services["llm"].Buckets {
		c.Assert(b.Version, qt.Equals, "v2")
	}
}

// TestEstablishedVersionIsTheOneThatBegan draws histories of daemons that adopt assignments late, of
// writers, and of versions that come and go.
func TestEstablishedVersionIsTheOneThatBegan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const daemons = 5
		type stream struct {
			bucket  int
			version string
			at      time.Time
		}
		versions := []string{"v1", "v2", "v3"}
		slots := map[string]int{"v1": 100}
		latest, _ := (&Assignment{}).Plan(capacity(slots), true, start)
		held := make([]*Assignment, daemons)
		for i := range held {
			held[i] = latest
		}
		adopted := func() bool {
			for _, a := range held {
				if a.Serial < latest.Serial {
					return false
				}
			}
			return true
		}
		var streams []stream
		now, ambiguous, resumed := start, 0, 0
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
			d := rapid.IntRange(0, daemons-1).Draw(rt, "daemon")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				// Servers come, or leave. A version returns only once all daemons know the latest assignment.
				version := rapid.SampledFrom(versions).Draw(rt, "version")
				before := slots[version]
				if before == 0 && !adopted() {
					continue
				}
				slots[version] = rapid.SampledFrom([]int{0, 50, 100, 200}).Draw(rt, "slots")
				if slots["v1"]+slots["v2"]+slots["v3"] == 0 {
					slots[version] = before
				}
			case 1, 2, 3:
				if next, changed := latest.Plan(capacity(slots), adopted(), now); changed {
					latest = next
				}
			case 4, 5:
				held[d] = latest
			case 6, 7:
				bucket := rapid.IntRange(0, BucketCount-1).Draw(rt, "bucket")
				if b := held[d].Services["llm"].Buckets[bucket]; slots[b.Version] > 0 {
					streams = append(streams, stream{bucket, b.Version, now})
				}
			default:
				if len(streams) == 0 {
					continue
				}
				s := streams[rapid.IntRange(max(0, len(streams)-20), len(streams)-1).Draw(rt, "stream")]
				version, err := held[d].Services["llm"].Buckets[s.bucket].Began(s.at)
				resumed++
				switch {
				case err != nil:
					ambiguous++
				case version != s.version && slots[version] > 0:
					rt.Fatalf("stream of bucket %d began at %s, %v ago, and goes on at %s: %+v", s.bucket, s.version, now.Sub(s.at), version, held[d].Services["llm"].Buckets[s.bucket])
				}
			}
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400, "v2": 400}), start)
	demands := capacity(map[string]int{"v1": 400, "v2": 400})
	for b.Loop() {
		a.Plan(demands, true, start)
	}
}

func BenchmarkBegan(b *testing.B) {
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400, "v2": 400}), start)
	for i := 0; b.Loop(); i++ {
		bucket, _ := a.Bucket("llm", fmt.Sprint(i))
		_, _ = bucket.Began(start)
	}
}
