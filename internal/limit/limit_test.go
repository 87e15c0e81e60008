package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/config"
)

func TestLimits(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter()
	now := time.Unix(1000, 0)
	c.Check(l.Admit("w", false, now).Admitted, qt.IsFalse)
	index := config.NewIndex(&config.Deployment{Workspaces: []config.Workspace{
		{Name: "w", Limits: config.Limits{RequestsPerSecond: 4, InFlight: 6}},
		{Name: "free"},
	}})
	l.ApplyConfig(index)
	l.SetDaemons(2)
	for range 3 {
		c.Assert(l.Admit("w", false, now).Admitted, qt.IsTrue)
	}
	verdict := l.Admit("w", false, now)
	c.Check(verdict.Admitted, qt.IsFalse)
	c.Check(verdict.RetryAfter, qt.Equals, inFlightRetryAfter)
	l.Release("w")
	c.Assert(l.Admit("w", false, now).Admitted, qt.IsTrue)
	l.Release("w")
	verdict = l.Admit("w", false, now)
	c.Check(verdict.Admitted, qt.IsFalse)
	c.Check(verdict.RetryAfter, qt.Equals, 500*time.Millisecond)
	l.ApplyConfig(index)
	c.Check(l.Admit("w", false, now).Admitted, qt.IsFalse)
	c.Check(l.Admit("w", false, now.Add(500*time.Millisecond)).Admitted, qt.IsTrue)
	for range 100 {
		c.Assert(l.Admit("free", false, now).Admitted, qt.IsTrue)
	}
}

// TestReconfiguredWorkspaceKeepsUsage guards against a workspace getting its limits twice when one
// configuration omits it and the next one lists it again.
func TestReconfiguredWorkspaceKeepsUsage(t *testing.T) {
	c := qt.New(t)
	l := NewLimiter()
	now := time.Unix(1000, 0)
	configured := config.NewIndex(&config.Deployment{Workspaces: []config.Workspace{{Name: "w", Limits: config.Limits{RequestsPerSecond: 4, InFlight: 3}}}})
	without := config.NewIndex(&config.Deployment{})
	l.ApplyConfig(configured)
	for range 3 {
		c.Assert(l.Admit("w", false, now).Admitted, qt.IsTrue)
	}
	l.ApplyConfig(without)
	c.Check(l.Admit("w", false, now).Reason, qt.Equals, "workspace is not known")
	l.ApplyConfig(configured)
	c.Check(l.Admit("w", false, now).Reason, qt.Equals, "workspace has too many requests in flight")
	for range 3 {
		l.Release("w")
	}
	c.Check(l.Admit("w", false, now).Admitted, qt.IsTrue)
	c.Check(l.Admit("w", false, now).Reason, qt.Equals, "workspace is above its rate")
	l.Release("w")
	c.Check(l.Admit("other", false, now.Add(time.Minute)).Admitted, qt.IsFalse)
	l.ApplyConfig(without)
	c.Check(l.workspaces, qt.HasLen, 0, qt.Commentf("an idle workspace is dropped"))
}
