package backend

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// promptParts returns a part that all prompts share, one that the prompts of a session share, and
// an own part.
func promptParts(session, own string) []PromptPart {
	return []PromptPart{{ID: "all", Tokens: 2500}, {ID: session, Tokens: 4000}, {ID: own, Tokens: 2000}}
}

func engineView(fetchRate float64, ids ...string) *View {
	v := NewView()
	v.SetTraits(map[string]Traits{"s": {CacheTokens: 200_000, FetchRate: fetchRate}})
	for _, id := range ids {
		e := entry(id, "z-"+id)
		e.Slots = 128
		v.Put(e, start)
	}
	return v
}

func beginPrompt(v *View, session, own string) *Choice {
	choice, _ := v.Begin(Need{Service: "s", Zone: "z-a", PromptTokens: 8500, Parts: promptParts(session, own)}, start)
	return choice
}

// loadWithSession begins as many prompts of one session as servers are to be loaded, and adds
// pending tokens to each picked server so that the next prompt goes elsewhere.
func loadWithSession(v *View, session string, servers int) []*Choice {
	var choices []*Choice
	for i := range servers {
		choice := beginPrompt(v, session, string(rune('A'+i)))
		choice.RecordEvent(start)
		choice.server.ownLoad.PendingTokens += 40_000
		choices = append(choices, choice)
	}
	return choices
}

func TestPromptIsCopiedFromBusyHome(t *testing.T) {
	c := qt.New(t)
	v := engineView(124_000, "a", "b", "c")
	home := loadWithSession(v, "session", 1)[0]
	other := beginPrompt(v, "session", "B")
	c.Assert(other.ID, qt.Not(qt.Equals), home.ID)
	c.Check(other.FetchFrom, qt.Equals, home.Address)
	c.Check(other.PrefillTokens, qt.Equals, 2000)
}

func TestNothingIsCopiedWhereEnginesCannot(t *testing.T) {
	c := qt.New(t)
	v := engineView(0, "a", "b", "c")
	home := loadWithSession(v, "session", 1)[0]
	other := beginPrompt(v, "session", "B")
	c.Assert(other.ID, qt.Not(qt.Equals), home.ID)
	c.Check(other.FetchFrom, qt.Equals, "")
	c.Check(other.PrefillTokens, qt.Equals, 8500)
}

func TestNothingIsCopiedFromASuspectServer(t *testing.T) {
	c := qt.New(t)
	v := engineView(124_000, "a", "b", "c")
	home := loadWithSession(v, "session", 1)[0]
	home.End(OutcomeFailed, start)
	other := beginPrompt(v, "session", "B")
	c.Assert(other.ID, qt.Not(qt.Equals), home.ID)
	c.Check(other.FetchFrom, qt.Equals, "")
}

func TestServerWithCachedPromptFetchesNothing(t *testing.T) {
	c := qt.New(t)
	v := engineView(124_000, "a", "b", "c")
	first := beginPrompt(v, "session", "A")
	first.RecordEvent(start)
	again := beginPrompt(v, "session", "B")
	c.Check(again.ID, qt.Equals, first.ID)
	c.Check(again.FetchFrom, qt.Equals, "")
	c.Check(again.PrefillTokens, qt.Equals, 2000)
}

func TestNothingIsCopiedFromAServerOfAnotherVersion(t *testing.T) {
	c := qt.New(t)
	v := engineView(124_000, "a", "b", "c")
	home := loadWithSession(v, "session", 1)[0]
	for _, id := range []string{"a", "b", "c"} {
		if id == home.ID {
			continue
		}
		e := v.servers[id].Entry
		e.Version = "v2"
		v.Put(e, start)
	}
	other := beginPrompt(v, "session", "B")
	c.Assert(other.ID, qt.Not(qt.Equals), home.ID)
	c.Check(other.FetchFrom, qt.Equals, "")
	c.Check(other.PrefillTokens, qt.Equals, 8500)
}
