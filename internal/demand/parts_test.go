package demand

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPartsAddUpToTheLoad guards against parts that decay or grow differently from the load that they
// are compared with.
func TestPartsAddUpToTheLoad(t *testing.T) {
	c := qt.New(t)
	m, now := NewMeter(), time.Unix(1000, 0)
	m.SetBootTime("s", 6*time.Second, now)
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		m.RecordRequest("s", Origin{Class: i % 3, Workspace: fmt.Sprint("w", i%4)}, Load{Prefill: 0.04, Batch: 0.01, Memory: 0.02}, now)
	}
	now = now.Add(time.Second)
	parts, total := m.Parts("s", now), m.Rates(now)["s"]
	sum, engines := Load{}, 0.0
	for _, load := range parts.ByClass {
		sum = sum.Add(load)
	}
	for _, of := range parts.ByWorkspace {
		engines += of
	}
	c.Check(math.Abs(sum.Prefill-total.Prefill) < 1e-9 && math.Abs(sum.Memory-total.Memory) < 1e-9, qt.IsTrue, qt.Commentf("%+v of %+v", sum, total))
	c.Check(math.Abs(engines-total.Prefill) < 1e-9, qt.IsTrue, qt.Commentf("%f of %+v", engines, total))
	c.Check(m.Origins("s", now.Add(2*time.Minute)), qt.HasLen, 0, qt.Commentf("origins without requests are forgotten"))
}

// TestSmallWorkspacesAreListedTogether guards against reports that grow with the number of workspaces,
// and against the loss of the demand that is not listed.
func TestSmallWorkspacesAreListedTogether(t *testing.T) {
	c := qt.New(t)
	byWorkspace, total := map[string]float64{"": 0.5}, 0.5
	for i := range 100 {
		byWorkspace[fmt.Sprint("w", i)] = float64(i)
		total += float64(i)
	}
	listed, sum := LargestWorkspaces(byWorkspace), 0.0
	for _, engines := range listed {
		sum += engines
	}
	c.Check(listed, qt.HasLen, MaxListedWorkspaces)
	c.Check(sum, qt.Equals, total)
	c.Check(listed["w99"], qt.Equals, 99.0)
}
