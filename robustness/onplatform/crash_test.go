package onplatform

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// poison begins the body of a request that ends each server that runs it, crashAfter
	// after it has begun.
	poison     = "poison"
	crashAfter = 60 * time.Millisecond
	// backAfter is how long a server that has ended is away, entryLasts how long its entry
	// outlives it.
	backAfter  = 3 * time.Second
	entryLasts = 3500 * time.Millisecond
	// contact is how long after its third server has ended daemons may still not know of a
	// request, and retries how often it may reach servers after that.
	contact = 3 * time.Second
	retries = 3
	// eventsEach and eventEvery are of the streams that servers answer with.
	eventsEach = 8
	eventEvery = 60 * time.Millisecond
	// heldBack is what callers of a request are told that ends servers.
	heldBack = "request ends the servers that run it"
	// partHeldBack is what callers are told of a part of their prompts that ends servers.
	partHeldBack = "part of the prompt ends the servers that run it"
	// inDoubt is what they are told until that is certain.
	inDoubt = "servers ended under requests like this one"
)

// crashServers are backend servers that end under some requests.
type crashServers struct {
	b       *bed
	servers []*crashServer

	// causeOf returns what in a request ends the server that runs it, or nothing. Without it,
	// bodies that begin with poison do.
	causeOf func(r *http.Request, body string) string
	// events is the number of events of each answer.
	events int
	// crashAfter is how long servers have a request that ends them.
	crashAfter time.Duration
	// lastWords writes what a server still writes before it ends. It may be nil.
	lastWords func(w http.ResponseWriter, r *http.Request)
	// endsWithConnection reports whether the answer to a request has neither a length nor chunks.
	// Without it, none has.
	endsWithConnection func(r *http.Request) bool

	mu sync.Mutex
	// reached are the times at which a request reached servers, ended at which servers ended
	// under it, by what ends them.
	reached, ended map[string][]time.Time
}

// newCrashServers returns a set without servers.
func newCrashServers() *crashServers {
	return &crashServers{events: eventsEach, crashAfter: crashAfter, reached: map[string][]time.Time{}, ended: map[string][]time.Time{}}
}

// bodyIsPoison is the cause in a request whose whole content ends servers.
func bodyIsPoison(_ *http.Request, body string) string {
	if strings.HasPrefix(body, poison) {
		return body
	}
	return ""
}

// crashServer is one place for a server, which gets a new ID at each start.
type crashServer struct {
	*crashServers
	name, zone, service string

	mu     sync.Mutex
	starts int
	id     string
	server *http.Server
	// open are the answers in progress that end with their connection.
	open map[*fake.ConnectionEnded]bool
}

// addCrashServers starts servers of a service, spread over the zones.
func (m *crashServers) addCrashServers(service string, count int) {
	for i := range count {
		s := &crashServer{crashServers: m, name: fmt.Sprintf("%s-%d", service, i), zone: fmt.Sprintf("zone-%d", i%3), service: service}
		m.servers = append(m.servers, s)
		s.start()
	}
}

// start starts the server under a new ID.
func (s *crashServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	listener, err := s.b.net.Host(s.ip()).Listen(s.ip() + ":80")
	s.b.Assert(err, qt.IsNil)
	runner := &fake.Server{ID: s.id}
	runner.Behave = func(int, *http.Request) fake.Behaviour { return fake.Behaviour{Delay: eventEvery} }
	if s.service == model {
		runner.EventCount = s.events
	}
	s.server = &http.Server{Handler: s.crashOn(runner), ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	s.entry("ready")
}

// entry writes the server's entry.
func (s *crashServer) entry(state string) {
	s.b.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.ip() + ":80", "zone": s.zone, "slots": 6, "state": state, "seq": 1, "version": "v1", "coldLeftMs": 0,
	})
}

func (s *crashServer) ip() string { ip, _, _ := strings.Cut(s.b.serverAddress(s.name), ":"); return ip }

// crashOn returns a handler that ends the server under requests that have a cause.
func (s *crashServer) crashOn(runner *fake.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if s.endsWithConnection != nil && s.endsWithConnection(r) {
			raw := s.openRaw(w)
			defer s.closeRaw(raw)
			w = raw
		}
		causeOf := bodyIsPoison
		if s.causeOf != nil {
			causeOf = s.causeOf
		}
		cause := causeOf(r, string(body))
		if cause == "" {
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			runner.ServeHTTP(w, r)
			return
		}
		s.note(s.reached, cause)
		time.Sleep(s.crashAfter)
		if s.lastWords != nil {
			s.lastWords(w, r)
		}
		if s.end(runner.ID) {
			s.note(s.ended, cause)
			go s.back(backAfter, runner.ID)
		}
		panic(http.ErrAbortHandler)
	})
}

func (m *crashServers) note(in map[string][]time.Time, body string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	in[body] = append(in[body], time.Now())
}

// end ends a start of the server, once: its connections break and nobody listens any more.
func (s *crashServer) end(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id || s.server == nil {
		return false
	}
	_ = s.server.Close()
	s.server = nil
	for raw := range s.open {
		raw.Close()
	}
	s.open = nil
	return true
}

