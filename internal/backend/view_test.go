package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/pace"
)

var start = time.Unix(1000, 0)

func entry(id, zone string) Entry {
	return Entry{ID: id, Service: "s", Address: id + ":80", Zone: zone, Slots: 6}
}

func plainView(ids ...string) *View {
	v := NewView()
	for _, id := range ids {
		v.Put(entry(id, "z-"+id), start)
	}
	return v
}

func pick(v *View, now time.Time) string {
	choice, ok := v.Begin(Need{Service: "s", Zone: "z-a", Target: 100 * time.Millisecond}, now)
	if !ok {
		return ""
	}
	choice.End(OutcomeNeutral, now)
	return choice.ID
}

func TestCallersZoneIsPreferred(t *testing.T) {
	c := qt.New(t)
	c.Check(pick(plainView("a", "b"), start), qt.Equals, "a")
	c.Check(pick(plainView("b"), start), qt.Equals, "b")
	c.Check(pick(NewView(), start), qt.Equals, "")
}

// TestListOfServersInServiceIsKeptUpToDate checks that the cached list of ready servers follows
// every event by which a server becomes ready or ceases to be.
func TestListOfServersInServiceIsKeptUpToDate(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	c.Check(pick(v, start), qt.Equals, "a")
	draining := entry("a", "z-a")
	draining.Draining = true
	v.Put(draining, start)
	c.Check(pick(v, start), qt.Equals, "b")
	v.Put(entry("a", "z-a"), start)
	c.Check(pick(v, start), qt.Equals, "a")
	v.Remove("a", start)
	c.Check(pick(v, start), qt.Equals, "b")
	v.Put(entry("a", "z-a"), start)
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a"}, start)
	choice.End(OutcomeWrongServer, start)
	c.Check(pick(v, start), qt.Equals, "b")
	moved := entry("b", "z-b")
	moved.Service = "other"
	v.Put(moved, start)
	v.Put(entry("c", "z-c"), start)
	c.Check(pick(v, start), qt.Equals, "c")
	v.Replace([]Entry{entry("d", "z-d")}, Observed(start))
	c.Check(pick(v, start), qt.Equals, "d")
}

func TestFailuresDecay(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	fail := func(now time.Time) {
		choice, _ := v.Begin(Need{Service: "s", Zone: "z-a", Target: 100 * time.Millisecond}, now)
		choice.End(OutcomeFailed, now)
	}
	fail(start)
	c.Check(pick(v, start), qt.Equals, "b")
	c.Check(pick(v, start.Add(failureHalfLife+time.Millisecond)), qt.Equals, "a")
}

// TestServerOfASilentAttemptIsAvoided guards against further requests to a server that may be lost, while an attempt
// that cannot be replaced waits for it.
func TestServerOfASilentAttemptIsAvoided(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	waiting, _ := v.Begin(Need{Service: "s", Zone: "z-a", Target: 100 * time.Millisecond}, start)
	c.Check(pick(v, start), qt.Equals, "a")
	waiting.RecordSilence(start)
	c.Check(pick(v, start), qt.Equals, "b")
	waiting.End(OutcomeServed, start)
	c.Check(pick(v, start.Add(failureHalfLife)), qt.Equals, "a")
}

func TestWrongServerIsNotUsedAgainUntilListed(t *testing.T) {
	c := qt.New(t)
	v := plainView("a")
	choice, _ := v.Begin(Need{Service: "s"}, start)
	choice.End(OutcomeWrongServer, start)
	c.Check(pick(v, start), qt.Equals, "")
	v.Put(entry("a", "z-a"), start)
	c.Check(pick(v, start), qt.Equals, "a")
}

// drainDeadline is the end of the last-resort use of a server that began to drain at start.
var drainDeadline = start.Add(defaultDrainBound - maxTransit)

func draining(id string) Entry {
	e := entry(id, "z-"+id)
	e.Draining = true
	return e
}

func TestDrainingIsALastResort(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	v.Put(draining("a"), start)
	c.Check(pick(v, start), qt.Equals, "b")
	v.Remove("b", start)
	c.Check(pick(v, drainDeadline.Add(-time.Millisecond)), qt.Not(qt.Equals), "", qt.Commentf("both are usable as a last resort"))
	c.Check(pick(v, drainDeadline), qt.Equals, "")
}

