package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entryAt is an entry of an incarnation.
func entryAt(id string, bornMs, sequence int64) Entry {
	e := entry(id, "z-"+id)
	e.StartTimeMs, e.Sequence = bornMs, sequence
	return e
}

// TestRestartUnderTheSameID: what was known of the earlier incarnation is gone at once.
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
	c.Check(running.PrefillTokens, qt.Equals, 0, qt.Commentf("the prompt is kept there"))
	v.SetPeerLoads(map[uint32]Load{KeyOf(choice.Entry): {Running: 3, PendingTokens: 9000}}, start.Add(time.Second))
	for range 4 {
		failing, _ := v.Begin(need, start.Add(time.Second))
		failing.End(OutcomeFailed, start.Add(time.Second))
	}
	told := 0
	running.OnRestart(func() { told++ })

	again := start.Add(1100 * time.Millisecond)
	ended := v.Put(entryAt("a", 2000, 1), again)
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0].StartTimeMs, qt.Equals, int64(1000))
	c.Check(told, qt.Equals, 1)
	status := v.Servers(again)[0]
	c.Check(status.Load, qt.Equals, Load{}, qt.Commentf("neither own attempts nor what others told"))
	c.Check(status.Suspect, qt.IsFalse)
	v.SetPeerLoads(map[uint32]Load{KeyOf(choice.Entry): {Running: 3}}, again)
	c.Check(v.Servers(again)[0].Running, qt.Equals, 0, qt.Commentf("others tell of the earlier incarnation"))
	fresh, _ := v.Begin(need, again)
	c.Check(fresh.PrefillTokens, qt.Equals, 3100, qt.Commentf("it keeps nothing"))
	// Attempts at the earlier incarnation end without touching the new one.
	running.End(OutcomeFailed, again)
	choice.End(OutcomeServed, again)
	c.Check(v.Servers(again)[0].Running, qt.Equals, 1)
	c.Check(v.Servers(again)[0].Suspect, qt.IsFalse)
	running.OnRestart(func() { told++ })
	c.Check(told, qt.Equals, 2, qt.Commentf("told at once when the server is another already"))
}

// TestOlderWordsChangeNothing: entries may be told in any order, by writes that were
// carried out late or by peers that are behind.
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
			c.Check(v.Servers(start), qt.HasLen, 0, qt.Commentf("it does not come back by an older word"))
		})
	}
}

// TestRestartThatNobodySaw: the entry goes away and comes back within a cut, or only the
// list tells of it.
func TestRestartThatNobodySaw(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Replace([]Entry{entryAt("a", 1000, 5), entryAt("b", 1000, 5)}, Observed(start))
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a"}, start)
	told := false
	choice.OnRestart(func() { told = true })
	ended := v.Replace([]Entry{entryAt("a", 1500, 1), entryAt("b", 1000, 6)}, Observed(start.Add(time.Minute)))
	c.Check(ended, qt.HasLen, 1)
	c.Check(told, qt.IsTrue)
	// Within one heartbeat, draining before and after.
	drains := entryAt("b", 1000, 7)
	drains.Draining = true
	v.Put(drains, start.Add(time.Minute))
	c.Check(v.Put(entryAt("b", 1001, 1), start.Add(time.Minute)), qt.HasLen, 1)
	c.Check(v.Servers(start.Add(time.Minute))[1].Ready, qt.IsTrue)
}

// TestClocksThatStepTellNoRestart: incarnations are compared with each other, never with a
// clock of this daemon, whose time may step either way.
func TestClocksThatStepTellNoRestart(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	ahead := start.Add(time.Hour).UnixMilli()
	v.Put(entryAt("a", ahead, 5), start)
	c.Check(v.Put(entryAt("a", ahead, 6), start.Add(-time.Hour)), qt.HasLen, 0)
	c.Check(v.Put(entryAt("a", ahead, 7), start.Add(2*time.Hour)), qt.HasLen, 0)
	c.Check(v.Servers(start)[0].Ready, qt.IsTrue)
}

// TestEntriesWithoutIncarnation: where most servers tell it, an entry without it is of another
// writer. Where none does, all are used.
func TestEntriesWithoutIncarnation(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.Put(entry("a", "z-a"), start)
	c.Check(pick(v, start), qt.Equals, "a")
	// One that tells it, of another writer or the first of a new kind, takes none away.
	v.Put(entryAt("b", 1000, 1), start)
	c.Check(pick(v, start), qt.Equals, "a")
	v.Put(entryAt("c", 1000, 1), start)
	v.Put(entryAt("d", 1000, 1), start)
	c.Check(pick(v, start), qt.Not(qt.Equals), "a")
	v.Remove("b", start)
	c.Check(pick(v, start), qt.Equals, "a")
}
