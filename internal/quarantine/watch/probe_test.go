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

// fakeServers are servers of which some have ended. It counts how often they are asked; servers are
// asked at once, each by its own timer.
type fakeServers struct {
	exited map[string]bool

	mu         sync.Mutex
	probeCount int
}

// server returns one of them.
func (m *fakeServers) server(key quarantine.ServerInstance, id string) Server {
	return Server{Key: key, ID: id, Exited: func(context.Context) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.probeCount++
		return m.exited[id]
	}}
}

// TestServersThatEndAreTold: attempts that break at a server together are asked for once, and
// a connection that broke alone tells of no end. One that has started again has ended, though
// somebody listens at its address.
func TestServersThatEndAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		servers := &fakeServers{exited: map[string]bool{"dead": true}}
		w := New(Options{ReportInterval: func(time.Time) time.Duration { return 150 * time.Millisecond }, NotifyPeers: func() {}, Logger: slog.New(slog.DiscardHandler)})
		broke := time.Now()
		for content := range quarantine.Digest(5) {
			at := broke.Add(time.Duration(content) * time.Millisecond)
			w.RecordBrokenAttempt(servers.server(1, "dead"), quarantine.LostRequest{Digest: content, SentAt: broke}, false, at)
		}
		w.RecordBrokenAttempt(servers.server(2, "alive"), quarantine.LostRequest{Digest: 9, SentAt: broke}, false, broke)
		w.RecordBrokenAttempt(servers.server(3, "again"), quarantine.LostRequest{Digest: 10, SentAt: broke}, true, broke)
		time.Sleep(time.Second)
		synctest.Wait()
		told := map[quarantine.Digest]quarantine.ServerInstance{}
		for _, word := range w.Reports(time.Now()) {
			c.Assert(word.Exits, qt.HasLen, 1)
			told[word.Digest] = word.Exits[0].Server
			// All ended when the first attempt broke there.
			c.Check(word.Exits[0].Age, qt.Equals, time.Since(broke))
		}
		c.Check(told, qt.DeepEquals, map[quarantine.Digest]quarantine.ServerInstance{0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 10: 3})
		c.Check(servers.probeCount, qt.Equals, 3)
	})
}