func TestRemovalAfterDrainingDoesNotExtendUse(t *testing.T) {
	c := qt.New(t)
	v := plainView("a")
	v.Put(draining("a"), start)
	v.Remove("a", start.Add(defaultDrainBound/2))
	c.Check(pick(v, drainDeadline), qt.Equals, "")
}

// TestLastResortCountsFromTheStoresWord checks that the last-resort use is counted from the store's
// acknowledgement, not from the time at which this daemon received the change.
func TestLastResortCountsFromTheStoresWord(t *testing.T) {
	late := Observation{ReceivedAt: start.Add(time.Second), NotBefore: start}
	for name, leave := range map[string]func(v *View, seen Observation){
		"drains":              func(v *View, seen Observation) { v.Update([]Entry{draining("a")}, nil, seen) },
		"gone":                func(v *View, seen Observation) { v.Update(nil, []string{"a"}, seen) },
		"not listed any more": func(v *View, seen Observation) { v.Replace(nil, seen) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := plainView("a")
			leave(v, late)
			c.Check(pick(v, drainDeadline.Add(-time.Millisecond)), qt.Equals, "a")
			c.Check(pick(v, drainDeadline), qt.Equals, "")
			v = plainView("a")
			v.SetDrainBound(5 * time.Second)
			leave(v, late)
			c.Check(pick(v, drainDeadline.Add(3*time.Second-time.Millisecond)), qt.Equals, "a")
			c.Check(pick(v, drainDeadline.Add(3*time.Second)), qt.Equals, "")
		})
	}
}

// TestServerThatHasDrainedForLong covers a daemon that has just started and cannot know since when
// a listed server drains.
func TestServerThatHasDrainedForLong(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Replace([]Entry{draining("a")}, Observation{ReceivedAt: start})
	c.Check(pick(v, start), qt.Equals, "")
}

// TestAttemptIsLookedAtBeforeItIsSent checks that an attempt is not sent if its server left while
// the attempt waited for a connection.
func TestAttemptIsLookedAtBeforeItIsSent(t *testing.T) {
	c := qt.New(t)
	v := plainView("a", "b")
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a"}, start)
	c.Assert(choice.ID, qt.Equals, "a")
	c.Check(choice.MaySend(start), qt.IsTrue)
	v.Put(draining("a"), start)
	c.Check(choice.MaySend(start), qt.IsFalse, qt.Commentf("another server is ready"))
	v.Remove("b", start)
	c.Check(choice.MaySend(drainDeadline.Add(-time.Millisecond)), qt.IsTrue)
	c.Check(choice.MaySend(drainDeadline), qt.IsFalse)
	v.Put(entry("a", "z-a"), drainDeadline)
	c.Check(choice.MaySend(drainDeadline), qt.IsTrue, qt.Commentf("it is ready again"))
}

func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	c := qt.New(t)
	v := plainView("a")
	v.StoreReturned(start)
	v.Replace(nil, Observation{ReceivedAt: start, NotBefore: start.Add(-5 * time.Second)})
	c.Check(pick(v, start.Add(2*time.Second)), qt.Equals, "a")
	c.Check(pick(v, start.Add(outageGrace)), qt.Equals, "")
}

// TestEntryThatIsGoneSinceTheOutage covers an entry that was seen after the store recovered and was
// removed later: it gets no grace period.
func TestEntryThatIsGoneSinceTheOutage(t *testing.T) {
	c := qt.New(t)
	v := plainView("a")
	v.StoreReturned(start.Add(-time.Second))
	v.Remove("a", start)
	c.Check(pick(v, drainDeadline), qt.Equals, "")
}

func TestPeerLoadsAreCounted(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 1000}})
	v.Put(entry("a", "z"), start)
	v.Put(entry("b", "z"), start)
	v.SetPeerLoads(map[uint32]Load{KeyOf(Entry{ID: "a"}): {Running: 1, PendingTokens: 5000}}, start)
	c.Check(pick(v, start), qt.Equals, "b")
	v.SetPeerLoads(map[uint32]Load{KeyOf(Entry{ID: "b"}): {Running: 1, PendingTokens: 5000}}, start)
	c.Check(pick(v, start), qt.Equals, "a")
}

