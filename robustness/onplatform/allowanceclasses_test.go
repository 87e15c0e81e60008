package onplatform

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// TestAllowanceServesUrgentRequestsFirst guards against daemons that do not tell each other what is requested by class,
// or do not use it: of a workspace far above its allowance, small urgent streams are served more often than large
// streams of a less urgent rank, and the latter do not starve.
func TestAllowanceServesUrgentRequestsFirst(t *testing.T) {
	const rate = 100_000.0
	// With so many rounds, chance moves the share of the large streams by up to an eighth.
	const daemons, perRound, rounds, roundsWithRoom = 4, 11, 600, 40
	run(t, daemons, func(b *bed) {
		b.quotaOver, b.quotaSlack = 0.1, rate/2
		b.addServer("m-1", model, &fake.Server{EventCount: 3})
		urgent, large := streamRoute("/u/", true, 2), streamRoute("/l/", true, 2)
		urgent["priority"], large["priority"] = 0, 2
		b.configure(routes{urgent, large}, limited(rate, rate))
	}, func(b *bed) {
		time.Sleep(5 * time.Second)
		served, asked := map[string]int{}, map[string]int{}
		for round := range rounds {
			replies := b.burst(perRound, func(i int) call {
				c := call{method: "POST", path: "/u/x", key: testKey, tokens: "1900,100", to: int(b.next.Load()) % daemons}
				if i < 3 {
					c.path, c.tokens = "/l/x", "7900,100"
				}
				return c
			})
			for i, r := range replies {
				path := map[bool]string{true: "large", false: "urgent"}[i < 3]
				// The window has room at first.
				if round >= roundsWithRoom {
					asked[path]++
				}
				if round >= roundsWithRoom && r.status == 200 {
					served[path]++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		urgent := float64(served["urgent"]) / float64(asked["urgent"])
		large := float64(served["large"]) / float64(asked["large"])
		b.Logf("%.3f of the urgent and %.3f of the large streams served (%v of %v)", urgent, large, served, asked)
		b.Check(urgent >= 1.5*large, qt.IsTrue, qt.Commentf("%.3f of the urgent, %.3f of the large streams", urgent, large))
		all := float64(served["urgent"]+served["large"]) / float64(asked["urgent"]+asked["large"])
		b.Check(large >= 0.25*all, qt.IsTrue, qt.Commentf("%.3f of all, %.3f of the large streams", all, large))
	})
}
