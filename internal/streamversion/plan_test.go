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
		if next, changed := a.Plan(demands, AdoptedByAll, at); changed {
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
		if next, changed := a.Plan(capacity(map[string]int{"v1": 100, "v2": 900}), AdoptedByAll, at); changed {
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
	a, changed := a.Plan(both, Spreading, start)
	c.Assert(changed, qt.IsTrue)
	b := a.Services["llm"].Buckets[0]
	c.Check(b.Version, qt.Equals, "v1")
	c.Check(b.Next, qt.Equals, "v2")
	c.Check(b.Allows("v2"), qt.IsFalse)
	_, err := b.Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
	_, changed = a.Plan(both, Spreading, start.Add(time.Hour))
	c.Check(changed, qt.IsFalse)
	a, changed = a.Plan(both, AdoptedByAll, start)
	c.Assert(changed, qt.IsTrue)
	b = a.Services["llm"].Buckets[0]
	c.Check(b.Allows("v2"), qt.IsTrue)
	c.Check(b.Allows("v1"), qt.IsFalse)
	_, err = b.Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous, qt.Commentf("a daemon may still begin streams at v1"))
	a, _ = a.Plan(both, AdoptedByAll, start)
	b = a.Services["llm"].Buckets[0]
	version, err := b.Began(start.Add(beginDelay + time.Second))
	c.Check(err, qt.IsNil)
	c.Check(version, qt.Equals, "v2")
	_, err = b.Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
}

func TestBucketsOfVersionWithoutServersMoveOnceNoDaemonResumesThere(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	a, _ = settled(a, capacity(map[string]int{"v1": 400, "v2": 400}), start)
	gone, now := capacity(map[string]int{"v2": 400}), start.Add(time.Minute)
	prepared, changed := a.Plan(gone, Spreading, now)
	c.Assert(changed, qt.IsTrue)
	for _, b := range prepared.Services["llm"].Buckets {
		c.Assert(b.Version == "v2" || b.Next == "v2" && !b.Allows("v2"), qt.IsTrue, qt.Commentf("%+v", b))
	}
	_, changed = prepared.Plan(gone, Spreading, now.Add(30*time.Second))
	c.Check(changed, qt.IsFalse)
	for _, progress := range []Progress{Expired, AdoptedByAll} {
		moved, changed := prepared.Plan(gone, progress, now)
		c.Assert(changed, qt.IsTrue)
		for _, b := range moved.Services["llm"].Buckets {
			c.Assert(b.Version, qt.Equals, "v2")
		}
	}
	a, _ = settled(prepared, gone, now)
	leaving := capacity(map[string]int{"v3": 400})
	leaving["llm"].Capacity["v2"] = Capacity{Leaving: true}
	a, changed = a.Plan(leaving, Expired, now)
	c.Assert(changed, qt.IsTrue)
	_, changed = a.Plan(leaving, Expired, now)
	c.Check(changed, qt.IsFalse)
	b := a.Services["llm"].Buckets[0]
	c.Check(b.Version, qt.Equals, "v2", qt.Commentf("servers that leave can begin streams until all daemons know of the move"))
	c.Check(b.Next, qt.Equals, "v3")
	_, changed = a.Plan(capacity(nil), Spreading, now)
	c.Check(changed, qt.IsTrue, qt.Commentf("the move is cancelled"))
}

// TestBucketsWithoutServersLeaveBesideATrial guards against buckets that are about to move to a third version
// and to that on trial in turn, with a write of the assignment each time.
func TestBucketsWithoutServersLeaveBesideATrial(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	demands := capacity(map[string]int{"v3": 400})
	demands["llm"] = Demand{Capacity: demands["llm"].Capacity, Trial: Trial{Version: "v2", Shared: 0.25}}
	changes := 0
	for range 20 {
		if next, changed := a.Plan(demands, Spreading, start); changed {
			a, changes = next, changes+1
		}
	}
	c.Check(changes, qt.Equals, 1)
	c.Check(a.Services["llm"].Buckets[0].Next, qt.Equals, "v3")
	a, steps := settled(a, demands, start)
	c.Check(steps < 10, qt.IsTrue, qt.Commentf("%d steps", steps))
	for _, b := range a.Services["llm"].Buckets {
		c.Assert(b.Version, qt.Equals, "v3")
	}
	c.Check(a.Services["llm"].Buckets[0].Allows("v2"), qt.IsTrue)
}

func TestTrialIsSharedAndThenMovedOrCancelled(t *testing.T) {
	c := qt.New(t)
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400}), start)
	trial := capacity(map[string]int{"v1": 400})
	trial["llm"] = Demand{Capacity: trial["llm"].Capacity, Trial: Trial{Version: "v2", Shared: 0.25}}
	a, _ = a.Plan(trial, AdoptedByAll, start)
	c.Check(a.Services["llm"].Buckets[0].Allows("v2"), qt.IsFalse, qt.Commentf("not all daemons know of the trial"))
	shared, _ := settled(a, trial, start)
	c.Check(shared.Services["llm"].Buckets[0].Allows("v2"), qt.IsTrue)
	c.Check(shared.Services["llm"].Buckets[31].Allows("v2"), qt.IsTrue)
	c.Check(shared.Services["llm"].Buckets[32].Allows("v2"), qt.IsFalse)
	halted, _ := shared.Plan(capacity(map[string]int{"v1": 400}), AdoptedByAll, start)
	c.Check(halted.Services["llm"].Buckets[0].Allows("v2"), qt.IsFalse)
	_, err := halted.Services["llm"].Buckets[0].Began(start)
	c.Check(err, qt.ErrorIs, ErrAmbiguous)
	trial["llm"] = Demand{Capacity: trial["llm"].Capacity, Trial: Trial{Version: "v2", Moved: 1, Shared: 1}}
	moved, _ := settled(shared, trial, start)
	for _, b := range moved.Services["llm"].Buckets {
		c.Assert(b.Version, qt.Equals, "v2")
	}
}

