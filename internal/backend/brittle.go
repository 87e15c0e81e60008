package backend

import (
	"time"

	"github.com/plankridge/plankridge/internal/advice"
)

const (
	// brittleUtilization is the share of its estimated capacity that a brittle server is sent. The
	// rest is a reserve for uneven arrivals and for the tolerance of the shared limiter.
	brittleUtilization = 0.5
	// declineFactor and raiseFactor change an estimate after a declined request, and while there is
	// none. adjustInterval is the minimum time between two changes.
	declineFactor  = 0.7
	raiseFactor    = 1.1
	adjustInterval = time.Second
	// brittleBackoff is how long this daemon sends nothing to a brittle server that has declined one
	// of its requests.
	brittleBackoff = time.Second
	// requestSizeWeight is the weight of a new answer in the averages of requestSizes.
	requestSizeWeight = 0.1
)

// requestSizes are moving averages over the answers of a service: the time that a request occupies
// its server, and its tokens.
type requestSizes struct {
	seconds, tokens float64
	answers         int
}

// withAnswer returns the averages with one more answer.
func (r requestSizes) withAnswer(took time.Duration, tokens int) requestSizes {
	if r.answers == 0 {
		return requestSizes{seconds: took.Seconds(), tokens: float64(tokens), answers: 1}
	}
	r.seconds += requestSizeWeight * (took.Seconds() - r.seconds)
	r.tokens += requestSizeWeight * (float64(tokens) - r.tokens)
	r.answers++
	return r
}

// recordRequestSize updates the averages of the service after an answer. The caller holds the lock.
func (c *Choice) recordRequestSize(took time.Duration) {
	tokens := c.need.PromptTokens + c.need.Answer.MaxTokens
	c.view.requestSizes[c.Service] = c.view.requestSizes[c.Service].withAnswer(took, tokens)
}

// estimatedCapacity returns the number of requests per second that keep all places of a server busy,
// or zero if no answer of the service is known. The caller holds the lock.
func (v *View) estimatedCapacity(s *server) float64 {
	sizes := v.requestSizes[s.Service]
	if sizes.answers == 0 || sizes.seconds <= 0 {
		return 0
	}
	places := float64(s.Slots)
	if memory := float64(v.traits[s.Service].CacheTokens); memory > 0 && sizes.tokens > 0 {
		places = min(places, memory/sizes.tokens)
	}
	return places / sizes.seconds
}

// estimateLimit returns the limit of a brittle server after a response. The estimate begins with a
// share of the capacity, falls with declined requests and rises again up to that share. The caller
// holds the lock.
func (v *View) estimateLimit(s *server, declined bool, now time.Time) advice.Limit {
	most := brittleUtilization * v.estimatedCapacity(s)
	current := s.limit
	switch {
	case most == 0:
		return current
	case !current.Limited || !current.Estimated:
		return advice.Limit{Rate: most, Limited: true, Estimated: true, ObservedAt: now}
	case now.Sub(current.ObservedAt) < adjustInterval:
		return current
	case declined:
		current.Rate *= declineFactor
	default:
		current.Rate = min(most, raiseFactor*current.Rate)
	}
	current.ObservedAt = now
	return current
}