// openRaw makes the answer end with its connection, which ends with the server.
func (s *crashServer) openRaw(w http.ResponseWriter) *fake.ConnectionEnded {
	raw := fake.NewConnectionEnded(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*fake.ConnectionEnded]bool{}
	}
	s.open[raw] = true
	return raw
}

func (s *crashServer) closeRaw(raw *fake.ConnectionEnded) {
	s.mu.Lock()
	delete(s.open, raw)
	s.mu.Unlock()
	raw.Close()
}

// crash ends the server as it runs now and brings it back.
func (s *crashServer) crash(down time.Duration) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	if s.end(id) {
		go s.back(down, id)
	}
}

// endAll ends all servers once those that have ended are back.
func (m *crashServers) endAll() {
	time.Sleep(entryLasts + time.Second)
	for _, s := range m.servers {
		s.mu.Lock()
		id := s.id
		s.mu.Unlock()
		s.end(id)
	}
}

// back starts the server again after a while; the entry of the earlier start goes later.
func (s *crashServer) back(after time.Duration, id string) {
	time.Sleep(after)
	s.start()
	time.Sleep(max(0, entryLasts-after))
	s.b.store.Remove("servers", id)
}

// tooMany returns how often a request reached servers after its third had ended and
// daemons had the time to learn of it.
func (m *crashServers) tooMany(body string) int { return m.lateAfter(body, 3) }

// lateAfter returns how often requests with a cause reached servers after so many had ended and
// daemons had the time to learn of it.
func (m *crashServers) lateAfter(cause string, endings int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := m.ended[cause]
	if len(ended) < endings {
		return 0
	}
	slices.SortFunc(ended, time.Time.Compare)
	from := ended[endings-1].Add(contact)
	late := 0
	for _, at := range m.reached[cause] {
		if at.After(from) {
			late++
		}
	}
	return late
}

// callersOf are what callers of a play saw.
type callersOf struct {
	b *bed
	// daemons are the addresses of all daemons. Those that start again keep theirs.
	daemons []string
	random  *rand.Rand
	stop    context.CancelFunc
	all     sync.WaitGroup

	mu   sync.Mutex
	seen map[string][]reply
	// first are the first tries of each kind of caller.
	first map[string][]timedTry
}

// timedTry is a request as its caller sent it first.
type timedTry struct {
	at time.Time
	// begun is set if the answer began.
	begun bool
}

func newCallers(b *bed, seed uint64) (*callersOf, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	c := &callersOf{b: b, random: rand.New(rand.NewPCG(seed, 1)), stop: stop, seen: map[string][]reply{}, first: map[string][]timedTry{}}
	for _, d := range b.daemons {
		c.daemons = append(c.daemons, d.ip)
	}
	return c, ctx
}

// keep sends requests until the context ends: each to some daemon, and once more to another
// one when it fails. kind names the caller, bodyOf its n-th body.
func (c *callersOf) keep(ctx context.Context, kind string, every time.Duration, bodyOf func(n int) string) {
	c.keepCalls(ctx, kind, every, func(n int) call { return call{body: bodyOf(n)} })
}

// keepCalls is keep for calls that have more than a body.
func (c *callersOf) keepCalls(ctx context.Context, kind string, every time.Duration, callOf func(n int) call) {
	c.all.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			c.all.Go(func() { c.ask(kind, callOf(n)) })
			c.mu.Lock()
			pause := every/2 + time.Duration(c.random.Int64N(int64(every)))
			c.mu.Unlock()
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	})
}

// ask sends a request and, where it fails, sends it once more.
func (c *callersOf) ask(kind string, what call) {
	what.method, what.path, what.tokens, what.deadline = "POST", "/s/"+kind, "150,24", 8*time.Second
	what.key = cmp.Or(what.key, testKey)
	for try := range 2 {
		c.mu.Lock()
		what.ip = c.daemons[c.random.IntN(len(c.daemons))]
		c.mu.Unlock()
		at := time.Now()
		got := c.b.send(what)
		c.mu.Lock()
		c.seen[kind] = append(c.seen[kind], got)
		if try == 0 {
			c.first[kind] = append(c.first[kind], timedTry{at: at, begun: got.status == http.StatusOK})
		}
		c.mu.Unlock()
		if got.status == http.StatusOK && !got.cut {
			return
		}
	}
}

// end stops the callers and waits for their last answers.
func (c *callersOf) end() {
	c.stop()
	c.all.Wait()
}

// begunShare returns the share of the first tries of a kind of caller between two moments whose
// answer began, and their number.
func (c *callersOf) begunShare(kind string, from, to time.Time) (share float64, tries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := 0
	for _, try := range c.first[kind] {
		if try.at.Before(from) || try.at.After(to) {
			continue
		}
		tries++
		if try.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(1, tries)), tries
}

// counted returns how many replies of a kind of caller were whole answers, and how many said
// that the request ends servers.
func (c *callersOf) counted(kind string) (served, held int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.seen[kind] {
		switch {
		case r.status == http.StatusOK && !r.cut:
			served++
		case strings.Contains(r.body, heldBack), strings.Contains(r.body, partHeldBack), r.status == http.StatusServiceUnavailable && strings.Contains(r.body, inDoubt):
			held++
		}
	}
	return served, held
}
