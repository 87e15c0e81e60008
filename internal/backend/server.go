// Package backend maintains a daemon's view of the backend servers: the platform's server list, the
// attempts that this daemon and its peers have in flight on each server, and the outcomes of recent
// attempts. It does no I/O; the time is passed in.
package backend

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/advice"
)

// Entry is a backend server as the platform lists it.
type Entry struct {
	// ID identifies the server. A restarted server may keep its ID.
	ID string
	// StartTimeMs identifies the incarnation: its start by the server's own clock, in milliseconds
	// since 1970. It is zero if servers do not report it.
	StartTimeMs int64
	// Sequence orders the entries of one incarnation.
	Sequence int64
	Service  string
	// Version is the version of the server's software.
	Version string
	// Revision is the store's revision of the entry.
	Revision int64
	// Address is the server's IP:port. It may later belong to another server.
	Address string
	Zone    string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is set if the server accepts no new work and ends soon.
	Draining bool
	// LeavesIn is the time until a reclaimed server ends, or zero if that is unknown.
	LeavesIn time.Duration
	// Reclaimable is set if the server is cheaper and may be reclaimed, possibly with its whole
	// zone.
	Reclaimable bool
	// WarmupLeft is how much longer the server is slow after its start.
	WarmupLeft time.Duration
}

// Outcome is how an attempt ended, with regard to the server's health.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeServed: the server answered.
	OutcomeServed Outcome = iota
	// OutcomeNeutral: the attempt ended for a reason unrelated to the server.
	OutcomeNeutral
	// OutcomeFull: the server declined the request because it was at capacity.
	OutcomeFull
	// OutcomeFailed: no connection, a connection reset, a timeout without data or an invalid
	// response.
	OutcomeFailed
	// OutcomeWrongServer: the address now belongs to another server.
	OutcomeWrongServer
)

const (
	// failureHalfLife is the half-life of the weight of a failure. A server is suspect while its
	// failure weight is above suspectThreshold, so one failure counts for two seconds. A success
	// multiplies the weight by successDecay: it takes off only a fifth, so that a server that fails
	// now and then stays suspect.
	failureHalfLife  = 2 * time.Second
	suspectThreshold = 0.5
	successDecay     = 0.8
	// maxFailureWeight bounds the failure weight, so that a server that has failed throughout is no
	// longer suspect after three half-lives.
	maxFailureWeight = 4.0
	// fullBackoff is how long a server that declined a request for lack of capacity is suspect.
	fullBackoff = 150 * time.Millisecond
	// serviceTimeWeight is the weight of a new attempt in the moving average of the attempts'
	// duration.
	serviceTimeWeight = 0.1
)

// server is one incarnation of a backend server: its entry and the state that this daemon keeps for
// it.
type server struct {
	Entry
	// attempts are this daemon's attempts in flight.
	attempts map[*Choice]struct{}
	// restartedAt is when this daemon learned that this incarnation replaced an earlier one, or
	// zero.
	restartedAt time.Time
	// key identifies the server between daemons; see KeyOf.
	key uint32
	homeRank
	ownLoad Load
	// deferredTokens is the number of pending prompt tokens of this daemon's deferred attempts.
	deferredTokens int
	// peerLoad is the load of all other daemons on the server, as of peerLoadAt.
	peerLoad   Load
	peerLoadAt time.Time
	cache      *promptCache
	// peerNotices is the load that other daemons have announced since the last load sums.
	peerNotices peerNotices

	lastFailureWeight float64
	failureWeightAt   time.Time
	fullUntil         time.Time
	// leftAt is when this daemon learned that the server drains or was removed from the list. The
	// server may be used as a last resort until usableUntil.
	leftAt      time.Time
	usableUntil time.Time
	listed      bool
	// leavingAnnouncedAt is when the server announced in a response that it leaves, or zero.
	// peerReported is set while only other daemons have received such a response.
	leavingAnnouncedAt time.Time
	peerReported       bool
	// goneAt is when the server is expected to be gone, or zero while it is not known to leave.
	goneAt      time.Time
	serviceTime time.Duration
	// speeds are the lasting speeds.
	speeds speeds
	// logSlowdown is the moving average of the logarithm of actual over predicted time to the first
	// event, as of logSlowdownAt. It is known to this daemon only, and concerns short periods.
	logSlowdown   float64
	logSlowdownAt time.Time
	lastServedAt  time.Time
	joinedAt      time.Time
	// limit is the server's latest request limit, liftedAt is when it last ended, and admissibleAt
	// is when the server may be sent a request again after it was found at its limit.
	limit        advice.Limit
	liftedAt     time.Time
	admissibleAt time.Time
	// backoffUntil is the end of the time for which the server asked this daemon, by Retry-After,
	// to send no requests.
	backoffUntil time.Time
}

// ready reports whether the server accepts new work.
func (s *server) ready() bool { return s.listed && !s.Draining && s.leavingAnnouncedAt.IsZero() }

// usableAsLastResort reports whether a leaving server may still be used if there is no other.
func (s *server) usableAsLastResort(now time.Time) bool { return now.Before(s.usableUntil) }

// failureWeight returns the decayed weight of the server's failures.
func (s *server) failureWeight(now time.Time) float64 {
	if s.lastFailureWeight == 0 {
		return 0
	}
	age := now.Sub(s.failureWeightAt).Seconds() / failureHalfLife.Seconds()
	return s.lastFailureWeight * math.Exp2(-age)
}

// backingOff reports whether the server has asked this daemon to send no requests for now.
func (s *server) backingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

// probationPeriod is how long a server stays on probation after its backoff.
const probationPeriod = 5 * time.Second

// onProbation reports whether the server has asked for a backoff and served nothing since: it may
// decline again.
func (s *server) onProbation(now time.Time) bool {
	return now.Before(s.backoffUntil.Add(probationPeriod)) && s.lastServedAt.Before(s.backoffUntil)
}

// suspect reports whether the server should be used only if no other is left.
func (s *server) suspect(now time.Time) bool {
	return now.Before(s.fullUntil) || s.failureWeight(now) > suspectThreshold
}

// recordOutcome records how an attempt ended.
func (s *server) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeServed:
		s.lastFailureWeight, s.failureWeightAt = successDecay*s.failureWeight(now), now
		s.lastServedAt = now
	case OutcomeFailed:
		s.lastFailureWeight, s.failureWeightAt = min(maxFailureWeight, s.failureWeight(now)+1), now
	case OutcomeFull:
		s.fullUntil = now.Add(fullBackoff)
	case OutcomeWrongServer:
		s.listed, s.usableUntil = false, time.Time{}
	}
}

// peerLoadTTL is how long the load of other daemons counts after it was received: twice the time
// after which a daemon counts as silent.
const peerLoadTTL = 3 * time.Second

// load returns the server's known load, of this daemon and all others.
func (s *server) load(now time.Time) Load {
	total := s.ownLoad.withPending(s.peerPending(now))
	if now.Sub(s.peerLoadAt) < peerLoadTTL {
		total = total.withRunning(s.peerLoad)
	}
	return total
}

// KeyOf returns the key by which daemons identify one incarnation of a server to each other, so
// that reports on an earlier incarnation do not apply to it. Servers whose keys collide share their
// loads, which only impairs the choice between them.
func KeyOf(e Entry) uint32 {
	name := e.ID
	if e.StartTimeMs != 0 {
		name += "|" + strconv.FormatInt(e.StartTimeMs, 16)
	}
	return uint32(xxhash.Sum64String(name))
}
