package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/store"
)

// emptyCachePeriod is how long a restarted server is not assumed to have cached the prompts that it
// is the home of. Its cache is empty after the restart and is filled as the daemons send it their
// shared parts again.
const emptyCachePeriod = 3 * time.Second

// supersedes reports whether the known state is newer than an entry: the entry is from an earlier
// incarnation, or from the same one with a lower sequence. A write to the store may be applied
// seconds after the server that sent it has died.
func (s *server) supersedes(e Entry) bool {
	if s.StartTimeMs == 0 || e.StartTimeMs == 0 {
		return false
	}
	return e.StartTimeMs < s.StartTimeMs || (e.StartTimeMs == s.StartTimeMs && e.Sequence < s.Sequence)
}

// hasLeftBefore reports whether the server is known to leave or to be gone, and an entry is from a copy
// of the store that is older than this knowledge.
func (s *server) hasLeftBefore(e Entry) bool {
	isCopy := store.EraOf(e.Revision) > store.EraOf(s.Revision) && e.Sequence <= s.Sequence
	return isCopy && e.StartTimeMs == s.StartTimeMs && (s.Draining || !s.listed) && !e.Draining
}

// isRestart reports whether an entry is from a later incarnation than the known one.
func (s *server) isRestart(e Entry) bool { return s.StartTimeMs != 0 && e.StartTimeMs > s.StartTimeMs }

// abandonAttempts calls onRestart for the attempts at an incarnation that has ended, and forgets
// them. The caller holds the lock of the view.
func (s *server) abandonAttempts() {
	for choice := range s.attempts {
		if choice.onRestart != nil {
			choice.onRestart()
		}
	}
	clear(s.attempts)
}

// OnRestart sets a function that is called once if the server restarts before the attempt has
// ended, because the new incarnation has no state of the attempt. It is called at once if the
// server has restarted already. The function is called with the view locked and must not call the
// view.
func (c *Choice) OnRestart(call func()) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.onRestart = call
	if c.view.servers[c.ID] != c.server {
		call()
	}
}
