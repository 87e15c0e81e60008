package backend

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShortPromptsAvoidNoticedServers checks that a short prompt avoids its home as soon as another
// daemon has announced a long prompt there, and returns when the load sums no longer contain it.
func TestShortPromptsAvoidNoticedServers(t *testing.T) {
	c := qt.New(t)
	v := modelView("a", "b", "c", "d")
	home, _ := v.Begin(prompt(1), start)
	home.End(OutcomeNeutral, start)
	v.RecordNotice(KeyOf(home.Entry), PromptLoad(0, 50_000), start)
	other, _ := v.Begin(prompt(1), start)
	c.Check(other.ID, qt.Not(qt.Equals), home.ID)
	other.End(OutcomeNeutral, start)
	later := start.Add(noticeTTL)
	v.SetPeerLoads(nil, later)
	again, _ := v.Begin(prompt(1), later)
	c.Check(again.ID, qt.Equals, home.ID)
}

// TestNoticesAreNotAddedToPeerLoads checks that load that was announced and is also contained in
// the load sums is counted once.
func TestNoticesAreNotAddedToPeerLoads(t *testing.T) {
	c := qt.New(t)
	v := modelView("a")
	v.RecordNotice(KeyOf(Entry{ID: "a"}), PromptLoad(0, 30_000), start)
	v.SetPeerLoads(map[uint32]Load{KeyOf(Entry{ID: "a"}): {Running: 1, PendingTokens: 30_000}}, start.Add(100*time.Millisecond))
	c.Check(v.Servers(start.Add(100 * time.Millisecond))[0].PendingTokens, qt.Equals, 30_000)
	v.RecordNotice(KeyOf(Entry{ID: "a"}), PromptLoad(0, 5_000), start.Add(100*time.Millisecond))
	c.Check(v.Servers(start.Add(100 * time.Millisecond))[0].PendingTokens, qt.Equals, 35_000)
}

// TestLongPromptsDoNotHoldUpShortOnes simulates 7 daemons that receive load sums every 0.3 s. They
// are sent many short prompts and an occasional long one. With notices fewer short prompts must
// queue behind a long one.
func TestLongPromptsDoNotHoldUpShortOnes(t *testing.T) {
	c := qt.New(t)
	without, with := countShortsBehindLong(false), countShortsBehindLong(true)
	c.Check(with*4 <= without, qt.IsTrue, qt.Commentf("%d with notices, %d without", with, without))
}

// countShortsBehindLong returns how many short prompts were sent to a server that was processing a
// long prompt.
func countShortsBehindLong(notices bool) int {
	const daemons, servers, prefill = 7, 12, 400 * time.Millisecond
	views := make([]*View, daemons)
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprintf("s%02d", i))
	}
	for i := range views {
		views[i] = modelView(ids...)
	}
	busyUntil := map[string]time.Time{}
	var longs []*Choice
	behind := 0
	for tick := range 2000 {
		now := start.Add(time.Duration(tick) * 6 * time.Millisecond)
		if tick%50 == 0 {
			for i, v := range views {
				v.SetPeerLoads(peerLoadsOf(views, i), now)
			}
		}
		for len(longs) > 0 && !now.Before(busyUntil[longs[0].ID]) {
			longs[0].End(OutcomeNeutral, now)
			longs = longs[1:]
		}
		v := views[tick%daemons]
		if tick%40 == 0 {
			long, _ := v.Begin(Need{Service: "s", PromptTokens: 40_000, Parts: []PromptPart{{fmt.Sprint("long", tick), 40_000}}, Target: 500 * time.Millisecond}, now)
			busyUntil[long.ID] = now.Add(prefill)
			if notices && long.LongPrefill {
				for _, other := range views {
					if other != v {
						other.RecordNotice(KeyOf(long.Entry), long.Prompt(), now)
					}
				}
			}
			longs = append(longs, long)
			continue
		}
		short, _ := v.Begin(Need{Service: "s", PromptTokens: 300, Parts: []PromptPart{{fmt.Sprint("short", tick), 300}}, Target: 250 * time.Millisecond}, now)
		if now.Before(busyUntil[short.ID]) {
			behind++
		}
		short.End(OutcomeNeutral, now)
	}
	return behind
}

// peerLoadsOf returns the sum of the loads of all daemons except one.
func peerLoadsOf(views []*View, but int) map[uint32]Load {
	sum := map[uint32]Load{}
	for i, v := range views {
		if i == but {
			continue
		}
		for key, load := range v.OwnLoads() {
			sum[key] = sum[key].Plus(load)
		}
	}
	return sum
}
