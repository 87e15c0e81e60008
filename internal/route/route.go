// Package route picks the backend server for an attempt. It does no I/O and has no clock;
// everything it needs is passed in.
package route

import (
	"time"
)

// Server is a backend server with the properties that the choice depends on.
type Server struct {
	ID      string
	Zone    string
	Address string
	// Version is the version of the server's software, or empty if it is not known.
	Version string
	// PricePerHour is the price of the server's VM.
	PricePerHour float64
	// Leaving is set for servers that must get no new work: they leave, back off or are at their
	// request limits.
	Leaving bool
	// Suspect is set for servers that should be used only if no other is left, usually because they
	// failed or declined recently.
	Suspect bool
	// Queue is the time until the prompts that are already waiting on the server, and that it admits
	// before this attempt, are processed.
	Queue time.Duration
	// IdleWait is the time from the attempt's start to its first token on an idle server.
	IdleWait time.Duration
	// Running is the number of attempts that are known to be running on the server.
	Running int
	// Yielding is the number of the running attempts that the server preempts for this one, because
	// they are less urgent.
	Yielding int
	// MaxBatch is the number of attempts that the server runs at once.
	MaxBatch int
	// ExcessDelay is an additional delay beyond the prediction: a remaining warm-up, or the delay
	// that recent first tokens had because of work of other daemons.
	ExcessDelay time.Duration
	// ServiceTime is the mean duration of an attempt.
	ServiceTime time.Duration
	// CrossZoneLatency is the additional network latency if the server is in another availability
	// zone than the caller. It is not added within the zone.
	CrossZoneLatency time.Duration
}

// Need describes what an attempt requires of a server.
type Need struct {
	Zone string
	// Target is the route's target for the time to the first token.
	Target time.Duration
	// Tried holds the IDs of servers that this request should avoid.
	Tried map[string]bool
	// AnyZone makes the predicted wait alone decide, without a preference for the caller's own
	// zone. It is set for model engines, because the cached parts of a prompt are in one place.
	AnyZone bool
}

// Choice is a picked server and the wait predicted for it.
type Choice struct {
	Server Server
	// Wait is the predicted time to the first token or, for a plain service,
	// to the start of the call.
	Wait time.Duration
}

// DefaultCrossZoneLatency is used until the latency to a zone is measured. The zones of a region
// are 0.5 to 2 ms apart in each direction.
const DefaultCrossZoneLatency = 2 * time.Millisecond

// PredictWait returns the expected time to the first token on a server.
func PredictWait(server *Server, need *Need) time.Duration {
	wait := server.ExcessDelay + server.Queue + server.IdleWait
	if excess := server.Running - server.Yielding + 1 - server.MaxBatch; server.MaxBatch > 0 && excess > 0 {
		wait += time.Duration(excess) * server.ServiceTime / time.Duration(server.MaxBatch)
	}
	if server.Zone != need.Zone {
		wait += server.CrossZoneLatency
	}
	return wait
}

const (
	// lateFactor times the route's target is the predicted time to the first event above which a
	// request is refused. Predictions lag behind what other daemons have sent recently, and a late
	// answer is worth only a tenth of one in time.
	lateFactor = 0.6
	// toleratedQueueFactor times the target is the queueing time up to which no request is refused.
	// A request whose own prompt takes longer than the target is late on any engine, and refusing
	// it would exclude all prompts of that size; it is served while there is no queue.
	toleratedQueueFactor = 0.2
)

// TooLate reports whether a first event at the given time after the request's arrival would be so
// late that the engines' time is better spent on another request. Lateness counts only if queueing
// causes it and not the request's own size. idle is the time that the request would take on an idle
// server.
func TooLate(first, idle, target time.Duration) bool {
	queued := first - idle
	return first > time.Duration(lateFactor*float64(target)) && queued > time.Duration(toleratedQueueFactor*float64(target))
}

// remainingTimeFactor times the caller's remaining time is the predicted time to the first event up
// to which a request that is already late waits. The rest of the answer needs time too.
const remainingTimeFactor = 0.5

// Timing holds the times of a request for which a server was picked.
type Timing struct {
	// Age is the time since the caller's first try, or zero if that is unknown.
	Age time.Duration
	// Wait is the predicted time from now to the first event, and IdleWait the part of it that the
	// request would take on an idle server.
	Wait, IdleWait time.Duration
	// Target is the route's target for the time to the first event, and Remaining is how much
	// longer the caller waits.
	Target, Remaining time.Duration
}

// Overdue reports whether the caller's first try was so long ago that its answer is late in any
// case. Such a request runs after those whose answers may be in time.
func Overdue(age, target time.Duration) bool { return age > target }

// ShouldRefuse reports whether the request should be refused at once. An overdue request is served
// as long as its caller is likely to wait for the whole answer.
func (t Timing) ShouldRefuse() bool {
	if Overdue(t.Age, t.Target) {
		return t.Wait > time.Duration(remainingTimeFactor*float64(t.Remaining))
	}
	return TooLate(t.Age+t.Wait, t.Age+t.IdleWait, t.Target)
}

// Pick returns the server with the shortest predicted wait, and prefers the caller's own
// availability zone while the wait there is at most half of the target. Suspect servers and those
// already tried come last. Ties are broken by the number of running attempts, then by price. It
// returns false if no server may take the attempt.
func Pick(servers []Server, need Need) (Choice, bool) {
	best := -1
	var bestWait time.Duration
	for i := range servers {
		server := &servers[i]
		if server.Leaving {
			continue
		}
		wait := PredictWait(server, &need)
		if best < 0 || preferred(server, wait, &servers[best], bestWait, &need) {
			best, bestWait = i, wait
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Server: servers[best], Wait: bestWait}, true
}

// preferred reports whether server a is a better choice than b, given their predicted waits.
func preferred(a *Server, waitA time.Duration, b *Server, waitB time.Duration, need *Need) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if triedA, triedB := need.Tried[a.ID], need.Tried[b.ID]; triedA != triedB {
		return triedB
	}
	if inOwnZone := a.Zone == need.Zone; !need.AnyZone && inOwnZone != (b.Zone == need.Zone) {
		return preferOwnZone(inOwnZone, waitA, waitB, need.Target)
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

// preferOwnZone compares two servers of which one is in the caller's own zone, and reports whether
// a is better. The own zone is preferred while its wait is at most half of the target.
func preferOwnZone(aInOwnZone bool, waitA, waitB, target time.Duration) bool {
	acceptable := target / 2
	if aInOwnZone {
		return waitA <= acceptable || waitA <= waitB
	}
	return waitB > acceptable && waitA < waitB
}
