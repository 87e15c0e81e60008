// Package backend is a daemon's view of the backend servers: what the platform
// lists, what this daemon and its peers have in flight on each, and what
// happened to recent requests. It does no I/O; the time is passed in.
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
	// ID names the server. One that starts again may keep it.
	ID string
	// StartTimeMs names its incarnation: when it began by its own clock, in milliseconds since
	// 1970. It is zero where servers do not tell it.
	StartTimeMs int64
	// Sequence orders what one incarnation has told.
	Sequence int64
	Service  string
	// Version is that of the server's software.
	Version string
	// Revision is the store's revision of the entry.
	Revision int64
	// Address is the server's IP:port. It may later belong to another server.
	Address string
	Zone    string
	// Slots is the number of requests that the server works on at once.
	Slots int
	// Draining servers take no new work and end soon.
	Draining bool
	// LeavesIn is how long a reclaimed server has left, when it is known.
	LeavesIn time.Duration
	// Reclaimable servers are cheaper and may be taken away with their zone.
	Reclaimable bool
	// WarmupLeft is how much longer the server is slow after its start.
	WarmupLeft time.Duration
}

// Load is what is in flight on a server.
type Load struct {
	Running int
	// PendingTokens are prompt tokens without a first token yet.
	PendingTokens int
}

// Outcome is how an attempt at a server ended, as far as the server's health is
// concerned.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeServed: the server answered.
	OutcomeServed Outcome = iota
	// OutcomeNeutral: the attempt ended for a reason that is not the server's.
	OutcomeNeutral
	// OutcomeFull: the server declined for lack of room.
	OutcomeFull
	// OutcomeFailed: no connection, a reset, silence or a broken answer.
	OutcomeFailed
	// OutcomeWrongServer: another server has the address now.
	OutcomeWrongServer
)

const (
	// failureHalfLife halves the weight of a failure. A server is suspect while
	// its weight is above suspectThreshold, so one failure counts for two seconds. An
	// answer takes a fifth off, so that a server that fails now and then stays
	// suspect.
	failureHalfLife  = 2 * time.Second
	suspectThreshold = 0.5
	successDecay     = 0.8
	// maxFailureWeight bounds the weight: three half-lives until a server that has
	// failed throughout is tried first again.
	maxFailureWeight = 4.0
	// fullBackoff is how long a server that declined for lack of room is avoided.
	fullBackoff = 150 * time.Millisecond
	// serviceTimeWeight is the weight of a new attempt in the mean time of
	// attempts.
	serviceTimeWeight = 0.1
)

// server is one incarnation of a server: its entry with what this daemon knows of it.
type server struct {
	Entry
	// attempts are those in flight.
	attempts map[*Choice]struct{}
	// restartedAt is when an incarnation that followed another one was learned of.
	restartedAt time.Time
	// key is how daemons name the server to each other.
	key uint32
	// idHash is the hash of its ID, by which homes of prompts are found.
	idHash  uint64
	ownLoad Load
	// deferredTokens are prompt tokens of this daemon that go behind all others there.
	deferredTokens int
	// peerLoad is what others have in flight on the server, as of peerLoadAt.
	peerLoad   Load
	peerLoadAt time.Time
	cache      *promptCache
	// peerNotices are what others have sent there since.
	peerNotices peerNotices

	lastFailureWeight float64
	failureWeightAt   time.Time
	fullUntil         time.Time
	// leftAt is when this daemon learned that the server drains or is gone from
	// the list; usableUntil ends its use as a last resort.
	leftAt      time.Time
	usableUntil time.Time
	listed      bool
	// leavingAnnouncedAt is when the server announced in a response that it leaves, or zero; peerReported
	// is set while only other daemons have received such a response.
	leavingAnnouncedAt time.Time
	peerReported       bool
	serviceTime        time.Duration
	// logSlowdown is how much longer the server's first events took of late than those of its
	// service, as a logarithm, as of logSlowdownAt.
	logSlowdown   float64
	logSlowdownAt time.Time
	lastServedAt  time.Time
	joinedAt      time.Time
	// limit is the server's latest request limit, liftedAt when it last ended, and admissibleAt when a server
	// at its limit may be sent a request.
	limit        advice.Limit
	liftedAt     time.Time
	admissibleAt time.Time
	// backoffUntil is until when the server wants no requests from this daemon.
	backoffUntil time.Time
}

