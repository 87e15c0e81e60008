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

// The model explores every interleaving of the steps that processes take with one key: reading
// and claiming homes, collecting, reading the log, recording an intent, sending, answering,
// leaving, and crashing at any point. It uses the production Homes and Ledger. A paused process
// is modelled by a step that is taken late.

// modelProc is one process of a daemon.
type modelProc struct {
	self       Holder
	alive      bool
	view       Homes
	version    int
	collected  []Record // collected so far while loading; nil before that
	serving    bool
	known      *Record  // the record of the key in the process's ledger
	pending    []Record // not in the log yet
	ownRequest request.ID
	maySend    bool // the intent of ownRequest is recorded, so it may be sent
	sent       bool
}

// modelState is one state of the model.
type modelState struct {
	procs       []modelProc
	homes       Homes
	version     int
	log         []Record
	submissions int
	crashes     int
	restarts    int
	leaves      int
	runs        int
	// path holds the identities of the states that led here.
	path []string
}

// seededFault is a fault that is injected into the model to check that the model detects it.
type seededFault string

const (
	noFault               seededFault = ""
	faultSilenceIsDeath   seededFault = "a silent holder is taken for dead"
	faultLogBeforePeers   seededFault = "the log is read before the peers are asked"
	faultSendBeforeIntent seededFault = "a request is sent before its intent is recorded"
	faultNoCollect        seededFault = "peers are not asked"
)

// model holds the bounds of one exploration.
type model struct {
	submissions, crashes, restarts, leaves int
	peersKeep                              bool
	fault                                  seededFault
}

const modelZone = "z"

func (m *model) start() modelState {
	s := modelState{submissions: m.submissions, crashes: m.crashes, restarts: m.restarts, leaves: m.leaves}
	for _, daemon := range []string{"a", "b"} {
		s.procs = append(s.procs, modelProc{self: Holder{Daemon: daemon, Incarnation: 1}, alive: true})
	}
	return s
}

// clone returns a copy whose slices can be changed independently.
func (s *modelState) clone() modelState {
	next := *s
	next.procs = slices.Clone(s.procs)
	for i := range next.procs {
		next.procs[i].pending = slices.Clone(next.procs[i].pending)
		next.procs[i].collected = slices.Clone(next.procs[i].collected)
	}
	next.log = slices.Clone(s.log)
	return next
}

func (s *modelState) identity() string {
	text := fmt.Sprint(s.submissions, s.crashes, s.restarts, s.leaves, s.runs, "|", recordSet(s.log), homesText(&s.homes))
	for _, p := range s.procs {
		key := "-"
		if p.known != nil {
			key = recordSet([]Record{*p.known})
		}
		view := homesText(&p.view)
		if p.version == s.version {
			view = "now"
		}
		text += fmt.Sprint(p.self.Incarnation, p.alive, view, recordSet(p.collected), p.collected == nil, p.serving, key, recordSet(p.pending), p.ownRequest, p.maySend, p.sent, ";")
	}
	return text
}

// recordSet formats records as a set.
func recordSet(records []Record) string {
	var names []string
	for _, record := range records {
		names = append(names, fmt.Sprint(record.RequestID, record.State, record.Turn))
	}
	slices.Sort(names)
	return fmt.Sprint(slices.Compact(names))
}

func homesText(h *Homes) string {
	return fmt.Sprint(h.Holder(modelZone, 0), h.Enrolled["a"].Incarnation, h.Enrolled["b"].Incarnation)
}

// provedDead returns the predicate that proves a death. Only a crash proves it.
func (s *modelState) provedDead(m *model) func(Holder) bool {
	return func(h Holder) bool {
		for _, p := range s.procs {
			if p.self.sameProcess(h) {
				return !p.alive || m.fault == faultSilenceIsDeath
			}
		}
		return true
	}
}

// ledger returns a production Ledger with the process's record of the key.
func (p *modelProc) ledger() *Ledger {
	l := NewLedger()
	if p.known != nil {
		l.records[p.known.Ref.Hash] = *p.known
	}
	return l
}

func (p *modelProc) saveLedger(l *Ledger) {
	if record, known := l.records["k"]; known {
		p.known = &record
	}
}

// steps returns all states that one step of process i leads to.
func (m *model) steps(s *modelState, i int) []modelState {
	var next []modelState
	try := func(allowed bool, step func(s *modelState, p *modelProc)) {
		if allowed {
			after := s.clone()
			step(&after, &after.procs[i])
			next = append(next, after)
		}
	}
	p := &s.procs[i]
	if !p.alive {
		try(s.restarts > 0, func(s *modelState, p *modelProc) {
			s.restarts--
			*p = modelProc{self: Holder{Daemon: p.self.Daemon, Incarnation: p.self.Incarnation + 1}, alive: true}
		})
		return next
	}
	try(p.version != s.version, func(s *modelState, p *modelProc) { p.view, p.version = s.homes, s.version })
	try(p.version == s.version && !p.serving, func(s *modelState, p *modelProc) { m.claim(s, p) })
	m.serveSteps(s, p, try)
	m.requestSteps(s, p, i, try)
	try(s.crashes > 0, func(s *modelState, p *modelProc) {
		s.crashes--
		*p = modelProc{self: p.self}
	})
	return next
}

// claim performs the conditional update of the homes.
func (m *model) claim(s *modelState, p *modelProc) {
	homes, enrolled := p.view.Enrol(modelZone, p.self)
	homes, claimed := homes.Claim(modelZone, p.self, []string{"a", "b"}, s.provedDead(m), true)
	if enrolled || claimed {
		s.homes, s.version = *homes, s.version+1
		p.view, p.version = s.homes, s.version
	}
}

