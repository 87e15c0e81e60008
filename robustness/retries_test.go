package robustness

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/dev"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/standin/modelengine"
)

const (
	// retryWindow, retryRatio and extraRetries are the retry budget of the default settings.
	retryWindow  = 10 * time.Second
	retryRatio   = 0.2
	extraRetries = 50.0
	// declinedFor is how long engines decline what they get, and declinedEach the time between requests.
	declinedFor  = 24 * time.Second
	declinedEach = 50 * time.Millisecond
)

// TestRetriesOfTheOwnInterfaceStayWithinTheBudget guards against daemons that each retry as often as their
// requests last, and against processes that have the whole budget again.
func TestRetriesOfTheOwnInterfaceStayWithinTheBudget(t *testing.T) {
	for _, play := range []struct {
		name    string
		daemons int
		trouble func(b *bed)
	}{
		{"calm", 6, func(*bed) {}},
		{"all start again", 6, startAllAgain},
		{"all start again", 60, startAllAgain},
		{"a daemon is cut off", 6, func(b *bed) {
			for _, other := range b.d.Nodes[1:] {
				b.plane.Net.Cut(b.d.Nodes[0].Host.IP, other.Host.IP)
			}
		}},
		{"the list of VMs is away", 6, func(b *bed) { b.d.StandIns.Fleet.ListFaults.Set(faults.State{Outage: true}) }},
	} {
		t.Run(fmt.Sprintf("%s, %d daemons", play.name, play.daemons), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playDeclined(startDaemons(t, play.daemons), play.trouble) })
		})
	}
}

// startDaemons starts a deployment of at least so many daemons.
func startDaemons(t *testing.T, daemons int) *bed {
	b := startWith(t, dev.Options{
		Example: "ndiaye", Logger: slog.New(slog.NewTextHandler(logOutput(), nil)), ListLag: time.Second,
		OnViolation: func(err error) { t.Errorf("invariant violated: %v", err) },
	})
	zones := b.d.StandIns.Deployment().Zones
	for n := len(b.d.Nodes); n < daemons; n++ {
		zone := zones[n%len(zones)].Name
		_, err := b.d.StartNode(fmt.Sprintf("%s-entry-%d", zone, n), zone, b.plane.NewHost())
		b.Assert(err, qt.IsNil)
	}
	b.Assert(b.d.WaitReady(t.Context()), qt.IsNil)
	time.Sleep(2 * retryWindow)
	return b
}

// startAllAgain ends the processes of all daemons one after the other. Others take their places.
func startAllAgain(b *bed) {
	for _, node := range slices.Clone(b.d.Nodes) {
		vm := node.Daemon.VM()
		node.Kill()
		b.d.StandIns.Fleet.Kill(vm.ID)
		_, err := b.d.StartNode(vm.ID+"-again", vm.Zone, b.plane.NewHost())
		b.Assert(err, qt.IsNil)
		time.Sleep(declinedFor / 2 / time.Duration(len(b.d.Nodes)))
	}
}

// playDeclined lets all engines decline while callers ask and something else happens.
func playDeclined(b *bed, trouble func(b *bed)) {
	engines := b.d.StandIns.Engines()
	for _, engine := range engines {
		engine.Faults.Set(faults.State{Refuse: true})
	}
	var asking sync.WaitGroup
	asking.Go(func() { trouble(b) })
	var sent []time.Time
	for begun := time.Now(); time.Since(begun) < declinedFor; time.Sleep(declinedEach) {
		b.client.CloseIdleConnections()
		sent = append(sent, time.Now())
		asking.Go(func() { b.chatOrFail() })
	}
	var declined []modelengine.Decline
	for _, engine := range engines {
		declined = append(declined, engine.Declined()...)
		engine.Faults.Set(faults.State{})
	}
	asking.Wait()
	retries := repeated(declined)
	worst := worstOfBudget(sent, retries)
	b.Logf("%d requests, %d retries, %.2f of the budget", len(sent), len(retries), worst)
	b.Check(worst <= 1, qt.IsTrue, qt.Commentf("%.3f of the budget", worst))
	b.Check(worst >= 0.5, qt.IsTrue, qt.Commentf("%.3f of the budget", worst))
}

// chatOrFail asks a model; the connection may end with its daemon.
func (b *bed) chatOrFail() {
	resp, err := b.client.Do(b.request(http.MethodPost, balancerURL+"/v1/chat/completions", "devis",
		`{"model":"modele-devis","messages":[{"role":"user","content":"hello"}],"max_tokens":2}`))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// repeated returns when requests were declined once more.
func repeated(declined []modelengine.Decline) (times []time.Time) {
	slices.SortFunc(declined, func(a, b modelengine.Decline) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.RequestID, b.RequestID))
	})
	seen := map[string]bool{}
	for _, d := range declined {
		if seen[d.RequestID] {
			times = append(times, d.At)
		}
		seen[d.RequestID] = true
	}
	return times
}

// worstOfBudget returns the largest share of the retry budget that a window uses.
func worstOfBudget(sent, retries []time.Time) (worst float64) {
	for _, from := range retries {
		requests := max(within(sent, from), within(sent, from.Add(-retryWindow/2)), within(sent, from.Add(-retryWindow)))
		worst = max(worst, float64(within(retries, from))/(retryRatio*float64(requests)+extraRetries))
	}
	return worst
}

// within returns how many of the sorted times lie in the window that begins at a time.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}
