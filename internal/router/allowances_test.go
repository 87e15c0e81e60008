package router

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
)

// TestProcessThatStoodStillAsksOthers: whatever it does first, it knows that it has missed what
// others used, and lets them know.
func TestProcessThatStoodStillAsksOthers(t *testing.T) {
	for name, first := range map[string]func(a *limiters){
		"a request":        func(a *limiters) { a.Admit("w", 1) },
		"a report":         func(a *limiters) { a.ownCounters() },
		"a report of peer": func(a *limiters) { a.applyReport(allowance.Report{VM: "vm"}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				asked := 0
				a := newLimiters(allowance.Tolerance{}, slog.New(slog.DiscardHandler), func() { asked++ })
				a.applyCatalog((&catalog.Catalog{Workspaces: []catalog.Workspace{{Name: "w", RatePerSecond: 1000, Burst: 1000}}}).Build())
				for range 100 {
					time.Sleep(allowance.StallThreshold / 3)
					a.ownCounters()
				}
				synctest.Wait()
				c.Check(asked, qt.Equals, 0)
				c.Check(a.countedFor() >= allowance.StallThreshold, qt.IsTrue)

				time.Sleep(allowance.StallThreshold)
				first(a)
				synctest.Wait()
				c.Check(asked, qt.Equals, 1)
				c.Check(a.countedFor(), qt.Equals, time.Duration(0))
			})
		})
	}
}
