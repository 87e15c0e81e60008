package backend

import (
	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
)

// engineFor returns the model of the speed of a service's engines, or nil for a plain service. The
// caller holds the lock.
func (v *View) engineFor(service string) *pace.Engine {
	traits := v.traits[service]
	if traits.CacheTokens == 0 {
		return nil
	}
	if v.engines[service] == nil {
		engines := pace.NewEngine(traits.FetchRate)
		engines.MergeEstimates(v.unappliedEstimates[service])
		delete(v.unappliedEstimates, service)
		v.engines[service] = engines
	}
	return v.engines[service]
}

// EngineEstimates returns the parameters that this daemon has learned of the engines' speed, by
// service.
func (v *View) EngineEstimates() map[string]pace.EngineEstimates {
	v.mu.Lock()
	defer v.mu.Unlock()
	figures := make(map[string]pace.EngineEstimates, len(v.engines))
	for service, engines := range v.engines {
		figures[service] = engines.Estimates()
	}
	return figures
}

// MergeEngineEstimates merges the parameters that other daemons have learned. Those of a service that
// is not configured yet are kept until it is.
func (v *View) MergeEngineEstimates(figures map[string]pace.EngineEstimates) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, learned := range figures {
		engines := v.engineFor(service)
		if engines == nil {
			v.unappliedEstimates[service] = learned
			continue
		}
		engines.MergeEstimates(learned)
	}
}

// attemptLoad returns the predicted load of an attempt on the engines. The stream's speed is
// predicted for a half-full batch.
func attemptLoad(work pace.Work, answer pace.AnswerSize, traits Traits, slots int, engines *pace.Engine) demand.Load {
	duration := (engines.FirstEvent(work) + engines.StreamTime(answer, slots/2)).Seconds()
	load := demand.Load{
		Prefill: engines.PrefillTime(work).Seconds(),
		Memory:  duration * (float64(work.PromptTokens) + engines.OutputTokens(answer)) / float64(traits.CacheTokens),
	}
	if slots > 0 {
		load.Batch = duration / float64(slots)
	}
	return load
}
