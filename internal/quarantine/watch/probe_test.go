package watch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/quarantine"
)

// fakeServers are servers of which some have exited. It counts probes, which run concurrently,
// each from its own timer.
type fakeServers struct {
	exited map[string]bool

	mu         sync.Mutex
	probeCount int
}

// server returns the server with an ID.
func (f *fakeServers) server(key quarantine.ServerInstance, id string) Server {
	return Server{Key: key, ID: id, Exited: func(context.Context) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.probeCount++
		return f.exited[id]
	}}
}

// TestServersThatEndAreTold checks that all attempts that break at a server lead to one probe,
// and that a broken connection alone is not reported as an exit. A server that has restarted is
// reported as exited, though the new process answers at its address.
func TestServersThatEndAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		servers := &fakeServers{exited: map[string]bool{"dead": true}}
		w := New(Options{ReportInterval: func(time.Time) time.Duration { return 150 * time.Millisecond }, NotifyPeers: func() {}, Logger: slog.New(slog.DiscardHandler)})
		brokeAt := time.Now()
		for digest := range quarantine.Digest(5) {
			at := brokeAt.Add(time.Duration(digest) * time.Millisecond)
			w.RecordBrokenAttempt(servers.server(1, "dead"), quarantine.LostRequest{Fingerprint: quarantine.Fingerprint{Content: digest}, SentAt: brokeAt}, false, at)
		}
		w.RecordBrokenAttempt(servers.server(2, "alive"), quarantine.LostRequest{Fingerprint: quarantine.Fingerprint{Content: 9}, SentAt: brokeAt}, false, brokeAt)
		w.RecordBrokenAttempt(servers.server(3, "again"), quarantine.LostRequest{Fingerprint: quarantine.Fingerprint{Content: 10}, SentAt: brokeAt}, true, brokeAt)
		time.Sleep(time.Second)
		synctest.Wait()
		reported := map[quarantine.Digest]quarantine.ServerInstance{}
		for _, report := range w.Reports(time.Now()) {
			c.Assert(report.Exits, qt.HasLen, 1)
			reported[report.Digest] = report.Exits[0].Server
			// The exit time is that of the first broken attempt.
			c.Check(report.Exits[0].Age, qt.Equals, time.Since(brokeAt))
		}
		c.Check(reported, qt.DeepEquals, map[quarantine.Digest]quarantine.ServerInstance{0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 10: 3})
		c.Check(servers.probeCount, qt.Equals, 3)
	})
}