// TestEstablishedVersionIsTheOneThatBegan draws histories of daemons that adopt assignments late or are
// cut off, of writers, and of versions that come and go.
func TestEstablishedVersionIsTheOneThatBegan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { newHistory(rt).play() })
}

// historyDaemons is the number of daemons of a history.
const historyDaemons = 5

// history is a random history of daemons that begin and resume streams.
type history struct {
	*rapid.T
	now     time.Time
	slots   map[string]int
	latest  *Assignment
	written time.Time
	daemons [historyDaemons]historyDaemon
	streams []historyStream
}

// historyDaemon is what one daemon knows of the assignment.
type historyDaemon struct {
	held      *Assignment
	confirmed Confirmation
	cutOff    bool
}

type historyStream struct {
	bucket  int
	version string
	at      time.Time
}

func newHistory(rt *rapid.T) *history {
	h := &history{T: rt, now: start, written: start, slots: map[string]int{"v1": 100}}
	h.latest, _ = (&Assignment{}).Plan(capacity(h.slots), AdoptedByAll, start)
	for i := range h.daemons {
		h.daemons[i].held = h.latest
		h.daemons[i].confirmed.Observe(h.latest.Serial, start)
	}
	return h
}

func (h *history) play() {
	for range 300 {
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(h.T, "ms")) * time.Millisecond)
		d := &h.daemons[rapid.IntRange(0, historyDaemons-1).Draw(h.T, "daemon")]
		switch rapid.IntRange(0, 11).Draw(h.T, "event") {
		case 0:
			h.changeServers()
		case 1, 2, 3:
			h.plan()
		case 4, 5:
			h.deliver(d)
		case 6, 7:
			h.begin(d)
		case 8:
			d.cutOff = !d.cutOff
		default:
			h.resume(d)
		}
	}
}

// changeServers lets servers of a version come or leave.
func (h *history) changeServers() {
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(h.T, "version")
	before := h.slots[version]
	h.slots[version] = rapid.SampledFrom([]int{0, 50, 100, 200}).Draw(h.T, "slots")
	if h.slots["v1"]+h.slots["v2"]+h.slots["v3"] == 0 {
		h.slots[version] = before
	}
}

func (h *history) plan() {
	adopted := true
	for _, d := range h.daemons {
		adopted = adopted && !d.cutOff && d.held.Serial == h.latest.Serial
	}
	if next, changed := h.latest.Plan(capacity(h.slots), ProgressOf(adopted, h.written, h.now), h.now); changed {
		h.latest, h.written = next, h.now
	}
}

// deliver lets a daemon learn the latest assignment.
func (h *history) deliver(d *historyDaemon) {
	if d.cutOff {
		return
	}
	d.held = h.latest
	d.confirmed.Observe(h.latest.Serial, h.now)
}

// begin begins a stream, at a daemon that is cut off also where others list no server any more.
func (h *history) begin(d *historyDaemon) {
	bucket := rapid.IntRange(0, BucketCount-1).Draw(h.T, "bucket")
	if b := d.held.Services["llm"].Buckets[bucket]; d.cutOff || h.slots[b.Version] > 0 {
		h.streams = append(h.streams, historyStream{bucket, b.Version, h.now})
	}
}

func (h *history) resume(d *historyDaemon) {
	if len(h.streams) == 0 || !d.confirmed.Valid(d.held.Serial, h.now) {
		return
	}
	s := h.streams[rapid.IntRange(max(0, len(h.streams)-20), len(h.streams)-1).Draw(h.T, "stream")]
	version, err := d.held.Services["llm"].Buckets[s.bucket].Began(s.at)
	if err == nil && version != s.version {
		h.Fatalf("stream of bucket %d began at %s, %v ago, and goes on at %s: %+v", s.bucket, s.version, h.now.Sub(s.at), version, d.held.Services["llm"].Buckets[s.bucket])
	}
}

func BenchmarkPlan(b *testing.B) {
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400, "v2": 400}), start)
	demands := capacity(map[string]int{"v1": 400, "v2": 400})
	for b.Loop() {
		a.Plan(demands, AdoptedByAll, start)
	}
}

func BenchmarkBegan(b *testing.B) {
	a, _ := settled(&Assignment{}, capacity(map[string]int{"v1": 400, "v2": 400}), start)
	for i := 0; b.Loop(); i++ {
		bucket, _ := a.Bucket("llm", fmt.Sprint(i))
		_, _ = bucket.Began(start)
	}
}
