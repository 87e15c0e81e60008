package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
)

// Advised merges what the answer to an attempt says of the server, and returns its limit before
// and after.
func (c *Choice) Advised(a advice.Advice, answered time.Time) (before, after advice.Limit) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	before = c.server.limit
	c.server.limit = before.Observe(a, c.begun, answered)
	return before, c.server.limit
}
