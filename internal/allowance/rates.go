package allowance

import "time"

// SetRate sets the rate, in tokens per second, of an account that is not part of the configuration,
// and creates the account if needed. Zero removes the limit. An account that had no limit starts
// with a full window, because its earlier usage is unknown; tokens become available as the window
// moves on. The account counts as restored, so that the limiter uses this window.
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

// Remove deletes an account that SetRate has created.
func (l *Limiter) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accounts, name)
}

// Binds reports whether an account's rate limits its use: whether the demand at all daemons together
// exceeds the rate.
func (l *Limiter) Binds(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a != nil && a.rate > 0 && a.ownDemand.rate(now)+l.othersDemand(a, now) > a.rate
}

// fullWindow returns a window in which the whole limit was used evenly.
func (l *Limiter) fullWindow(limit float64, now time.Time) window {
	full := newWindow(l.tolerance.Window, now)
	for slot := range slotCount {
		full.add(limit/slotCount, now.Add(-time.Duration(slot)*full.slotWidth))
	}
	return full
}
