package router

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/allowance"
	"github.com/plankridge/plankridge/internal/catalog"
	"github.com/plankridge/plankridge/internal/retrybudget"
)

// TestProcessThatStoodStillAsksOthers checks that a stall is detected whatever the process does
// first after it: the usage that others had in the meantime is missing, and onStall must be called.
func TestProcessThatStoodStillAsksOthers(t *testing.T) {
	for name, first := range map[string]func(a *limiters){
		"a request":          func(a *limiters) { a.Admit("w", 1, allowance.ClassOf(0, 1)) },
		"a report":           func(a *limiters) { a.ownCounters() },
		"a report of a peer": func(a *limiters) { a.applyReport(allowance.Report{VM: "vm"}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stalls := 0
				a := newLimiters(allowance.Tolerance{}, retrybudget.Bounds{}, slog.New(slog.DiscardHandler), func() { stalls++ })
				a.applyCatalog((&catalog.Catalog{Workspaces: []catalog.Workspace{{Name: "w", RatePerSecond: 1000, Burst: 1000}}}).Build())
				for range 100 {
					time.Sleep(allowance.StallThreshold / 3)
					a.ownCounters()
				}
				synctest.Wait()
				c.Check(stalls, qt.Equals, 0)
				c.Check(a.countedFor() >= allowance.StallThreshold, qt.IsTrue)

				time.Sleep(allowance.StallThreshold)
				first(a)
				synctest.Wait()
				c.Check(stalls, qt.Equals, 1)
				c.Check(a.countedFor(), qt.Equals, time.Duration(0))
			})
		})
	}
}