// ready reports whether the server takes new work.
func (s *server) ready() bool { return s.listed && !s.Draining && s.leavingAnnouncedAt.IsZero() }

// usableAsLastResort reports whether a server that leaves may still be used when there is
// no other.
func (s *server) usableAsLastResort(now time.Time) bool { return now.Before(s.usableUntil) }

func (s *server) failureWeight(now time.Time) float64 {
	if s.lastFailureWeight == 0 {
		return 0
	}
	age := now.Sub(s.failureWeightAt).Seconds() / failureHalfLife.Seconds()
	return s.lastFailureWeight * math.Exp2(-age)
}

// backingOff reports whether the server has asked this daemon for rest.
func (s *server) backingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

// probationPeriod is how long after its rest a server that has served nothing since is not relied on.
const probationPeriod = 5 * time.Second

// onProbation reports whether the server has declined and served nothing since: it may decline again.
func (s *server) onProbation(now time.Time) bool {
	return now.Before(s.backoffUntil.Add(probationPeriod)) && s.lastServedAt.Before(s.backoffUntil)
}

// suspect reports whether the server should be used only when no other is
// left.
func (s *server) suspect(now time.Time) bool {
	return now.Before(s.fullUntil) || s.failureWeight(now) > suspectThreshold
}

// recordOutcome takes over how an attempt ended.
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

const (
	// slowdownWeight is the weight of a first event in how slow a server is: one in three
	// that takes eight times as long is felt, one alone is not.
	slowdownWeight = 0.2
	// slowdownHalfLife halves it, so that a server that was slow is tried again.
	slowdownHalfLife = 5 * time.Second
	// maxLogSlowdown bounds it: a factor of seven.
	maxLogSlowdown = 2.0
)

// slowdownFactor returns how much longer than the service's servers this one takes, at least
// one.
func (s *server) slowdownFactor(now time.Time) float64 {
	return math.Exp(max(0, s.decayedLogSlowdown(now)))
}

func (s *server) decayedLogSlowdown(now time.Time) float64 {
	if s.logSlowdown == 0 {
		return 0
	}
	return s.logSlowdown * math.Exp2(-now.Sub(s.logSlowdownAt).Seconds()/slowdownHalfLife.Seconds())
}

// recordFirstEvent takes over how long a first event took against what was predicted.
func (s *server) recordFirstEvent(predicted, took time.Duration, now time.Time) {
	if predicted <= 0 || took <= 0 {
		return
	}
	ratio := max(-maxLogSlowdown, min(maxLogSlowdown, math.Log(took.Seconds()/predicted.Seconds())))
	slow := s.decayedLogSlowdown(now)
	s.logSlowdown, s.logSlowdownAt = slow+slowdownWeight*(ratio-slow), now
}

// peerLoadTTL is how long what others have in flight counts after it was told: twice
// the time after which a daemon counts as silent.
const peerLoadTTL = 3 * time.Second

func (s *server) load(now time.Time) Load {
	sum := s.ownLoad
	sum.PendingTokens += s.peerPendingTokens(now)
	if now.Sub(s.peerLoadAt) < peerLoadTTL {
		sum.Running += max(0, s.peerLoad.Running)
	}
	return sum
}

// KeyOf returns the key by which daemons name one incarnation of a server to each other:
// what is told of an earlier one does not count for it. Two servers with the same key share
// their loads, which only misleads the choice between them.
func KeyOf(e Entry) uint32 {
	name := e.ID
	if e.StartTimeMs != 0 {
		name += "|" + strconv.FormatInt(e.StartTimeMs, 16)
	}
	return uint32(xxhash.Sum64String(name))
}
