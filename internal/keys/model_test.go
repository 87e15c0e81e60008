package keys

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/request"
)

// The model explores every order of the steps that processes take with one key:
// looking at the homes, claiming, collecting, reading the log, recording an
// intent, sending, answering, leaving, and dying at any moment. Homes and Ledger
// are the program's own. A pause is a step that comes late.

// modelProc is one process of a daemon.
type modelProc struct {
	self     Holder
	alive    bool
	view     Homes
	version  int
	gathered []Record // collected on the way to serving; nil before
	serving  bool
	key      *Record  // what its ledger says of the key
	pending  []Record // not in the log yet
	own      request.ID
	may      bool // its own intent is recorded; it may send
	sent     bool
}

// world is the state of the model.
type world struct {
	procs   []modelProc
	homes   Homes
	version int
	log     []Record
	posts   int
	crashes int
	starts  int
	leaves  int
	runs    int
	// path is the states that led here.
	path []string
}

// mistake is a fault seeded into the model's wiring.
type mistake string

const (
	noMistake        mistake = ""
	silenceIsDeath   mistake = "a silent holder is taken for dead"
	logBeforePeers   mistake = "the log is read before the peers are asked"
	sendBeforeIntent mistake = "a request is sent before its intent is recorded"
	noCollect        mistake = "peers are not asked"
)

// model bounds one exploration.
type model struct {
	posts, crashes, starts, leaves int
	peersKeep                      bool
	mistake                        mistake
}

const modelZone = "z"

func (m *model) start() world {
	w := world{posts: m.posts, crashes: m.crashes, starts: m.starts, leaves: m.leaves}
	for _, daemon := range []string{"a", "b"} {
		w.procs = append(w.procs, modelProc{self: Holder{Daemon: daemon, Incarnation: 1}, alive: true})
	}
	return w
}

// clone copies a world by its JSON, which is also its identity.
func (w *world) clone() world {
	next := *w
	next.procs = slices.Clone(w.procs)
	for i := range next.procs {
		next.procs[i].pending = slices.Clone(next.procs[i].pending)
		next.procs[i].gathered = slices.Clone(next.procs[i].gathered)
	}
	next.log = slices.Clone(w.log)
	return next
}

func (w *world) identity() string {
	text := fmt.Sprint(w.posts, w.crashes, w.starts, w.leaves, w.runs, "|", short(w.log), homesOf(&w.homes))
	for _, p := range w.procs {
		key := "-"
		if p.key != nil {
			key = short([]Record{*p.key})
		}
		view := homesOf(&p.view)
		if p.version == w.version {
			view = "now"
		}
		text += fmt.Sprint(p.self.Incarnation, p.alive, view, short(p.gathered), p.gathered == nil, p.serving, key, short(p.pending), p.own, p.may, p.sent, ";")
	}
	return text
}

// short writes records as a set.
func short(records []Record) string {
	var names []string
	for _, record := range records {
		names = append(names, fmt.Sprint(record.RequestID, record.State, record.Turn))
	}
	slices.Sort(names)
	return fmt.Sprint(slices.Compact(names))
}

func homesOf(h *Homes) string {
	return fmt.Sprint(h.Holder(modelZone, 0), h.Enrolled["a"].Incarnation, h.Enrolled["b"].Incarnation)
}

// dead is the proof of death: a crash.
func (w *world) dead(m *model) func(Holder) bool {
	return func(h Holder) bool {
		for _, p := range w.procs {
			if p.self.is(h) {
				return !p.alive || m.mistake == silenceIsDeath
			}
		}
		return true
	}
}

// ledger returns the program's ledger with what a process knows of the key.
func (p *modelProc) ledger() *Ledger {
	l := NewLedger()
	if p.key != nil {
		l.records[p.key.Ref.Hash] = *p.key
	}
	return l
}

func (p *modelProc) keep(l *Ledger) {
	if record, known := l.records["k"]; known {
		p.key = &record
	}
}

// steps returns every world that one step of a process leads to.
func (m *model) steps(w *world, i int) []world {
	var next []world
	try := func(allowed bool, step func(w *world, p *modelProc)) {
		if allowed {
			after := w.clone()
			step(&after, &after.procs[i])
			next = append(next, after)
		}
	}
	p := &w.procs[i]
	if !p.alive {
		try(w.starts > 0, func(w *world, p *modelProc) {
			w.starts--
			*p = modelProc{self: Holder{Daemon: p.self.Daemon, Incarnation: p.self.Incarnation + 1}, alive: true}
		})
		return next
	}
	try(p.version != w.version, func(w *world, p *modelProc) { p.view, p.version = w.homes, w.version })
	try(p.version == w.version && !p.serving, func(w *world, p *modelProc) { m.claim(w, p) })
	m.serveSteps(w, p, try)
	m.requestSteps(w, p, i, try)
	try(w.crashes > 0, func(w *world, p *modelProc) {
		w.crashes--
		*p = modelProc{self: p.self}
	})
	return next
}

// claim is the conditional update of the homes.
func (m *model) claim(w *world, p *modelProc) {
	homes, enrolled := p.view.Enrol(modelZone, p.self)
	homes, claimed := homes.Claim(modelZone, p.self, []string{"a", "b"}, w.dead(m), true)
	if enrolled || claimed {
		w.homes, w.version = *homes, w.version+1
		p.view, p.version = w.homes, w.version
	}
}

