package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/pace"
	"github.com/plankridge/plankridge/internal/route"
)

// yieldWeight is the weight of a new sample in yieldEstimate. With 20 samples the estimate follows
// engines that begin to ignore priorities, while one slow answer changes it by a twentieth.
const yieldWeight = 0.05

// yieldEstimate is the share of the less urgent waiting prompts that still delays an attempt. It is
// zero at engines that admit by priority. It is learned, because an engine may finish the prompt that
// it is processing first, or ignore priorities.
type yieldEstimate float64

// share returns the estimate within 0 and 1.
func (y yieldEstimate) share() float64 { return max(0, min(1, float64(y))) }

// observe records that an attempt took longer than predicted by excess, while less urgent prompts
// waited that take yielding to process. Samples are bounded on both sides, so that noise cancels out.
func (y yieldEstimate) observe(excess, yielding time.Duration) yieldEstimate {
	sample := max(-1, min(1, excess.Seconds()/yielding.Seconds()))
	return y + yieldEstimate(yieldWeight)*(yieldEstimate(sample)-y)
}

// queuedTokens returns the number of pending tokens that a service's engine is expected to process
// before an attempt of a class. The caller holds the lock.
func (v *View) queuedTokens(service string, load Load, class int) int {
	yielding := load.Pending.behind(class)
	if yielding == 0 {
		return load.PendingTokens
	}
	return max(0, load.PendingTokens-yielding) + int(v.yields[service].share()*float64(yielding))
}

// maxUrgentUse bounds the effect of more urgent prompts on a predicted wait to a factor of five.
const maxUrgentUse = 0.8

// SetUrgentUse sets, for each class of rank, the part of a service's engine time that goes to prompts
// of more urgent classes. A waiting prompt is delayed also by those that arrive after it.
func (v *View) SetUrgentUse(service string, use [route.RankClasses]float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.urgentUses[service] = use
}

// urgentUse returns the part of a service's engine time that goes to prompts more urgent than a class.
// The caller holds the lock.
func (v *View) urgentUse(service string, class int) float64 {
	if !v.traits[service].Ranked {
		return 0
	}
	return max(0, min(maxUrgentUse, v.urgentUses[service][class]))
}

// learnYield updates the service's yieldEstimate with the time to the first event of an attempt for
// which mostly less urgent prompts waited. The caller holds the lock.
func (c *Choice) learnYield(engines *pace.Engine, took time.Duration) {
	if engines == nil || c.Candidate || c.need.Deferred || c.Running >= c.Slots || c.yieldingTokens <= c.PrefillTokens {
		return
	}
	before := c.queuedTokens - int(c.view.yields[c.need.Service].share()*float64(c.yieldingTokens))
	if before > c.PrefillTokens {
		return
	}
	work := c.work
	work.PrefillTokens += max(0, before)
	work.PromptTokens += max(0, before)
	slowdown, speed := c.server.slowdownFactor(c.firstEventAt), &c.server.speeds.prefill
	predicted := time.Duration(slowdown * float64(speed.at(engines.FirstEvent(work))))
	c.view.yields[c.need.Service] = c.view.yields[c.need.Service].observe(took-predicted, speed.at(engines.QueueTime(c.yieldingTokens)))
}
