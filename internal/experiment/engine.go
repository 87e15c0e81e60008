package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/plankridge/plankridge/internal/backend"
)

// job is a request at an engine.
type job struct {
	*request
	// unread are prompt tokens still to be read, readyAt is when reading may
	// begin.
	unread  int
	readyAt time.Time
	// made are the tokens generated, wanted those to generate.
	made, wanted int
	lastEvent    time.Time
	// gone is set when the caller or the engine has gone.
	gone   bool
	choice *backend.Choice
}

// engine is the model of one model engine: in each step it reads a chunk of the
// prompts that wait and generates one token for each request that runs.
type engine struct {
	world       *world
	id          string
	zone        Zone
	reclaimable bool
	since       time.Time
	draining    bool
	ended       bool

	waiting []*job
	running []*job
	stepped bool
	cache   *simplelru.LRU[string, int]
	cached  int
	held    int
	// pairs is the time that pairs of tokens add to the next step.
	pairs time.Duration
}

// pairsTime returns the time for the pairs of tokens of a chunk that follows those read
// before, at a time for a million pairs.
func pairsTime(before, chunk int, million time.Duration) time.Duration {
	from, to := float64(before), float64(before+chunk)
	return time.Duration((to*to - from*from) / 1e6 * float64(million))
}

// lastRank is behind those of all kinds.
const lastRank = 100

// rank is the engine's order of admission.
func (j *job) rank() int {
	if j.deferred {
		return lastRank + j.kind.Rank
	}
	return j.kind.Rank
}

// maxCachedParts bounds the cached parts by number; their memory binds before.
const maxCachedParts = 1 << 14

func newEngine(w *world, id string, zone Zone, reclaimable bool) *engine {
	e := &engine{world: w, id: id, zone: zone, reclaimable: reclaimable, since: w.now}
	// simplelru fails only for a size that is not positive.
	e.cache, _ = simplelru.NewLRU(maxCachedParts, func(_ string, tokens int) { e.cached -= tokens })
	return e
}

// entry is the engine as the platform lists it.
func (e *engine) entry() backend.Entry {
	return backend.Entry{
		ID: e.id, Service: service, Address: e.id, Zone: e.zone.Name, Slots: e.world.day.Engine.Slots,
		Draining: e.draining, Reclaimable: e.reclaimable,
	}
}

// keeps returns the leading tokens of a prompt that the engine keeps.
func (e *engine) keeps(parts []backend.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if !e.cache.Contains(p.ID) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// take accepts a job. from names an engine to copy parts from, or is nil.
func (e *engine) take(j *job, from *engine) {
	settings := &e.world.day.Engine
	kept := e.keeps(j.parts)
	j.readyAt = e.world.now.Add(settings.First.Std())
	if from != nil && settings.CopyRate > 0 {
		if copied := from.keeps(j.parts) - kept; copied > 0 {
			j.readyAt = j.readyAt.Add(time.Duration(float64(copied) / settings.CopyRate * float64(time.Second)))
			e.world.result.Copied += copied
			kept += copied
		}
	}
	j.unread = max(1, j.tokens-kept)
	e.world.noteRead(j.parts, kept)
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.rank(), b.rank()) })
	e.kick()
}

// kick schedules a step unless one is under way.
func (e *engine) kick() {
	if e.stepped || e.ended || (len(e.waiting) == 0 && len(e.running) == 0) {
		return
	}
	e.stepped = true
	settings := &e.world.day.Engine
	chunk := e.read(settings.Chunk)
	took := settings.Step.Std() + time.Duration(len(e.running))*settings.StepEach.Std() +
		time.Duration(float64(chunk)/settings.PrefillRate*float64(time.Second)) + e.pairs
	e.pairs = 0
	e.world.after(took, e.step)
}

// read takes a chunk off the prompts that wait and moves those that are read to
// the running requests.
func (e *engine) read(budget int) int {
	used := 0
	rest := e.waiting[:0]
	for _, j := range e.waiting {
		room := len(e.running) < e.world.day.Engine.Slots && e.held+j.tokens <= e.world.day.Engine.MemoryTokens
		if !room || used >= budget || j.readyAt.After(e.world.now) || j.gone {
			if !j.gone {
				rest = append(rest, j)
			}
			continue
		}
		part := min(j.unread, budget-used)
		e.pairs += pairsTime(j.tokens-j.unread, part, e.world.day.Engine.Pairs.Std())
		j.unread -= part
		used += part
		if j.unread > 0 {
			rest = append(rest, j)
			continue
		}
		e.running = append(e.running, j)
		e.held += j.tokens
		e.keep(j.parts)
	}
	e.waiting = rest
	return used
}

// keep caches the parts of a prompt and gives up the least recently used.
func (e *engine) keep(parts []backend.PromptPart) {
	for _, p := range parts {
		if _, known := e.cache.Get(p.ID); known {
			continue
		}
		e.cache.Add(p.ID, p.Tokens)
		e.cached += p.Tokens
	}
	for e.cached > max(0, e.world.day.Engine.MemoryTokens-e.held) && e.cache.Len() > 0 {
		e.cache.RemoveOldest()
	}
}

// step ends a step: each running request has one more token.
func (e *engine) step() {
	e.stepped = false
	if e.ended {
		return
	}
	now := e.world.now
	rest := e.running[:0]
	for _, j := range e.running {
		j.made++
		e.token(j, now)
		if j.made >= j.wanted || j.gone {
			e.held -= j.tokens
			if !j.gone {
				j.choice.End(backend.OutcomeServed, now)
				e.world.result.served(j.request)
			}
			continue
		}
		rest = append(rest, j)
	}
	e.running = rest
	e.kick()
}

// token notes a generated token; every so many make an event.
func (e *engine) token(j *job, now time.Time) {
	switch {
	case j.made == 1:
		j.choice.RecordEvent(now)
		e.world.result.firstEvent(j.request, now)
	case (j.made-1)%e.world.day.Engine.EventTokens != 0 && j.made != j.wanted:
		return
	default:
		j.choice.RecordEvent(now)
		j.late = j.late || now.Sub(j.lastEvent) > j.kind.Gap.Std()
	}
	j.lastEvent = now
}

// end takes the engine away and returns the jobs that it had.
func (e *engine) end() []*job {
	e.ended = true
	lost := append(slices.Clone(e.waiting), e.running...)
	e.waiting, e.running = nil, nil
	return lost
}
