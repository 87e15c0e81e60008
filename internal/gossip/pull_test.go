package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var begun = time.Unix(1000, 0)

// TestFewPeersAreAskedAtOnce: however many have something newer.
func TestFewPeersAreAskedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulling: map[string]*pulling{}}
	asked := 0
	for i := range 20 {
		if n.beginPull(fmt.Sprintf("10.0.0.%d:1", i), begun) {
			asked++
		}
	}
	c.Check(asked, qt.Equals, mostPulls)
}

// TestPeerIsAskedAgain: what it told of while it was being asked is fetched next, without
// waiting for its next report.
func TestPeerIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulling: map[string]*pulling{}}
	c.Check(n.beginPull("10.0.0.1:1", begun), qt.IsTrue)
	c.Check(n.endPull("10.0.0.1:1", begun), qt.IsFalse)
	c.Check(n.beginPull("10.0.0.1:1", begun), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.1:1", begun), qt.IsFalse)
	c.Check(n.beginPull("10.0.0.1:1", begun), qt.IsFalse)
	c.Check(n.endPull("10.0.0.1:1", begun), qt.IsTrue)
	c.Check(n.endPull("10.0.0.1:1", begun), qt.IsFalse)
	c.Check(n.pulling, qt.HasLen, 0)
}

// TestSilentPeersHoldNobodyUp: peers that have lost power while they are asked answer nothing for
// seconds; what others have is fetched meanwhile.
func TestSilentPeersHoldNobodyUp(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulling: map[string]*pulling{}}
	c.Assert(n.beginPull("10.0.0.1:1", begun), qt.IsTrue)
	c.Assert(n.beginPull("10.0.0.2:1", begun), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.3:1", begun.Add(slowPull-time.Millisecond)), qt.IsFalse)
	c.Check(n.beginPull("10.0.0.3:1", begun.Add(slowPull)), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.4:1", begun.Add(slowPull)), qt.IsTrue)
	c.Check(n.beginPull("10.0.0.5:1", begun.Add(slowPull)), qt.IsFalse)
}
