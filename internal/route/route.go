// Package route decides which backend server gets an attempt. It does no I/O
// and has no clock; everything it needs is passed in.
package route

import (
	"time"
)

// Server is a backend server as the router sees it.
type Server struct {
	ID      string
	Zone    string
	Address string
	// PricePerHour is the price of the server's VM.
	PricePerHour float64
	// Leaving servers get no new work.
	Leaving bool
	// Suspect servers have just failed and are used only when no other is
	// left.
	Suspect bool
	// PendingTokens are prompt tokens that this daemon has sent and that have
	// not yet led to a first token.
	PendingTokens int
	// Running is the number of attempts that this daemon has on the server.
	Running int
	// MaxBatch is the number of attempts that the server runs at once.
	MaxBatch int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// Excess is how much longer than predicted recent first tokens took: the
	// work of other daemons, seen from here.
	Excess time.Duration
	// ServiceTime is the mean time of an attempt.
	ServiceTime time.Duration
	// CachedTokens is the part of the prompt that the server is predicted to
	// have in its cache.
	CachedTokens int
	// FetchTokens is what the server can copy of the prompt from another server
	// beyond that, at FetchRate in tokens per second.
	FetchTokens int
	FetchRate   float64
}

// Need is what an attempt asks of a server.
type Need struct {
	Zone         string
	PromptTokens int
	// Target is the time to the first token that the route asks for.
	Target time.Duration
	// Tried are servers that this request should avoid.
	Tried map[string]bool
	// AnyZone lets the predicted wait alone decide, without a preference for
	// the caller's own zone: a prompt's cached parts lie in one place.
	AnyZone bool
}

// Choice is the outcome of a decision.
type Choice struct {
	Server Server
	// Wait is the predicted time to the first token or, for a plain service,
	// to the start of the call.
	Wait time.Duration
}

// otherZonePenalty is the network time added for a server in another
// availability zone: about one and a half milliseconds each way at the
// larger of today's two deployments.
const otherZonePenalty = 3 * time.Millisecond

// fetchSetup is the time until an engine's copy from another one begins: 5.3 ms
// by both users' sheets.
const fetchSetup = 5 * time.Millisecond

// Unread returns how many tokens of a prompt the server is predicted to read.
func (s *Server) Unread(promptTokens int) int {
	return max(0, promptTokens-s.CachedTokens-s.FetchTokens)
}

// PredictWait returns the expected time to the first token on a server.
func PredictWait(server *Server, need *Need) time.Duration {
	wait := server.Excess
	if server.PrefillRate > 0 {
		tokens := float64(server.PendingTokens + server.Unread(need.PromptTokens))
		wait += time.Duration(tokens / server.PrefillRate * float64(time.Second))
	}
	if server.FetchTokens > 0 && server.FetchRate > 0 {
		wait += fetchSetup + time.Duration(float64(server.FetchTokens)/server.FetchRate*float64(time.Second))
	}
	if over := server.Running + 1 - server.MaxBatch; server.MaxBatch > 0 && over > 0 {
		wait += time.Duration(over) * server.ServiceTime / time.Duration(server.MaxBatch)
	}
	if server.Zone != need.Zone {
		wait += otherZonePenalty
	}
	return wait
}

// lateFactor times a route's target is the predicted time to the first event
// above which a request is better refused: predictions are behind by what other
// daemons have sent lately, and a late answer earns a tenth.
const lateFactor = 0.6

// TooLate reports whether a first event at that time after the request's arrival
// would come so late that another request is better served by the same work.
func TooLate(first, target time.Duration) bool {
	return first > time.Duration(lateFactor*float64(target))
}

// Pick returns the server with the least predicted wait, in the caller's own
// availability zone while the wait there is at most half of the target. Equal
// waits are told apart by price. It returns false when no server may take the
// attempt.
func Pick(servers []Server, need Need) (Choice, bool) {
	best := -1
	var bestWait time.Duration
	for i := range servers {
		server := &servers[i]
		if server.Leaving {
			continue
		}
		wait := PredictWait(server, &need)
		if best < 0 || better(server, wait, &servers[best], bestWait, &need) {
			best, bestWait = i, wait
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Server: servers[best], Wait: bestWait}, true
}

// better compares a candidate with the best so far.
func better(a *Server, waitA time.Duration, b *Server, waitB time.Duration, need *Need) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if triedA, triedB := need.Tried[a.ID], need.Tried[b.ID]; triedA != triedB {
		return triedB
	}
	if home := a.Zone == need.Zone; !need.AnyZone && home != (b.Zone == need.Zone) {
		return preferHome(home, waitA, waitB, need.Target)
	}
	if waitA != waitB {
		return waitA < waitB
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	if a.PricePerHour != b.PricePerHour {
		return a.PricePerHour < b.PricePerHour
	}
	return a.ID < b.ID
}

// preferHome keeps an attempt in its own zone while the target is met there.
func preferHome(aIsHome bool, waitA, waitB, target time.Duration) bool {
	comfort := target / 2
	if aIsHome {
		return waitA <= comfort || waitA <= waitB
	}
	return waitB > comfort && waitA < waitB
}
