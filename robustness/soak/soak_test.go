package soak

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "number of seeds to play")
	first   = flag.Uint64("soak.first", 1, "first of the seeds")
	length  = flag.Duration("soak.length", 6*time.Second, "how long trouble goes on for each seed")
	daemons = flag.Int("soak.daemons", 6, "number of daemons")
)

// regressions are seeds that have failed, with the cause. They are played first.
var regressions = []uint64{}

// TestSoak plays seeds against real processes. The times of what happens differ
// from run to run; the promises that are checked hold whatever they are.
func TestSoak(t *testing.T) {
	played := slices.Clone(regressions)
	for i := range *seeds {
		played = append(played, *first+uint64(i))
	}
	for i, seed := range played {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { play(t, seed, i) })
	}
}

func play(t *testing.T, seed uint64, number int) {
	c := qt.New(t)
	// Subnets of running tests must differ.
	d := start(t, (os.Getpid()+number)%250+1, *daemons)
	c.Assert(d.ready(), qt.IsTrue)
	callers := d.call(seed)
	if seed%2 == 1 {
		c.Assert(d.lower(), qt.IsTrue, qt.Commentf("a lowered allowance is not in force"))
	}
	counts := d.trouble(seed, *length)
	c.Check(d.ready(), qt.IsTrue, qt.Commentf("not all daemons came back"))
	c.Check(callers.heldBackEverywhere(false), qt.IsTrue, qt.Commentf("a request that ends servers is not held back"))
	c.Check(callers.heldBackEverywhere(true), qt.IsTrue, qt.Commentf("a part that ends servers is not held back"))
	callers.end()
	broken := callers.broken()
	c.Check(broken, qt.HasLen, 0)
	served := 0
	for _, o := range callers.outcomes {
		if o.status == 200 && o.whole {
			served++
		}
	}
	c.Check(served > 0, qt.IsTrue)
	t.Logf("seed %d: %d requests, %d served whole, %d broken promises, %.3f of the allowance and %.3f of the retry budget in the worst windows",
		seed, len(callers.outcomes), served, len(broken), callers.worstWindow, callers.worstRetries)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("  %2d x %s", counts[name], name)
	}
	if t.Failed() {
		d.keepLogs(t, seed)
	}
}

// keepLogs copies the daemons' logs to where they outlast the test.
func (d *deployment) keepLogs(t *testing.T, seed uint64) {
	folder := filepath.Join(os.TempDir(), fmt.Sprintf("plankridge-soak-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Logf("logs not kept: %v", err)
		return
	}
	for _, p := range d.daemons {
		raw, err := os.ReadFile(p.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, p.id+".log"), raw, 0o600)
		}
		if err != nil {
			t.Logf("log of %s not kept: %v", p.id, err)
		}
	}
	t.Logf("logs are in %s", folder)
}
