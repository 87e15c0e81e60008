package backend

import (
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
)

// engineFor returns what was learned of a service's engines, nil for a plain service. The
// caller holds the lock.
func (v *View) engineFor(service string) *pace.Engine {
	traits := v.traits[service]
	if traits.CacheTokens == 0 {
		return nil
	}
	if v.engines[service] == nil {
		engines := pace.NewEngine(traits.FetchRate)
		engines.Learn(v.unappliedFigures[service])
		delete(v.unappliedFigures, service)
		v.engines[service] = engines
	}
	return v.engines[service]
}

// EngineFigures returns what this daemon has learned of the engines, by service.
func (v *View) EngineFigures() map[string]pace.EngineFigures {
	v.mu.Lock()
	defer v.mu.Unlock()
	figures := make(map[string]pace.EngineFigures, len(v.engines))
	for service, engines := range v.engines {
		figures[service] = engines.Figures()
	}
	return figures
}

// MergeEngineFigures takes over what other daemons have learned of the engines.
func (v *View) MergeEngineFigures(figures map[string]pace.EngineFigures) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, learned := range figures {
		engines := v.engineFor(service)
		if engines == nil {
			v.unappliedFigures[service] = learned
			continue
		}
		engines.Learn(learned)
	}
}

// attemptLoad returns what an attempt asks of the engines. A batch that is half full is
// taken for the speed of its stream.
func attemptLoad(work pace.Work, answer pace.Answer, traits Traits, slots int, engines *pace.Engine) demand.Load {
	held := (engines.FirstEvent(work) + engines.Stream(answer, slots/2)).Seconds()
	load := demand.Load{
		Reading: engines.Read(work).Seconds(),
		Memory:  held * (float64(work.Prompt) + engines.Tokens(answer)) / float64(traits.CacheTokens),
	}
	if slots > 0 {
		load.Places = held / float64(slots)
	}
	return load
}
