package allowance

import "time"

// SetReachable sets how many of the known daemons are reachable, this one included. Each side of a
// partition may use its share of what was left when the partition began, so that the sides together
// never exceed the whole.
func (l *Limiter) SetReachable(reachable, known int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reachableShare := 1.0
	if known > 0 {
		reachableShare = min(1, float64(reachable)/float64(known))
	}
	l.settled = l.settled || reachableShare >= 1 || now.Sub(l.started) >= settleTimeout
	l.alone = l.settled && reachable <= 1
	previous := l.reachablePeerShare()
	l.reachablePeers, l.knownPeers = max(0, reachable-1), max(0, known-1)
	for _, a := range l.accounts {
		l.updateReachable(a, reachableShare, previous-l.reachablePeerShare(), now)
	}
	switch {
	case reachableShare >= 1:
		l.partitionedAt = time.Time{}
	case l.settled && l.partitionedAt.IsZero():
		l.partitionedAt = now
	}
	l.reachableShare = reachableShare
	l.reachKnown, l.reachedAll = true, l.reachedAll || reachableShare >= 1
}

// updateReachable updates an account after the share of reachable daemons has changed; lost is the
// share of the peers that has become unreachable. Unreachable peers go on admitting within their
// own share, so what they have spent since their last report is estimated from their last rate.
// Peers that become reachable again report everything they spent meanwhile at once, which says
// nothing about their rate. When this backlog was taken for 0.15 s of spending, a partition of 5 s
// kept a workspace from using free tokens for another 8 s.
func (l *Limiter) updateReachable(a *account, reachableShare, lost float64, now time.Time) {
	if reachableShare != l.reachableShare {
		a.peers.changedAt = now
	}
	if reachableShare > l.reachableShare {
		a.peers.backlog = true
		l.assumeSpentByRegained(a, reachableShare, now)
	}
	if lost > 0 {
		a.used.advance(now)
		a.used.add(l.unseenSpend(a)*lost, now)
	}
}

// unseenSpend returns what all peers may have spent since their last report when they become unreachable.
// Single requests are asked for in jumps, so that their last rate says little.
func (l *Limiter) unseenSpend(a *account) float64 {
	if a.discrete {
		return a.peers.demand.perSecond * maxExtrapolation.Seconds()
	}
	return a.peers.spending.perSecond * l.reportAge.Seconds()
}
