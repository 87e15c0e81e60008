package onplatform

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// adviceFrom and adviceUntil are when servers say something, from the start of the requests.
	adviceFrom  = 2 * time.Second
	adviceUntil = 14 * time.Second
)

// advicePlay is a play of servers whose answers say something, to some daemons, beside some trouble.
type advicePlay struct {
	daemons int
	// advising and sound are the numbers of servers that say something, and of those that do not.
	advising, sound int
	each            time.Duration
	// behave is how advising servers answer, asked since the start of the requests.
	behave  func(since time.Duration) fake.Behaviour
	trouble func(l *leavingBed)
}

// run plays and returns the deployment, with the advising servers in order.
func (p advicePlay) run(t *testing.T, check func(c *qt.C, l *limitsBed)) {
	if *limitDaemons > 0 {
		p.daemons = *limitDaemons
	}
	if p.daemons <= fewDaemons {
		t.Parallel()
	}
	for seed := range uint64(*limitSeeds) {
		p.runSeed(t, *limitFirst+seed, check)
	}
}

func (p advicePlay) runSeed(t *testing.T, seed uint64, check func(c *qt.C, l *limitsBed)) {
	l := &limitsBed{seed: seed, play: limitsPlay{each: p.each, trouble: p.trouble}, leavingBed: &leavingBed{random: rand.New(rand.NewPCG(seed, 41)), luck: rand.New(rand.NewPCG(seed, 42)), touched: map[int][]time.Time{}}}
	runAlone(t, p.daemons, func(b *bed) {
		l.bed = b
		l.begun = time.Now().Add(time.Hour)
		b.places = map[string]string{}
		for i := range p.advising {
			runner := l.addAt(serverName("advising", i), &fake.Server{Behave: func(int, *http.Request) fake.Behaviour { return p.behave(time.Since(l.begun)) }})
			l.servers = append(l.servers, &limitedServer{Server: runner})
		}
		for i := range p.sound {
			l.sound = append(l.sound, l.addAt(serverName("sound", i), &fake.Server{Behave: l.serve(nil)}))
		}
		b.configure(routes{plainRoute("/a/", "idempotent", 2)})
	}, func(*bed) {
		l.askBeside(p.trouble)
		check(qt.New(t), l)
	})
}

func serverName(kind string, i int) string { return "i-" + kind + "-" + string(rune('a'+i)) }

// between reports whether a time lies within a span of the play.
func (l *limitsBed) between(at time.Time, from, until time.Duration) bool {
	since := at.Sub(l.begun)
	return since >= from && since < until
}

// leavingAnswer is that of a server that says that it leaves.
func leavingAnswer(since time.Duration) fake.Behaviour {
	b := fake.Behaviour{Delay: 80 * time.Millisecond}
	if since >= adviceFrom {
		b.Header = map[string]string{"Server-Leaving": "1"}
	}
	return b
}

// checkNothingLate checks that no daemon sends to a server later than the bound after it has passed
// on an answer that says that the server leaves.
func checkNothingLate(c *qt.C, l *limitsBed) {
	arrived, late := 0, 0
	for _, s := range l.servers {
		told := map[int]time.Time{}
		for _, a := range s.Arrivals() {
			from := l.sender(c, a)
			arrived++
			at, known := told[from]
			if known && within(l.touched[from], at.Add(inTouchAfter), a.At) {
				// It has started again since, and has been told nothing.
				known = false
			}
			if known && a.At.Sub(at) > leavingBound {
				late++
			}
			if !known && a.At.Sub(l.begun) >= adviceFrom {
				told[from] = a.At.Add(100 * time.Millisecond)
			}
		}
	}
	c.Logf("%d daemons: %d requests at servers that leave, %d of them late", len(l.daemons), arrived, late)
	c.Check(late, qt.Equals, 0, qt.Commentf("requests reached servers that had said that they leave"))
}

// TestServersWhoseAnswersSayThatTheyLeave guards against daemons that go by the store's entry alone.
func TestServersWhoseAnswersSayThatTheyLeave(t *testing.T) {
	p := advicePlay{daemons: 8, advising: 2, sound: 2, each: 130 * time.Millisecond, behave: leavingAnswer}
	t.Run("told by answers alone", func(t *testing.T) { p.run(t, checkNothingLate) })
	p.trouble = func(l *leavingBed) { l.store.SetOutage(fake.OutageSilent) }
	t.Run("the store is away", func(t *testing.T) { p.run(t, checkNothingLate) })
	p.trouble = func(l *leavingBed) {
		for range 10 {
			time.Sleep(time.Second)
			l.listServer("i-advising-a", plain, "ready")
		}
	}
	t.Run("the store says ready", func(t *testing.T) { p.run(t, checkNothingLate) })
}
