package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entryAt returns an entry of an incarnation that started at startMs.
func entryAt(id string, startMs, sequence int64) Entry {
	e := entry(id, "z-"+id)
	e.StartTimeMs, e.Sequence = startMs, sequence
	return e
}

// TestRestartUnderTheSameID checks that all state of the earlier incarnation is dropped at once.
func TestRestartUnderTheSameID(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 100_000, EventTokens: 3}})
	v.Put(entryAt("a", 1000, 7), start)
	parts := []PromptPart{{ID: "shared", Tokens: 3000}, {ID: "own", Tokens: 100}}
	need := Need{Service: "s", Zone: "z-a", Target: time.Second, PromptTokens: 3100, Parts: parts}

	choice, _ := v.Begin(need, start)
	choice.RecordEvent(start.Add(100 * time.Millisecond))
	running, _ := v.Begin(need, start.Add(time.Second))
	c.Check(running.PrefillTokens, qt.Equals, 0, qt.Commentf("the prompt is cached there"))
	v.SetPeerLoads(map[uint32]Load{KeyOf(choice.Entry): {Running: 3, PendingTokens: 9000}}, start.Add(time.Second))
	for range 4 {
		failing, _ := v.Begin(need, start.Add(time.Second))
		failing.End(OutcomeFailed, start.Add(time.Second))
	}
	restarts := 0
	running.OnRestart(func() { restarts++ })

	again := start.Add(1100 * time.Millisecond)
	ended := v.Put(entryAt("a", 2000, 1), again)
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0].StartTimeMs, qt.Equals, int64(1000))
	c.Check(restarts, qt.Equals, 1)
	status := v.Servers(again)[0]
	c.Check(status.Load, qt.Equals, Load{}, qt.Commentf("neither own attempts nor loads of peers"))
	c.Check(status.Suspect, qt.IsFalse)
	v.SetPeerLoads(map[uint32]Load{KeyOf(choice.Entry): {Running: 3}}, again)
	c.Check(v.Servers(again)[0].Running, qt.Equals, 0, qt.Commentf("the loads of peers are of the earlier incarnation"))
	fresh, _ := v.Begin(need, again)
	c.Check(fresh.PrefillTokens, qt.Equals, 3100, qt.Commentf("its cache is empty"))
	// Attempts at the earlier incarnation must not affect the new one when they end.
	running.End(OutcomeFailed, again)
	choice.End(OutcomeServed, again)
	c.Check(v.Servers(again)[0].Running, qt.Equals, 1)
	c.Check(v.Servers(again)[0].Suspect, qt.IsFalse)
	running.OnRestart(func() { restarts++ })
	c.Check(restarts, qt.Equals, 2, qt.Commentf("called at once after a restart"))
}

// TestOlderWordsChangeNothing checks that older entries are ignored. Entries may arrive in any
// order, from writes that were applied late or from peers that lag behind.
func TestOlderWordsChangeNothing(t *testing.T) {
	draining := func(e Entry) Entry { e.Draining = true; return e }
	moved := func(e Entry) Entry { e.Address = "elsewhere:80"; return e }
	for name, older := range map[string]Entry{
		"earlier incarnation":                   moved(entryAt("a", 1000, 99)),
		"earlier incarnation drains":            draining(entryAt("a", 1000, 99)),
		"same incarnation, lower sequence":      moved(entryAt("a", 2000, 4)),
		"same incarnation, lower, that drained": draining(entryAt("a", 2000, 4)),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := NewView()
			v.Put(entryAt("a", 2000, 5), start)
			c.Check(v.Put(older, start), qt.HasLen, 0)
			got := v.Servers(start)[0]
			c.Check(got.Address, qt.Equals, "a:80")
			c.Check(got.Ready, qt.IsTrue)
			c.Check(v.Replace([]Entry{older}, Observed(start)), qt.HasLen, 0)
			c.Check(pick(v, start), qt.Equals, "a")
			v.Remove("a", start)
			v.Put(older, start)
			c.Check(v.Servers(start), qt.HasLen, 0, qt.Commentf("an older entry does not bring it back"))
		})
	}
}

// TestRestartThatNobodySaw covers restarts that show only in a complete list, for example after a
// network partition, or within one heartbeat.
func TestRestartThatNobodySaw(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Replace([]Entry{entryAt("a", 1000, 5), entryAt("b", 1000, 5)}, Observed(start))
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a"}, start)
	restarted := false
	choice.OnRestart(func() { restarted = true })
	ended := v.Replace([]Entry{entryAt("a", 1500, 1), entryAt("b", 1000, 6)}, Observed(start.Add(time.Minute)))
	c.Check(ended, qt.HasLen, 1)
	c.Check(restarted, qt.IsTrue)
	// A restart within one heartbeat of a draining server.
	drains := entryAt("b", 1000, 7)
	drains.Draining = true
	v.Put(drains, start.Add(time.Minute))
	c.Check(v.Put(entryAt("b", 1001, 1), start.Add(time.Minute)), qt.HasLen, 1)
	c.Check(v.Servers(start.Add(time.Minute))[1].Ready, qt.IsTrue)
}

// TestClocksThatStepTellNoRestart checks that incarnations are compared only with each other, never
// with the clock of this daemon, which may step in either direction.
func TestClocksThatStepTellNoRestart(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	ahead := start.Add(time.Hour).UnixMilli()
	v.Put(entryAt("a", ahead, 5), start)
	c.Check(v.Put(entryAt("a", ahead, 6), start.Add(-time.Hour)), qt.HasLen, 0)
	c.Check(v.Put(entryAt("a", ahead, 7), start.Add(2*time.Hour)), qt.HasLen, 0)
	c.Check(v.Servers(start)[0].Ready, qt.IsTrue)
}

// TestEntriesWithoutIncarnation checks that an entry without an incarnation is not used if most
// servers report one, because something else wrote it, and that all are used if few or none report
// one.
func TestEntriesWithoutIncarnation(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Put(entry("a", "z-a"), start)
	c.Check(pick(v, start), qt.Equals, "a")
	// A single entry with an incarnation, of a foreign writer or of the first upgraded server,
	// excludes no other.
	v.Put(entryAt("b", 1000, 1), start)
	c.Check(pick(v, start), qt.Equals, "a")
	v.Put(entryAt("c", 1000, 1), start)
	v.Put(entryAt("d", 1000, 1), start)
	c.Check(pick(v, start), qt.Not(qt.Equals), "a")
	v.Remove("b", start)
	c.Check(pick(v, start), qt.Equals, "a")
}
