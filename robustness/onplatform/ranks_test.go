package onplatform

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

// rankedEngine processes one prompt at a time, the most urgent one first, and the earliest one of
// several.
type rankedEngine struct {
	mu      sync.Mutex
	busy    bool
	waiting [10][]chan struct{}
}

// prefillRate is the number of prompt tokens that a rankedEngine processes in a millisecond.
const prefillRate = 40

// process processes the prompt of a request. It returns early if the request is cancelled.
func (e *rankedEngine) process(r *http.Request) {
	priority, _ := strconv.Atoi(r.Header.Get("Request-Priority"))
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	prompt, _ := strconv.Atoi(tokens)
	turn := make(chan struct{}, 1)
	e.mu.Lock()
	if !e.busy {
		e.busy = true
		turn <- struct{}{}
	} else {
		e.waiting[priority] = append(e.waiting[priority], turn)
	}
	e.mu.Unlock()
	<-turn
	if r.Context().Err() == nil {
		time.Sleep(time.Duration(prompt) * time.Millisecond / prefillRate)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for priority := range e.waiting {
		if len(e.waiting[priority]) > 0 {
			e.waiting[priority][0] <- struct{}{}
			e.waiting[priority] = e.waiting[priority][1:]
			return
		}
	}
	e.busy = false
}

// rankedCaller sends calls of one rank and counts them.
type rankedCaller struct {
	path, tokens     string
	target, deadline time.Duration

	mu                     sync.Mutex
	asked, inTime, refused int
	byLevel                int
	wrong, refusedIDs      []string
}

// send sends a call and records what the caller got.
func (c *rankedCaller) send(b *bed, n int) {
	id := fmt.Sprint(c.path, n)
	got := b.send(call{
		method: "POST", path: c.path + "x", key: testKey, to: n % len(b.daemons), deadline: c.deadline, tokens: c.tokens,
		header: map[string]string{"Prefix-Hash": id + ":50"},
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	switch {
	case got.status == http.StatusOK && !got.cut && got.took <= c.target:
		c.inTime++
	case got.status == http.StatusServiceUnavailable:
		c.refused++
		if strings.Contains(got.body, "too little capacity") {
			c.byLevel++
		}
		if got.took > 100*time.Millisecond {
			c.wrong = append(c.wrong, "refused after "+got.took.String())
		}
		if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err == nil && after > c.deadline.Seconds()/3 {
			c.wrong = append(c.wrong, "told to retry after "+got.header.Get("Retry-After"))
		}
		c.refusedIDs = append(c.refusedIDs, got.id)
	}
}

func (c *rankedCaller) share() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

// TestUrgentCallsComeFirstInABurst guards against daemons that refuse urgent calls or starve others in a burst, and
// against refusals that are false, late, or invite callers later than they wait.
func TestUrgentCallsComeFirstInABurst(t *testing.T) {
	var servers []*fake.Server
	run(t, 3, func(b *bed) {
		for i := range 4 {
			engine := &rankedEngine{}
			servers = append(servers, b.addServer(fmt.Sprintf("m-%d", i), model, &fake.Server{EventCount: 2, Behave: func(_ int, r *http.Request) fake.Behaviour {
				engine.process(r)
				return fake.Behaviour{Delay: time.Millisecond}
			}}))
		}
		short, long := streamRoute("/short/", false, 1), streamRoute("/long/", false, 1)
		short["priority"], short["targetLatencyMs"], short["timeoutMs"] = 0, 400, 3000
		long["priority"], long["targetLatencyMs"], long["timeoutMs"] = 2, 1500, 12000
		b.configure(routes{short, long})
	}, func(b *bed) {
		play := func(length, shortEvery, longEvery time.Duration) (short, long *rankedCaller) {
			short = &rankedCaller{path: "/short/", tokens: "800,6", target: 400 * time.Millisecond, deadline: 3 * time.Second}
			long = &rankedCaller{path: "/long/", tokens: "4000,6", target: 1500 * time.Millisecond, deadline: 12 * time.Second}
			var all sync.WaitGroup
			for n, at := 0, time.Duration(0); at < length; n, at = n+1, at+time.Millisecond {
				if at%shortEvery == 0 {
					all.Go(func() { short.send(b, n) })
				}
				if at%longEvery == 0 {
					all.Go(func() { long.send(b, n) })
				}
				time.Sleep(time.Millisecond)
			}
			all.Wait()
			return short, long
		}
		short, long := play(8*time.Second, 25*time.Millisecond, 100*time.Millisecond)
		t.Logf("usual: %.2f short and %.2f long calls in time", short.share(), long.share())
		b.Check(short.share() >= 0.98 && long.share() >= 0.98, qt.IsTrue)
		b.Check(short.byLevel+long.byLevel, qt.Equals, 0)
		short, long = play(10*time.Second, 25*time.Millisecond, 19*time.Millisecond)
		t.Logf("burst: %.2f of %d short and %.2f of %d long calls in time; refused %d and %d, by the level %d and %d",
			short.share(), short.asked, long.share(), long.asked, short.refused, long.refused, short.byLevel, long.byLevel)
		b.Check(short.share() >= 0.95, qt.IsTrue)
		b.Check(long.share() >= 0.4, qt.IsTrue)
		b.Check(long.byLevel > 0, qt.IsTrue)
		b.Check(append(short.wrong, long.wrong...), qt.HasLen, 0)
		for _, id := range append(short.refusedIDs, long.refusedIDs...) {
			for _, server := range servers {
				b.Assert(server.RunCount(id), qt.Equals, 0, qt.Commentf("%s was refused and has run", id))
			}
		}
	})
}
