package detour

import (
	"sync"
	"time"
)

const (
	// evidenceTTL is how long a server counts as cut off from this daemon after another daemon
	// last reached it where this one could not.
	evidenceTTL = 10 * time.Second
	// minServersCutOff is the number of such servers from which on all links are taken to have
	// failed.
	minServersCutOff = 3
	// probeInterval is the time between two direct attempts beside detours.
	probeInterval = time.Second
	// initialConnectTime is the connect time that is assumed before one was measured.
	initialConnectTime = 10 * time.Millisecond
	// connectTimeWeight and deviationWeight are the weights of a new sample in the averages, and
	// deviationFactor is the multiple of the deviation that is added, as for TCP's retransmission
	// timeout (RFC 6298).
	connectTimeWeight = 1.0 / 8
	deviationWeight   = 1.0 / 4
	deviationFactor   = 4
	// minHedgeDelay and maxHedgeDelay bound the time after which a second path is tried.
	minHedgeDelay = 20 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
)

// Links decides from the outcomes of connection attempts which path to a server is tried first.
// A failed attempt alone says nothing about a link, because the server may have ended: a link
// counts as failed if another daemon reaches the server at the same time. It is safe for
// concurrent use.
type Links struct {
	mu sync.Mutex
	// cutOff holds when each server was last found cut off, by address.
	cutOff map[string]time.Time
	// probedAt is when each server was last tried directly beside a detour, and lastProbe when any
	// was.
	probedAt  map[string]time.Time
	lastProbe time.Time
	// reachedAt is when a server was last reached directly.
	reachedAt time.Time
	// connectTime and deviation are moving averages over direct connections.
	connectTime, deviation time.Duration
}

// NewLinks returns Links without evidence.
func NewLinks() *Links {
	return &Links{
		cutOff: map[string]time.Time{}, probedAt: map[string]time.Time{},
		connectTime: initialConnectTime, deviation: initialConnectTime / 2,
	}
}

// Plan says how to connect to a server.
type Plan struct {
	// DetourFirst is set if the direct link is taken to have failed.
	DetourFirst bool
	// ProbeDirect is set if the direct link is tried beside the detour.
	ProbeDirect bool
	// HedgeDelay is how long to wait for the first path before the second one is tried as well.
	HedgeDelay time.Duration
}

// Plan returns how to connect to a server now.
func (l *Links) Plan(address string, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	plan := Plan{HedgeDelay: l.hedgeDelay()}
	serverCutOff := l.isCutOff(address, now)
	plan.DetourFirst = serverCutOff || l.allCutOff(now)
	if !plan.DetourFirst {
		return plan
	}
	last := l.lastProbe
	if serverCutOff && !l.allCutOff(now) {
		last = l.probedAt[address]
	}
	if now.Sub(last) >= probeInterval {
		plan.ProbeDirect = true
		l.lastProbe, l.probedAt[address] = now, now
	}
	return plan
}

// hedgeDelay returns a time within which a direct connection usually opens. The caller holds the
// lock.
func (l *Links) hedgeDelay() time.Duration {
	return max(minHedgeDelay, min(maxHedgeDelay, l.connectTime+deviationFactor*l.deviation))
}

// RecordReached records that a server was reached directly.
func (l *Links) RecordReached(address string, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	took = min(took, maxHedgeDelay)
	difference := took - l.connectTime
	l.connectTime += time.Duration(connectTimeWeight * float64(difference))
	l.deviation += time.Duration(deviationWeight * float64(difference.Abs()-l.deviation))
	l.reachedAt = now
	delete(l.cutOff, address)
	delete(l.probedAt, address)
}

// RecordCutOff records that another daemon reached a server that this daemon could not reach.
func (l *Links) RecordCutOff(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff[address] = now
	for other, at := range l.cutOff {
		if now.Sub(at) >= evidenceTTL {
			delete(l.cutOff, other)
			delete(l.probedAt, other)
		}
	}
}

// AllCutOff reports whether this daemon's links to all servers are taken to have failed.
func (l *Links) AllCutOff(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allCutOff(now)
}

func (l *Links) isCutOff(address string, now time.Time) bool {
	at, found := l.cutOff[address]
	return found && now.Sub(at) < evidenceTTL
}

// allCutOff reports whether enough servers were found cut off since one was last reached. The
// caller holds the lock.
func (l *Links) allCutOff(now time.Time) bool {
	servers := 0
	for _, at := range l.cutOff {
		if at.After(l.reachedAt) && now.Sub(at) < evidenceTTL {
			servers++
		}
	}
	return servers >= minServersCutOff
}
