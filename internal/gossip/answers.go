package gossip

import (
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
	"github.com/plankridge/plankridge/internal/steady"
)

// maxSentTimes is the number of own reports whose send time is kept. A peer answers one of the last
// few.
const maxSentTimes = 64

// sentTimes holds when the last own reports were sent, by sequence number, so that the answer to one
// of them proves how recent it is. The time at which a datagram is received proves nothing: after a
// pause of the process it is read from the socket long after it was sent.
type sentTimes struct {
	mu sync.Mutex
	at map[uint64]time.Time
}

// record records that the report of a sequence number is about to be sent.
func (s *sentTimes) record(sequence uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[uint64]time.Time{}
	}
	s.at[sequence] = now
	delete(s.at, sequence-maxSentTimes)
}

// get returns when a report was sent, or zero if that is not known.
func (s *sentTimes) get(sequence uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[sequence]
}

// nextSequence returns the sequence number of the next report, which is sent after now.
func (n *Node) nextSequence() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	n.sentTimes.record(n.sequence, steady.Now())
	return n.sequence
}

// notBefore returns a time of the steady clock before which a peer cannot have written a report, or
// zero if that is not known.
func (n *Node) notBefore(status *gossippb.Status) time.Time {
	if status.GetAnsweredIncarnation() != n.options.Incarnation {
		return time.Time{}
	}
	return n.sentTimes.get(status.GetAnsweredSequence())
}

// answered identifies the last report received from a peer.
type answered struct{ incarnation, sequence uint64 }

// encode sets the fields of a report that identify it to the peer.
func (a answered) encode(status *gossippb.Status) {
	status.AnsweredIncarnation, status.AnsweredSequence = a.incarnation, a.sequence
}

// answeredReports returns the last report received from each peer, by VM. A report must be built
// after this call to be an answer to them.
func (m *Members) answeredReports() map[string]answered {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := make(map[string]answered, len(m.peers))
	for vm, p := range m.peers {
		if p.sequence > 0 {
			reports[vm] = answered{incarnation: p.Incarnation, sequence: p.sequence}
		}
	}
	return reports
}
