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
	// Leaving servers, and those at the limits that they name, get no new work.
	Leaving bool
	// Suspect servers have just failed and are used only when no other is
	// left.
	Suspect bool
	// Queue is the time until the prompts that are waiting there are read.
	Queue time.Duration
	// IdleWait is the time to the first token of the attempt itself, without a queue.
	IdleWait time.Duration
	// Running is the number of attempts that this daemon has on the server.
	Running int
	// MaxBatch is the number of attempts that the server runs at once.
	MaxBatch int
	// ExcessDelay is how much longer than predicted recent first tokens took: the
	// work of other daemons, seen from here.
	ExcessDelay time.Duration
	// ServiceTime is the mean time of an attempt.
	ServiceTime time.Duration
	// CrossZoneLatency is the network time that a server of another availability zone takes longer
	// than one of the caller's own.
	CrossZoneLatency time.Duration
}

// Need is what an attempt asks of a server.
type Need struct {
	Zone string
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

// DefaultCrossZoneLatency is taken for Away until connections have shown it: zones of one region lie
// half a millisecond to two apart, each way.
const DefaultCrossZoneLatency = 2 * time.Millisecond

// PredictWait returns the expected time to the first token on a server.
func PredictWait(server *Server, need *Need) time.Duration {
	wait := server.ExcessDelay + server.Queue + server.IdleWait
	if over := server.Running + 1 - server.MaxBatch; server.MaxBatch > 0 && over > 0 {
		wait += time.Duration(over) * server.ServiceTime / time.Duration(server.MaxBatch)
	}
	if server.Zone != need.Zone {
		wait += server.CrossZoneLatency
	}
	return wait
}

const (
	// lateFactor times a route's target is the predicted time to the first event
	// above which a request is better refused: predictions are behind by what other
	// daemons have sent lately, and a late answer earns a tenth.
	lateFactor = 0.6
	// toleratedQueueFactor times the target is the wait that is never a reason to refuse. A
	// request whose own prompt takes longer than the target is late on any engine, and
	// refusing it would shut out a size; it is served while there is no queue.
	toleratedQueueFactor = 0.2
)

// TooLate reports whether a first event at that time after the request's arrival
// would come so late, for a queue and not for the request's own size, that another
// request is better served by the same work. own is the part that the request would
// take on an idle server.
func TooLate(first, own, target time.Duration) bool {
	wait := first - own
	return first > time.Duration(lateFactor*float64(target)) && wait > time.Duration(toleratedQueueFactor*float64(target))
}

// remainingTimeFactor times the time that a caller has left is the predicted time to the first
// event up to which a request that is late already waits: the rest of the answer needs
// time too.
const remainingTimeFactor = 0.5

// Timing is what is known of a request's time when a server has been picked for it.
type Timing struct {
	// Age is how long ago the caller first tried; zero where that is not known.
	Age time.Duration
	// Wait is the predicted time to the first event from now, Own the part of it that the
	// request would take on an idle server.
	Wait, IdleWait time.Duration
	// Target is the time to the first event that the route asks for, Left how much longer
	// the caller waits.
	Target, Remaining time.Duration
}

// Overdue reports whether a caller first tried so long ago that its answer is late
// whatever happens. It goes behind those whose answers may be in time.
func Overdue(age, target time.Duration) bool { return age > target }

// ShouldRefuse reports whether a request is better refused at once. One that is overdue is
// served as long as its caller waits for the rest of the answer.
func (t Timing) ShouldRefuse() bool {
	if Overdue(t.Age, t.Target) {
		return t.Wait > time.Duration(remainingTimeFactor*float64(t.Remaining))
	}
	return TooLate(t.Age+t.Wait, t.Age+t.IdleWait, t.Target)
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
		if best < 0 || preferred(server, wait, &servers[best], bestWait, &need) {
			best, bestWait = i, wait
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Server: servers[best], Wait: bestWait}, true
}

// preferred compares a candidate with the best so far.
func preferred(a *Server, waitA time.Duration, b *Server, waitB time.Duration, need *Need) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if triedA, triedB := need.Tried[a.ID], need.Tried[b.ID]; triedA != triedB {
		return triedB
	}
	if home := a.Zone == need.Zone; !need.AnyZone && home != (b.Zone == need.Zone) {
		return preferOwnZone(home, waitA, waitB, need.Target)
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

// preferOwnZone keeps an attempt in its own zone while the target is met there.
func preferOwnZone(aIsHome bool, waitA, waitB, target time.Duration) bool {
	comfort := target / 2
	if aIsHome {
		return waitA <= comfort || waitA <= waitB
	}
	return waitB > comfort && waitA < waitB
}
