package gossip

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFewPeersAreAskedAtOnce: however many have something newer.
func TestFewPeersAreAskedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := &Node{pulling: map[string]bool{}}
	begun := 0
	for i := range 20 {
		if n.beginPull(fmt.Sprintf("10.0.0.%d:1", i)) {
			begun++
		}
	}
	c.Check(begun, qt.Equals, mostPulls)
}
