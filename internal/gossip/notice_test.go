package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNoticeRecipientsAreSampled checks that in a large deployment each notice goes to a
// different random sample.
func TestNoticeRecipientsAreSampled(t *testing.T) {
	c := qt.New(t)
	recipients := map[string]bool{}
	for range 200 {
		var peers []Peer
		for i := range 80 {
			peers = append(peers, Peer{VM: fmt.Sprint(i)})
		}
		sample := samplePeers(peers, maxNoticeRecipients)
		c.Assert(sample, qt.HasLen, maxNoticeRecipients)
		for _, p := range sample {
			recipients[p.VM] = true
		}
	}
	c.Check(recipients, qt.HasLen, 80)
	c.Check(samplePeers([]Peer{{VM: "a"}}, maxNoticeRecipients), qt.HasLen, 1)
}

// TestNoticesAreBounded checks that a daemon sends at most two notices per second,
// however many large prompts arrive.
func TestNoticesAreBounded(t *testing.T) {
	c := qt.New(t)
	limiter, now, sent := newNoticeLimiter(), time.Unix(1000, 0), 0
	for tick := range 1000 {
		if limiter.AllowN(now.Add(time.Duration(tick)*10*time.Millisecond), 1) {
			sent++
		}
	}
	c.Check(sent <= 10*maxNoticesPerSecond+noticeBurst, qt.IsTrue, qt.Commentf("%d in ten seconds", sent))
}
