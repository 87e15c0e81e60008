package allowance

import "time"

// SetRate sets the rate of an account that no configuration names, in tokens a second, and opens
// the account if there is none. Zero lifts the limit. An account without a limit before counts as
// used up, since what it got is not known; it fills as its window empties.
func (l *Limiter) SetRate(name string, rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		a = &account{assumeOwnDemand: true}
		l.accounts[name] = a
	}
	limited := a.rate > 0
	a.rate, a.limit, a.restored = rate, rate*l.tolerance.Window.Seconds(), true
	if rate > 0 && !limited {
		a.used = l.fullWindow(a.limit, now)
		a.peers = peerActivity{}
	}
}

// Remove closes an account that SetRate has opened.
func (l *Limiter) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accounts, name)
}

// Binds reports whether all daemons together are asked for more than an account's limit.
func (l *Limiter) Binds(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a != nil && a.rate > 0 && a.ownDemand.rate(now)+l.othersDemand(a, now) > a.rate
}

// fullWindow returns a window in which the limit was used evenly.
func (l *Limiter) fullWindow(limit float64, now time.Time) window {
	full := newWindow(l.tolerance.Window, now)
	for part := range slotCount {
		full.add(limit/slotCount, now.Add(-time.Duration(part)*full.slotWidth))
	}
	return full
}
