package backend

import "time"

// emptyCachePeriod is how long a server that has started again is not taken for the home of prompts
// that it was before: it keeps nothing, and the daemons send it their shared parts anew one
// by one.
const emptyCachePeriod = 3 * time.Second

// supersedes reports whether an entry is from before what is known of the server: from an
// earlier incarnation, or an older word of the same. A write to the store may be carried
// out seconds after the server that sent it has died.
func (s *server) supersedes(e Entry) bool {
	if s.StartTimeMs == 0 || e.StartTimeMs == 0 {
		return false
	}
	return e.StartTimeMs < s.StartTimeMs || (e.StartTimeMs == s.StartTimeMs && e.Sequence < s.Sequence)
}

// isRestart reports whether an entry is from a later incarnation than the one known.
func (s *server) isRestart(e Entry) bool { return s.StartTimeMs != 0 && e.StartTimeMs > s.StartTimeMs }

// abandonAttempts lets go of an incarnation that is no more: its attempts learn of it. The caller holds
// the lock of the view.
func (s *server) abandonAttempts() {
	for choice := range s.attempts {
		if choice.onRestart != nil {
			choice.onRestart()
		}
	}
	clear(s.attempts)
}

// OnRestart sets what is called once when the server starts again before the attempt has
// ended: the incarnation that it was sent to holds and knows nothing any more. It must not
// call the view.
func (c *Choice) OnRestart(call func()) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.onRestart = call
	if c.view.servers[c.ID] != c.server {
		call()
	}
}