// TestDaemonsAgreeOnHomes checks that views filled in a different order send a prompt to the same
// server, and that an additional server takes over few prompts.
func TestDaemonsAgreeOnHomes(t *testing.T) {
	c := qt.New(t)
	one, two := modelView("a", "b", "c", "d"), modelView("d", "c", "b", "a")
	more := modelView("a", "b", "c", "d", "e")
	moved := 0
	const prompts = 200
	used := map[string]int{}
	for i := range prompts {
		need := prompt(i)
		first, _ := one.Begin(need, start)
		second, _ := two.Begin(need, start)
		third, _ := more.Begin(need, start)
		c.Check(first.ID, qt.Equals, second.ID)
		used[first.ID]++
		if third.ID != first.ID {
			moved++
			c.Check(third.ID, qt.Equals, "e")
		}
		for _, choice := range []*Choice{first, second, third} {
			choice.End(OutcomeServed, start)
		}
	}
	c.Check(used, qt.HasLen, 4)
	c.Check(moved < prompts/3, qt.IsTrue, qt.Commentf("%d moved", moved))
}

func modelView(ids ...string) *View {
	v := NewView()
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 100000}})
	for _, id := range ids {
		v.Put(entry(id, "z"), start)
	}
	return v
}

func prompt(i int) Need {
	return Need{Service: "s", PromptTokens: 3000, Parts: []PromptPart{{fmt.Sprintf("shared-%d", i), 2500}, {fmt.Sprintf("own-%d", i), 500}}}
}

func TestOverloadedHomeIsAvoided(t *testing.T) {
	c := qt.New(t)
	v := modelView("a", "b")
	home, _ := v.Begin(prompt(1), start)
	v.SetPeerLoads(map[uint32]Load{KeyOf(home.Entry): {PendingTokens: 60000, Running: 20}}, start)
	other, _ := v.Begin(prompt(1), start)
	c.Check(other.ID, qt.Not(qt.Equals), home.ID)
	c.Check(other.PrefillTokens, qt.Equals, 3000)
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	cache := newPromptCache(1000)
	cache.add([]PromptPart{{"a", 300}, {"b", 300}})
	c.Check(cache.cachedPrefix([]PromptPart{{"a", 300}, {"b", 300}, {"c", 1}}), qt.Equals, 600)
	cache.add([]PromptPart{{"d", 300}})
	c.Check(cache.cachedPrefix([]PromptPart{{"a", 300}}), qt.Equals, 0)
	c.Check(cache.cachedPrefix([]PromptPart{{"d", 300}}), qt.Equals, 300)
	c.Check(cache.usedTokens <= cache.maxTokens, qt.IsTrue)
}

// TestFiguresToldBeforeTheConfigurationAreKept covers a starting daemon that receives engine
// figures from peers before its configuration.
func TestFiguresToldBeforeTheConfigurationAreKept(t *testing.T) {
	c := qt.New(t)
	received := pace.EngineEstimates{First: pace.Estimate{Coefficients: []float64{0.5, 1e-5, 1e-4, 0.01, 1e-6}, Samples: 500}}
	v := NewView()
	v.MergeEngineEstimates(map[string]pace.EngineEstimates{"s": received})
	v.Put(entry("a", "z"), start)
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 100_000}})
	choice, ok := v.Begin(prompt(1), start)
	c.Assert(ok, qt.IsTrue)
	c.Check(choice.Calibrated, qt.IsTrue)
	c.Check(choice.IdleWait > 450*time.Millisecond, qt.IsTrue, qt.Commentf("%v", choice.IdleWait))
}

// TestSlowServerIsLeft checks that a server whose first events take several times as long as
// predicted for its service gets fewer requests.
func TestSlowServerIsLeft(t *testing.T) {
	c := qt.New(t)
	v := modelView("a", "b", "c")
	now := start
	serve := func(i int, took time.Duration) string {
		choice, _ := v.Begin(prompt(i), now)
		if choice.ID == "a" {
			took *= 8
		}
		choice.RecordEvent(now.Add(took))
		choice.End(OutcomeServed, now.Add(took))
		return choice.ID
	}
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		serve(i, 100*time.Millisecond)
	}
	used := 0
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		if serve(1000+i, 100*time.Millisecond) == "a" {
			used++
		}
	}
	c.Check(used <= 10, qt.IsTrue, qt.Commentf("%d of 100", used))
}
