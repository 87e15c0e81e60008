package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/pace"
)

// unreadWeight is the weight of a new attempt in the average of the share of a prompt that engines
// have to process.
const unreadWeight = 0.02

// rankedService is a service and a class of rank.
type rankedService struct {
	service string
	class   int
}

// recordUnreadShare updates the average of the share of a prompt that engines have to process because
// they neither cache nor copy it. The caller holds the lock.
func (v *View) recordUnreadShare(need Need, work pace.Work) {
	if need.PromptTokens <= 0 {
		return
	}
	share := float64(work.PrefillTokens) / float64(need.PromptTokens)
	of := rankedService{need.Service, need.Class}
	mean, known := v.unreadShares[of]
	if !known {
		mean = share
	}
	v.unreadShares[of] = mean + unreadWeight*(share-mean)
}

// EstimateLoad returns the load that an attempt is expected to put on the engines, without a choice of
// server. It is zero for plain services.
func (v *View) EstimateLoad(need Need) demand.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	traits, engines := v.traits[need.Service], v.engineFor(need.Service)
	if engines == nil {
		return demand.Load{}
	}
	work := pace.Work{PromptTokens: need.PromptTokens, PrefillTokens: max(0, need.PromptTokens-sharedTokens(need.Parts))}
	if unread, known := v.unreadShares[rankedService{need.Service, need.Class}]; known {
		work.PrefillTokens = int(unread * float64(need.PromptTokens))
	}
	return attemptLoad(work, need.Answer, traits, traits.Slots, engines)
}

// Backlog is the work that waits at the ready servers of a service.
type Backlog struct {
	Servers int
	// Mean is the mean time that a server needs for the prompts that wait at it.
	Mean time.Duration
}

// Backlog returns the work that is known to wait at the ready servers of a service. Servers that have
// failed recently do not count.
func (v *View) Backlog(service string, now time.Time) Backlog {
	v.mu.Lock()
	defer v.mu.Unlock()
	engines := v.engineFor(service)
	var backlog Backlog
	tokens := 0
	for _, s := range v.servers {
		if s.Service != service || !s.ready() || s.suspect(now) {
			continue
		}
		backlog.Servers++
		tokens += s.load(now).PendingTokens
	}
	if engines != nil && backlog.Servers > 0 {
		backlog.Mean = engines.QueueTime(tokens / backlog.Servers)
	}
	return backlog
}
