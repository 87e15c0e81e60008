package robustness

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLateRequestIsSentToAnotherDaemon sends a request on a connection that was
// opened before the daemon stopped to take requests.
func TestLateRequestIsSentToAnotherDaemon(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		id := b.slowOrder("o-6") // keeps its owner until the deadline
		node := b.owner(id)
		b.d.StandIns.Fleet.Reclaim(node.Daemon.VM().ID, 4*time.Second)
		time.Sleep(2600 * time.Millisecond)
		b.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		resp, body := b.call(http.MethodPost, "http://"+node.Daemon.CallerAddress()+"/services/app-carriere/weighings", "pesee", `{}`)
		b.Check(resp.StatusCode, qt.Equals, http.StatusTemporaryRedirect, qt.Commentf("%s", body))
		b.Check(resp.Header.Get("Location"), qt.Equals, "/services/app-carriere/weighings")
		b.Check(resp.Close, qt.IsTrue)
		b.Check(body, qt.Contains, `"outcome":"not-run"`)
	})
}
