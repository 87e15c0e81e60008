package robustness

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/keys"
)

// TestShutdownReleasesKeysWhilePeersAreSilent guards against slots of idempotency keys that nobody serves because the
// daemon that stops first hands over each unread answer to peers that do not answer.
func TestShutdownReleasesKeysWhilePeersAreSilent(t *testing.T) {
	runKeyed(t, func(b *bed) {
		leaving := b.d.Nodes[0]
		for i := range 10 {
			resp, _ := b.call(http.MethodPost, "http://"+leaving.Daemon.CallerAddress()+ordersURL, "commandes", `{"blocks":2}`,
				"X-Reference", fmt.Sprintf("o-%d", i), "Prefer", "respond-async")
			b.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
		}
		time.Sleep(2 * time.Second)
		leaving.Drain()
		begun := time.Now()
		time.Sleep(2900 * time.Millisecond)
		for _, other := range b.d.Nodes[1:] {
			b.plane.Net.Silence(leaving.Host.IP, other.Host.IP)
		}
		time.Sleep(10 * time.Second)
		b.Check(b.keySlots()-leaving.Daemon.KeySlots(), qt.Equals, 3*keys.SlotsPerZone)
		b.Check(leaving.Wait(), qt.IsNil)
		b.Check(time.Since(begun) < 13*time.Second, qt.IsTrue, qt.Commentf("the daemon ended after %s", time.Since(begun)))
	})
}
