package robustness

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/standin/faults"
	"github.com/plankridge/plankridge/internal/standin/modelengine"
	"github.com/plankridge/plankridge/internal/standin/plainservice"
)

const (
	// adviceLength is how long callers ask beside what servers say, and adviceEach the time
	// between two requests.
	adviceLength = 16 * time.Second
	adviceEach   = 100 * time.Millisecond
	// adviceLearned is how long after a server first says something daemons may not know of it.
	adviceLearned = 4 * time.Second
)

// weigh calls the plain service for a while and returns the answers' statuses.
func (b *bed) weigh(length time.Duration) (statuses []int, retryAfter []string) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(adviceEach) {
		// The next request goes to the next daemon.
		b.client.CloseIdleConnections()
		asking.Go(func() {
			resp, _ := b.call(http.MethodGet, balancerURL+"/services/app-carriere/weighings", "pesee", "")
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, resp.StatusCode)
			if resp.StatusCode != http.StatusOK {
				retryAfter = append(retryAfter, resp.Header.Get("Retry-After"))
			}
		})
	}
	asking.Wait()
	return statuses, retryAfter
}

// arrivalsFrom returns the times from a moment on at which calls arrived at a server.
func arrivalsFrom(s *plainservice.Server, from time.Time) []time.Time {
	return slices.DeleteFunc(s.Arrivals(), func(at time.Time) bool { return at.Before(from) })
}

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestServersOfTheOwnInterfaceKeepTheirLimits guards against daemons that each know of no limit, or
// keep one by themselves, and against a server that is not used again afterwards.
func TestServersOfTheOwnInterfaceKeepTheirLimits(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		servers := b.d.StandIns.PlainServers()
		b.Assert(len(servers) >= 2, qt.IsTrue)
		limited := servers[0]
		b.weigh(2 * time.Second)
		limited.Faults.Set(faults.State{Header: map[string]string{"Plankridge-Limit": "2"}})
		from := time.Now().Add(adviceLearned)
		statuses, _ := b.weigh(adviceLength)
		got := arrivalsFrom(limited, from)
		most := mostIn(got, 4*time.Second)
		rate := float64(len(got)) / time.Since(from).Seconds()
		b.Logf("%d in 4 s, %.2f a second; %d of %d callers served", most, rate, count(statuses, http.StatusOK), len(statuses))
		b.Check(most <= 17, qt.IsTrue, qt.Commentf("%d requests in 4 s at a server that takes 2 a second", most))
		b.Check(rate >= 1, qt.IsTrue, qt.Commentf("%.2f a second", rate))
		b.Check(count(statuses, http.StatusOK), qt.Equals, len(statuses))

		limited.Faults.Set(faults.State{})
		b.weigh(adviceLearned)
		from = time.Now()
		b.weigh(4 * time.Second)
		b.Check(len(arrivalsFrom(limited, from)) > 10, qt.IsTrue, qt.Commentf("used again once its limit has ended"))
	})
}

// weighAtOne calls the plain service at one daemon for a while.
func (b *bed) weighAtOne(length time.Duration) (statuses []int) {
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(adviceEach) {
		resp, _ := b.call(http.MethodGet, balancerURL+"/services/app-carriere/weighings", "pesee", "")
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}

// TestLimitedServersOfTheOwnInterfaceAreUsedByOneDaemonWithCallers guards against parts of a limit that
// lie idle at daemons without callers.
func TestLimitedServersOfTheOwnInterfaceAreUsedByOneDaemonWithCallers(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		servers := b.d.StandIns.PlainServers()
		for _, s := range servers {
			s.Faults.Set(faults.State{Header: map[string]string{"Plankridge-Limit": "2"}})
		}
		b.weighAtOne(2 * adviceLearned)
		from := time.Now()
		statuses := b.weighAtOne(adviceLength)
		sent := 0
		for _, s := range servers {
			got := arrivalsFrom(s, from)
			sent += len(got)
			b.Check(mostIn(got, 4*time.Second) <= 17, qt.IsTrue, qt.Commentf("%d in 4 s", mostIn(got, 4*time.Second)))
		}
		rate := float64(sent) / time.Since(from).Seconds()
		b.Logf("%d servers, %.2f requests a second; %d of %d callers served", len(servers), rate, count(statuses, http.StatusOK), len(statuses))
		b.Check(rate >= float64(len(servers)), qt.IsTrue, qt.Commentf("%.2f a second at %d servers that take 2 each", rate, len(servers)))
	})
}