// serveSteps are the two steps to serving: ask the others, read the log.
func (m *model) serveSteps(_ *world, p *modelProc, try func(bool, func(*world, *modelProc))) {
	holds := p.view.Holder(modelZone, 0).is(p.self) && !p.serving
	ask := func(w *world, p *modelProc) []Record {
		records := slices.Clone(p.pending)
		for _, other := range w.procs {
			enrolled := p.view.Enrolled[other.self.Daemon].is(other.self)
			if enrolled && other.alive && m.mistake != noCollect {
				records = append(records, other.pending...)
			}
		}
		return records
	}
	first, second := ask, func(w *world, _ *modelProc) []Record { return w.log }
	if m.mistake == logBeforePeers {
		first, second = second, first
	}
	try(holds && p.gathered == nil, func(w *world, p *modelProc) {
		p.gathered = append([]Record{}, first(w, p)...)
	})
	try(holds && p.gathered != nil, func(w *world, p *modelProc) {
		l := p.ledger()
		for _, record := range append(p.gathered, second(w, p)...) {
			l.Apply(record)
		}
		p.keep(l)
		p.serving, p.gathered = true, nil
	})
}

// requestSteps are a post of the key, its intent, its sending and its end.
func (m *model) requestSteps(w *world, p *modelProc, i int, try func(bool, func(*world, *modelProc))) {
	try(p.serving && w.posts > 0, func(w *world, p *modelProc) {
		w.posts--
		l := p.ledger()
		intent := Record{Ref: Ref{Hash: "k", Zone: modelZone}, RequestID: request.ID(fmt.Sprint(p.self, w.posts)), State: StateIntent, At: time.Unix(0, 0)}
		if present, begun, _ := l.Begin(intent); begun {
			p.pending = append(p.pending, present)
			p.own = present.RequestID
			p.may = m.mistake == sendBeforeIntent
		}
		p.keep(l)
	})
	mine := p.key != nil && p.key.State == StateIntent && p.key.RequestID == p.own
	try(len(p.pending) > 0, func(w *world, p *modelProc) {
		p.may = p.may || (mine && p.serving)
		w.log = append(w.log, p.pending...)
		p.pending = nil
	})
	other := &w.procs[1-i]
	try(m.peersKeep && mine && !p.may && other.alive && other.view.Enrolled[other.self.Daemon].is(other.self), func(w *world, p *modelProc) {
		w.procs[1-i].pending = append(w.procs[1-i].pending, *p.key)
		p.may = true
	})
	try(p.may && !p.sent, func(w *world, p *modelProc) {
		p.sent = true
		w.runs++
	})
	try(p.sent && p.key.State == StateIntent, func(_ *world, p *modelProc) {
		done := ended(*p.key, StateDone, nil)
		p.key = &done
		p.pending = append(p.pending, done)
	})
	idle := p.key == nil || p.key.State != StateIntent || !mine
	try(w.leaves > 0 && p.serving && idle && len(p.pending) == 0 && p.version == w.version, func(w *world, p *modelProc) {
		w.leaves--
		w.homes, w.version = *p.view.Release(modelZone, p.self), w.version+1
		*p = modelProc{self: p.self, alive: true, view: w.homes, version: w.version}
	})
}

// explore visits every reachable world and returns how many there are, and one
// in which the key's request has run twice.
func (m *model) explore() (visited int, violation *world) {
	begin := m.start()
	seen := map[string]bool{begin.identity(): true}
	frontier := []world{begin}
	for len(frontier) > 0 {
		w := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		if w.runs > 1 {
			return len(seen), &w
		}
		for i := range w.procs {
			for _, next := range m.steps(&w, i) {
				if id := next.identity(); !seen[id] {
					seen[id] = true
					next.path = append(slices.Clip(w.path), id)
					frontier = append(frontier, next)
				}
			}
		}
	}
	return len(seen), nil
}

func TestModelOfKeysRunsOnce(t *testing.T) {
	c := qt.New(t)
	for name, m := range map[string]*model{
		"crashes, restarts and leaves": {posts: 3, crashes: 2, starts: 2, leaves: 2},
		"a peer keeps, one crash":      {posts: 3, crashes: 1, starts: 1, leaves: 2, peersKeep: true},
	} {
		visited, violation := m.explore()
		c.Logf("%s: %d states", name, visited)
		if violation != nil {
			c.Errorf("%s: the key ran twice:\n%s", name, strings.Join(violation.path, "\n"))
		}
	}
}

func TestModelFindsSeededMistakes(t *testing.T) {
	c := qt.New(t)
	for _, mistake := range []mistake{silenceIsDeath, logBeforePeers, sendBeforeIntent, noCollect} {
		m := &model{posts: 2, crashes: 1, starts: 1, peersKeep: true, mistake: mistake}
		_, violation := m.explore()
		c.Check(violation, qt.IsNotNil, qt.Commentf("%s", mistake))
	}
}

// TestModelShowsTheRemainingWindow documents the one case that is left: holder
// and keeping peer both die before the log has the intent.
func TestModelShowsTheRemainingWindow(t *testing.T) {
	_, violation := (&model{posts: 2, crashes: 2, starts: 1, peersKeep: true}).explore()
	qt.New(t).Check(violation, qt.IsNotNil)
}
