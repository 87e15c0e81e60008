package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNoticeRecipientsAreSampled: where there are many daemons some are drawn, not always the same ones.
func TestNoticeRecipientsAreSampled(t *testing.T) {
	c := qt.New(t)
	told := map[string]bool{}
	for range 200 {
		var peers []Peer
		for i := range 80 {
			peers = append(peers, Peer{VM: fmt.Sprint(i)})
		}
		few := samplePeers(peers, maxNoticeRecipients)
		c.Assert(few, qt.HasLen, maxNoticeRecipients)
		for _, p := range few {
			told[p.VM] = true
		}
	}
	c.Check(told, qt.HasLen, 80)
	c.Check(samplePeers([]Peer{{VM: "a"}}, maxNoticeRecipients), qt.HasLen, 1)
}

// TestNoticesAreBounded: however many large prompts there are, a daemon tells of two a
// second.
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
