// Package evacuation decides what happens to the running streams of servers that are about to leave:
// which of them end by themselves, are moved to another server, are resumed there by reading the
// prompt again, or stay, in which order, and at which targets. It also holds the decisions in the
// course of one move. It does no I/O and has no clock.
package evacuation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// endMargin is how long before its server is gone a stream has to be predicted to end for it to
	// need no move, and endFactor the factor on the predicted time: predictions of the length of
	// answers are right on average only.
	endMargin = 150 * time.Millisecond
	endFactor = 1.5
	// minMoveTime is the time that a move takes beside its copies: four calls over a network.
	minMoveTime = 60 * time.Millisecond
	// crossZoneFactor is how many times longer a copy takes between zones.
	crossZoneFactor = 2
	// resumeLead is how long before its server is gone a stream that cannot be moved is resumed
	// elsewhere. Its server may still end the stream until then.
	resumeLead = 250 * time.Millisecond
	// resumableWeight is the loss of a stream that can be resumed, if it is cut, in relation to one
	// that cannot: a pause and another reading of the prompt in place of the whole answer.
	resumableWeight = 0.2
	// reservedShare is the share of a target's slots that moved streams leave to new work. Streams of
	// the most urgent rank may take it.
	reservedShare = 0.1
	// sameZoneWeight is how much more often a target in the source's zone is chosen.
	sameZoneWeight = 2.0
	// maxSuitable is the number of suitable servers that are considered for one stream. It bounds the
	// cost of a plan: all 2,600 servers of the largest deployment took 8.4 ms for 30 streams.
	maxSuitable = 64
)

// Stream is a running stream whose server leaves.
type Stream struct {
	// ID is the request's ID, and Source the ID of the server.
	ID, Source string
	// Service and Version are those of the server: a target has the same. Zone is the server's zone.
	Service, Version, Zone string
	// Rank is the urgency; zero is the most urgent.
	Rank int
	// Begun is set once the server has written an event. Runs without one cannot be copied.
	Begun bool
	// Resumable is set if the stream may be resumed at another server by reading its prompt again.
	Resumable bool
	// Remaining is the predicted time to the stream's last event.
	Remaining time.Duration
	// GoneAt is when the server is gone.
	GoneAt time.Time
	// Tokens is the number of tokens in the engine's memory. CopyTime is the time to copy them within
	// a zone, and ReadTime the time to read the prompt again.
	Tokens   int
	CopyTime time.Duration
	ReadTime time.Duration
	// Declined holds the IDs of targets that have declined the stream.
	Declined []string
}

// Server is a server that may be a target.
type Server struct {
	ID, Service, Version, Zone string
	// Slots is the number of requests that it runs at once, and Running how many of these are in use.
	Slots, Running int
	// FreeTokens is the free memory in tokens, as far as known.
	FreeTokens int
	// Speed is its speed in relation to its service; zero counts as one.
	Speed float64
}

// Outcome is what happens to a stream.
type Outcome string

// The outcomes.
const (
	// Ends means that the stream is predicted to end before its server is gone.
	Ends Outcome = "ends"
	// Moves means that the stream is moved to the target.
	Moves Outcome = "moves"
	// Resumes means that the stream is to be resumed at another server now.
	Resumes Outcome = "resumes"
	// Waits means that the stream is resumed later, unless it ends before.
	Waits Outcome = "waits"
	// Stays means that nothing can be done for now.
	Stays Outcome = "stays"
)

// The reasons why a stream stays.
const (
	ReasonNotBegun = "no event yet"
	ReasonTooLate  = "too little time to move"
	ReasonNoTarget = "no target with room"
	ReasonLinks    = "links are busy for too long"
)

// Move is the decision on one stream.
type Move struct {
	Stream  *Stream
	Outcome Outcome
	// Target is the ID of the server to which the stream moves.
	Target string
	// Reason states why a stream that neither ends nor moves does not.
	Reason string
}

// Plan decides on all streams, those first that are to be moved first. Streams of different daemons are
// spread over the targets by hashing, because all daemons see the same old loads.
func Plan(streams []Stream, servers []Server, now time.Time) []Move {
	p := &planner{now: now, servers: slices.Clone(servers), links: map[string]time.Duration{}}
	order := make([]*Stream, len(streams))
	for i := range streams {
		order[i] = &streams[i]
	}
	slices.SortStableFunc(order, func(a, b *Stream) int {
		return cmp.Or(cmp.Compare(b.urgency(now), a.urgency(now)), cmp.Compare(a.ID, b.ID))
	})
	moves := make([]Move, 0, len(order))
	for _, s := range order {
		moves = append(moves, p.decide(s))
	}
	return moves
}

