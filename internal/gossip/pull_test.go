package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var pullStart = time.Unix(1000, 0)

// TestConcurrentPullsAreBounded checks the bound when many peers report newer data at
// once.
func TestConcurrentPullsAreBounded(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulls: map[string]*pullState{}}
	started := 0
	for i := range 20 {
		if n.beginPull(fmt.Sprintf("10.0.0.%d:1", i), pullStart) {
			started++
		}
	}
	c.Check(started, qt.Equals, maxConcurrentPulls)
}

// TestPullIsRepeatedAfterANewerReport checks that data reported during a call is fetched
// by a second call, without waiting for the peer's next report.
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

// TestSilentPeersHoldNobodyUp checks that calls to peers that lost power, which do not
// answer for seconds, do not block calls to other peers.
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