// serveSteps are the two steps before serving: collect the peers' records, then read the log.
func (m *model) serveSteps(_ *modelState, p *modelProc, try func(bool, func(*modelState, *modelProc))) {
	holds := p.view.Holder(modelZone, 0).sameProcess(p.self) && !p.serving
	ask := func(s *modelState, p *modelProc) []Record {
		records := slices.Clone(p.pending)
		for _, other := range s.procs {
			enrolled := p.view.Enrolled[other.self.Daemon].sameProcess(other.self)
			if enrolled && other.alive && m.fault != faultNoCollect {
				records = append(records, other.pending...)
			}
		}
		return records
	}
	first, second := ask, func(s *modelState, _ *modelProc) []Record { return s.log }
	if m.fault == faultLogBeforePeers {
		first, second = second, first
	}
	try(holds && p.collected == nil, func(s *modelState, p *modelProc) {
		p.collected = append([]Record{}, first(s, p)...)
	})
	try(holds && p.collected != nil, func(s *modelState, p *modelProc) {
		l := p.ledger()
		for _, record := range append(p.collected, second(s, p)...) {
			l.Apply(record)
		}
		p.saveLedger(l)
		p.serving, p.collected = true, nil
	})
}

// requestSteps are the submission of a request with the key, the recording of its intent, its
// sending and its end.
func (m *model) requestSteps(s *modelState, p *modelProc, i int, try func(bool, func(*modelState, *modelProc))) {
	try(p.serving && s.submissions > 0, func(s *modelState, p *modelProc) {
		s.submissions--
		l := p.ledger()
		intent := Record{Ref: Ref{Hash: "k", Zone: modelZone}, RequestID: request.ID(fmt.Sprint(p.self, s.submissions)), State: StateIntent, At: time.Unix(0, 0)}
		if current, claimed, _ := l.Begin(intent); claimed {
			p.pending = append(p.pending, current)
			p.ownRequest = current.RequestID
			p.maySend = m.fault == faultSendBeforeIntent
		}
		p.saveLedger(l)
	})
	mine := p.known != nil && p.known.State == StateIntent && p.known.RequestID == p.ownRequest
	try(len(p.pending) > 0, func(s *modelState, p *modelProc) {
		p.maySend = p.maySend || (mine && p.serving)
		s.log = append(s.log, p.pending...)
		p.pending = nil
	})
	other := &s.procs[1-i]
	try(m.peersKeep && mine && !p.maySend && other.alive && other.view.Enrolled[other.self.Daemon].sameProcess(other.self), func(s *modelState, p *modelProc) {
		s.procs[1-i].pending = append(s.procs[1-i].pending, *p.known)
		p.maySend = true
	})
	try(p.maySend && !p.sent, func(s *modelState, p *modelProc) {
		p.sent = true
		s.runs++
	})
	try(p.sent && p.known.State == StateIntent, func(_ *modelState, p *modelProc) {
		done := endRecord(*p.known, StateDone, nil)
		p.known = &done
		p.pending = append(p.pending, done)
	})
	idle := p.known == nil || p.known.State != StateIntent || !mine
	try(s.leaves > 0 && p.serving && idle && len(p.pending) == 0 && p.version == s.version, func(s *modelState, p *modelProc) {
		s.leaves--
		s.homes, s.version = *p.view.Release(modelZone, p.self), s.version+1
		*p = modelProc{self: p.self, alive: true, view: s.homes, version: s.version}
	})
}

// explore visits all reachable states. It returns their number and, if there is one, a state
// in which the key's request has run twice.
func (m *model) explore() (visited int, violation *modelState) {
	begin := m.start()
	seen := map[string]bool{begin.identity(): true}
	frontier := []modelState{begin}
	for len(frontier) > 0 {
		s := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		if s.runs > 1 {
			return len(seen), &s
		}
		for i := range s.procs {
			for _, next := range m.steps(&s, i) {
				if id := next.identity(); !seen[id] {
					seen[id] = true
					next.path = append(slices.Clip(s.path), id)
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
		"crashes, restarts and leaves": {submissions: 3, crashes: 2, restarts: 2, leaves: 2},
		"a peer keeps, one crash":      {submissions: 3, crashes: 1, restarts: 1, leaves: 2, peersKeep: true},
	} {
		visited, violation := m.explore()
		c.Logf("%s: %d states", name, visited)
		if violation != nil {
			c.Errorf("%s: the key ran twice:\n%s", name, strings.Join(violation.path, "\n"))
		}
	}
}

func TestModelFindsSeededFaults(t *testing.T) {
	c := qt.New(t)
	for _, fault := range []seededFault{faultSilenceIsDeath, faultLogBeforePeers, faultSendBeforeIntent, faultNoCollect} {
		m := &model{submissions: 2, crashes: 1, restarts: 1, peersKeep: true, fault: fault}
		_, violation := m.explore()
		c.Check(violation, qt.IsNotNil, qt.Commentf("%s", fault))
	}
}

// TestModelShowsTheRemainingWindow documents the one known case in which a request can run
// twice: the holder and the peer that keeps the intent both crash before the intent is logged.
func TestModelShowsTheRemainingWindow(t *testing.T) {
	_, violation := (&model{submissions: 2, crashes: 2, restarts: 1, peersKeep: true}).explore()
	qt.New(t).Check(violation, qt.IsNotNil)
}