// urgency orders streams by the loss per time that their move takes, and those of servers that leave
// sooner before others.
func (s *Stream) urgency(now time.Time) float64 {
	loss := 1.0 / float64(1+s.Rank)
	if s.Resumable {
		loss *= resumableWeight
	}
	left := max(minMoveTime, s.GoneAt.Sub(now))
	return loss / (s.CopyTime + minMoveTime).Seconds() / left.Seconds()
}

// endsInTime reports whether the stream is predicted to end before its server is gone.
func (s *Stream) endsInTime(now time.Time) bool {
	return time.Duration(endFactor*float64(s.Remaining)) <= s.GoneAt.Sub(now)-endMargin
}

// planner holds what earlier decisions of a plan take up.
type planner struct {
	now     time.Time
	servers []Server
	// links is for how long the planned copies occupy the link of each server.
	links map[string]time.Duration
}

func (p *planner) decide(s *Stream) Move {
	left := s.GoneAt.Sub(p.now)
	switch {
	case s.endsInTime(p.now):
		return Move{Stream: s, Outcome: Ends}
	case !s.Begun:
		return p.leave(s, ReasonNotBegun)
	case left < s.CopyTime+minMoveTime:
		return p.leave(s, ReasonTooLate)
	}
	target := p.target(s)
	if target == nil {
		return p.leave(s, ReasonNoTarget)
	}
	copyTime := s.CopyTime
	if target.Zone != s.Zone {
		copyTime *= crossZoneFactor
	}
	queued := max(p.links[s.Source], p.links[target.ID])
	switch {
	case queued+copyTime+minMoveTime > left:
		return p.leave(s, ReasonLinks)
	case s.Resumable && s.ReadTime < copyTime:
		return p.leave(s, "")
	}
	p.links[s.Source], p.links[target.ID] = queued+copyTime, queued+copyTime
	target.Running++
	target.FreeTokens -= s.Tokens
	return Move{Stream: s, Outcome: Moves, Target: target.ID}
}

// leave decides on a stream that is not moved.
func (p *planner) leave(s *Stream, reason string) Move {
	switch {
	case !s.Resumable:
		return Move{Stream: s, Outcome: Stays, Reason: reason}
	case s.GoneAt.Sub(p.now) > resumeLead+s.ReadTime:
		return Move{Stream: s, Outcome: Waits, Reason: reason}
	}
	return Move{Stream: s, Outcome: Resumes, Reason: reason}
}

// target returns the target of a stream by weighted rendezvous hashing, or nil. If there are many
// servers, it considers a part of them that differs between streams.
func (p *planner) target(s *Stream) *Server {
	var best *Server
	bestScore, suitable := 0.0, 0
	start := int(xxhash.Sum64String(s.ID) % uint64(max(1, len(p.servers))))
	for i := range p.servers {
		t := &p.servers[(start+i)%len(p.servers)]
		weight := t.weight(s)
		if weight <= 0 {
			continue
		}
		draw := (float64(xxhash.Sum64String(s.ID+"|"+t.ID)>>11) + 0.5) / (1 << 53)
		if score := -weight / math.Log(draw); best == nil || score > bestScore {
			best, bestScore = t, score
		}
		if suitable++; suitable == maxSuitable {
			break
		}
	}
	return best
}

// weight returns the weight of the server as the target of a stream: its free room and speed, or zero
// if it cannot be the target.
func (t *Server) weight(s *Stream) float64 {
	if t.ID == s.Source || t.Service != s.Service || t.Version != s.Version || slices.Contains(s.Declined, t.ID) {
		return 0
	}
	free := float64(t.Slots - t.Running)
	if s.Rank > 0 {
		free -= math.Ceil(reservedShare * float64(t.Slots))
	}
	if free < 1 || t.FreeTokens < s.Tokens {
		return 0
	}
	weight := free
	if t.Speed > 0 {
		weight *= t.Speed
	}
	if t.Zone == s.Zone {
		weight *= sameZoneWeight
	}
	return weight
}