// TestLimitsOfTheOwnInterfaceBesideTrouble guards against parts of a limit that die with a daemon, and
// against both sides of a cut that take it whole.
func TestLimitsOfTheOwnInterfaceBesideTrouble(t *testing.T) {
	for name, trouble := range map[string]func(b *bed){
		"a daemon of the server's zone dies": func(b *bed) {
			node := b.d.Nodes[0]
			node.Kill()
			b.d.StandIns.Fleet.Kill(node.Daemon.VM().ID)
		},
		"a daemon is cut off from the others": func(b *bed) {
			for _, other := range b.d.Nodes[1:] {
				b.plane.Net.Cut(b.d.Nodes[0].Host.IP, other.Host.IP)
			}
		},
		"the list of VMs is away": func(b *bed) { b.d.StandIns.Fleet.ListFaults.Set(faults.State{Outage: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, "ndiaye", func(b *bed) {
				limited := b.d.StandIns.PlainServers()[0]
				limited.Faults.Set(faults.State{Header: map[string]string{"Plankridge-Limit": "2"}})
				b.weigh(adviceLearned)
				trouble(b)
				from := time.Now()
				b.weigh(adviceLength)
				got := arrivalsFrom(limited, from)
				b.Check(mostIn(got, 4*time.Second) <= 17, qt.IsTrue, qt.Commentf("%d in 4 s", mostIn(got, 4*time.Second)))
				b.Check(len(got) >= int(adviceLength.Seconds()/2), qt.IsTrue, qt.Commentf("%d in %v", len(got), adviceLength))
			})
		})
	}
}

// TestAllServersOfTheOwnInterfaceAtTheirLimits guards against callers that wait where no server may
// be asked.
func TestAllServersOfTheOwnInterfaceAtTheirLimits(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		for _, s := range b.d.StandIns.PlainServers() {
			s.Faults.Set(faults.State{Header: map[string]string{"Plankridge-Limit": "2"}})
		}
		b.weigh(adviceLearned)
		statuses, retryAfter := b.weigh(adviceLength / 2)
		b.Check(count(statuses, http.StatusServiceUnavailable) > 0, qt.IsTrue)
		b.Check(count(statuses, http.StatusOK) > 0, qt.IsTrue)
		b.Check(count(statuses, http.StatusServiceUnavailable)+count(statuses, http.StatusOK), qt.Equals, len(statuses))
		for _, after := range retryAfter {
			b.Check(after, qt.Not(qt.Equals), "")
		}
	})
}

// count returns how often a status was answered.
func count(statuses []int, status int) int {
	n := 0
	for _, s := range statuses {
		if s == status {
			n++
		}
	}
	return n
}

// TestServersOfTheOwnInterfaceThatSayTheyLeave guards against daemons that go by the list of VMs
// alone, and against callers that are refused for it.
func TestServersOfTheOwnInterfaceThatSayTheyLeave(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		leaving := b.d.StandIns.PlainServers()[0]
		b.weigh(time.Second)
		leaving.Faults.Set(faults.State{Header: map[string]string{"Plankridge-Leaving": "1"}})
		told := time.Now().Add(2 * time.Second)
		statuses, _ := b.weigh(adviceLength)
		b.Check(count(statuses, http.StatusOK), qt.Equals, len(statuses))
		b.Check(arrivalsFrom(leaving, told), qt.HasLen, 0)
	})
}

// TestEnginesThatAskForRestGetIt guards against attempts that are spent on engines that have just
// declined, and against callers that wait for them.
func TestEnginesThatAskForRestGetIt(t *testing.T) {
	run(t, "ndiaye", func(b *bed) {
		engines := b.d.StandIns.Engines()
		for _, engine := range engines {
			engine.Faults.Set(faults.State{Refuse: true, Header: map[string]string{"Retry-After": "3"}})
		}
		var asking sync.WaitGroup
		begun := time.Now()
		for time.Since(begun) < adviceLength/2 {
			b.client.CloseIdleConnections()
			asking.Go(func() { b.chat() })
			time.Sleep(adviceEach)
		}
		// Each engine declines a request of each daemon, so that all of them rest.
		for range 2 * len(engines) * len(b.d.Nodes) {
			b.client.CloseIdleConnections()
			asking.Go(func() { b.chat() })
			time.Sleep(adviceEach / 20)
		}
		for _, engine := range engines {
			early := withinRests(engine.Declined(), 3*time.Second)
			b.Check(early <= 2, qt.IsTrue, qt.Commentf("%d of %d requests within rests", early, len(engine.Declined())))
			engine.Faults.Set(faults.State{})
		}
		resp := b.chat()
		b.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		b.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		time.Sleep(3 * time.Second)
		b.Check(b.chat().StatusCode, qt.Equals, http.StatusOK)
		asking.Wait()
	})
}

// withinRests counts the requests that came from a daemon between half a second after its last one was
// declined and the end of the rest that it was asked for.
func withinRests(declines []modelengine.Decline, rest time.Duration) int {
	early := 0
	last := map[string]time.Time{}
	for _, d := range declines {
		from := request.ID(d.RequestID).Tag()
		since := d.At.Sub(last[from])
		if since > 500*time.Millisecond && since < rest {
			early++
		}
		last[from] = d.At
	}
	return early
}

// chat asks a model.
func (b *bed) chat() *http.Response {
	resp, _ := b.call(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", `{"model":"modele-devis","messages":[{"role":"user","content":"hello"}],"max_tokens":2}`)
	return resp
}
