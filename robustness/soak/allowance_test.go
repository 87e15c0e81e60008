package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// One workspace has an allowance, and from time to time asks for several times as much.
const (
	limitedWorkspace = "pit"
	limitedKey       = "key-pit"
	// callTokens is what a call of it counts for.
	callTokens = 200
	// limitedRate is in tokens a second, and so much the burst in tokens: 450 calls in a window.
	// loweredRate takes its place in every second play: callers then ask for 2 to 20 times as much.
	limitedRate = 10_000.0
	loweredRate = 2_000.0
	// limitedWindow is the window for which the allowance is meant. limitedOver and limitedSlack
	// are the tolerance: a share of it, and tokens besides.
	limitedWindow = 8 * time.Second
	limitedOver   = 0.1
	limitedSlack  = 9_000

	limitedCallers = 6
	// calmPause and hotPause are the longest times between two calls of a caller that asks for
	// its usual, half of the allowance, and of one that asks for some four times it.
	calmPause = 480 * time.Millisecond
	hotPause  = 50 * time.Millisecond
	// phase is the mean time for which callers keep to one of them.
	phase = 3 * time.Second
)

// runLimited sends calls of the workspace with an allowance. All its callers become hot at once.
func (c *callers) runLimited(seed uint64, caller int) {
	phases := rand.New(rand.NewPCG(seed, 3000))
	r := rand.New(rand.NewPCG(seed, uint64(3001+caller)))
	hot, until := false, time.Now()
	for n := 0; ; n++ {
		for !time.Now().Before(until) {
			hot = !hot
			until = until.Add(phase/2 + time.Duration(phases.Int64N(int64(phase))))
		}
		longest := calmPause
		if hot {
			longest = hotPause
		}
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(longest)))):
		}
		seen := c.send(call{id: fmt.Sprintf("eee%01x%012x", caller, n), path: "/a/x", key: limitedKey}, one(r, c.d.daemons))
		c.mu.Lock()
		c.outcomes = append(c.outcomes, seen)
		c.mu.Unlock()
	}
}

// span is when a call was sent, and when it reached a server that ran it.
type span struct{ sent, ran time.Time }

// allowed returns what a window that begins at a time may get.
func (d *deployment) allowed(begin time.Time) float64 {
	rate := limitedRate
	if d.lowered && !begin.Before(d.loweredAt) {
		rate = loweredRate
	}
	return rate*(limitedWindow.Seconds()+1)*(1+limitedOver) + limitedSlack
}

// overAllowance returns what is wrong if some window got more than the allowance, with its
// tolerance: calls that were both sent and run in it count, each time that they ran. The caller holds the lock.
func (c *callers) overAllowance() []string {
	spans := c.limitedSpans()
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i, from := range spans {
		used := 0.0
		for _, s := range spans[i:] {
			if s.ran.Sub(from.sent) <= limitedWindow {
				used += callTokens
			}
		}
		c.worstWindow = max(c.worstWindow, used/c.d.allowed(from.sent))
	}
	if c.worstWindow <= 1 {
		return nil
	}
	return []string{fmt.Sprintf("workspace %s ran %.3f of what it may in a window of %s", limitedWorkspace, c.worstWindow, limitedWindow)}
}

// limitedSpans returns the calls of the workspace that servers ran, one for each run.
func (c *callers) limitedSpans() []span {
	sent := map[string]time.Time{}
	for _, o := range c.outcomes {
		if o.key == limitedKey {
			sent[o.id] = o.sentAt
		}
	}
	var spans []span
	for _, s := range c.d.servers {
		for _, a := range s.runner.Arrivals() {
			if at, known := sent[a.ID]; a.Ran && known {
				spans = append(spans, span{sent: at, ran: a.At})
			}
		}
	}
	return spans
}
