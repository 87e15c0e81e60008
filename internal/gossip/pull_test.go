package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var pullStart = time.Unix(1000, 0)

// TestConcurrentPullsAreBounded: however many have something newer.
func TestConcurrentPullsAreBounded(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulls: map[string]*pullState{}}
	asked := 0
	for i := range 20 {
		if n.beginPull(fmt.Sprintf("10.0.0.%d:1", i), pullStart) {
			asked++
		}
	}
	c.Check(asked, qt.Equals, maxConcurrentPulls)
}

// TestPullIsRepeatedAfterANewerReport: what it told of while it was being asked is fetched next, without
// waiting for its next report.
func TestPullIsRepeatedAfterANewerReport(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulls: map[string]*pullState{}}
	c.Check(n.beginPull("10.0.0.1:1", pullStart), qt.IsTrue)
	c.Check(n.endPull("10.0.0.1:1", pullStart), qt.IsFalse)
	c.Check(n.beginPull("10.0.0.1:1", pullStart), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.1:1", pullStart), qt.IsFalse)
	c.Check(n.beginPull("10.0.0.1:1", pullStart), qt.IsFalse)
	c.Check(n.endPull("10.0.0.1:1", pullStart), qt.IsTrue)
	c.Check(n.endPull("10.0.0.1:1", pullStart), qt.IsFalse)
	c.Check(n.pulls, qt.HasLen, 0)
}

// TestSilentPeersHoldNobodyUp: peers that have lost power while they are asked answer nothing for
// seconds; what others have is fetched meanwhile.
func TestSilentPeersHoldNobodyUp(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulls: map[string]*pullState{}}
	c.Assert(n.beginPull("10.0.0.1:1", pullStart), qt.IsTrue)
	c.Assert(n.beginPull("10.0.0.2:1", pullStart), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.3:1", pullStart.Add(slowPullAfter-time.Millisecond)), qt.IsFalse)
	c.Check(n.beginPull("10.0.0.3:1", pullStart.Add(slowPullAfter)), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.4:1", pullStart.Add(slowPullAfter)), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.5:1", pullStart.Add(slowPullAfter)), qt.IsFalse)
}
