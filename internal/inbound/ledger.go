package inbound

import (
	"sync"
	"time"
)

const (
	// connectionBytes is the memory of an open connection without a request: its goroutines, the buffers of
	// the HTTP server and the kernel's structures.
	connectionBytes = 20 << 10
	// smallAccountBytes is the size up to which a connection may use all of the memory. Larger ones leave
	// the rest of largeShare free, so that ordinary requests are served beside large ones.
	smallAccountBytes = 64 << 10
	largeShare        = 0.75
	// minProgress is the rate in bytes per second below which a client that still sends is behind.
	minProgress = 64 << 10
)

// phase is what a connection is used for.
type phase int

const (
	// idle means that no byte of a request has arrived.
	idle phase = iota
	// reading means that a head or a body is arriving.
	reading
	// running means that a request may be at a backend server. It is not ended to make room, unless its client
	// does not read the answer.
	running
	// answering means that the answer is complete and waits for the client to read it.
	answering
)

// account is what the process holds for one connection. The ledger guards its fields.
type account struct {
	phase phase
	// since is when the phase began, and progressAt when the last byte arrived or left.
	since, progressAt time.Time
	// received is the number of bytes that have arrived in the phase.
	received int64
	// writing is set while a part of the answer waits for the client to read it.
	writing bool
	// bytes is the memory held.
	bytes int64
	// evicted is set once the connection is to be closed.
	evicted bool
	// close closes the connection, and interrupt makes its reads and writes fail, so that the request can
	// still be refused. Neither may block.
	close, interrupt func()
}

// lag returns how far the client is behind: the time since its last byte, or what it has taken longer than a
// client that sends at minProgress. It is zero while the client waits for the process.
func (l *ledger) lag(a *account, now time.Time) time.Duration {
	stalled := now.Sub(a.progressAt)
	switch {
	case a.phase == running && !a.writing:
		return 0
	case a.phase != reading && a.writing:
		return max(0, stalled-l.limits.AnswerGrace)
	case a.phase != reading:
		return stalled
	}
	due := time.Duration(float64(a.received) / minProgress * float64(time.Second))
	return max(stalled, now.Sub(a.since)-due)
}

// ledger accounts what the clients of one listener hold, and decides which connections are closed when the
// limits are reached.
type ledger struct {
	limits Limits

	mu       sync.Mutex
	accounts map[*account]struct{}
	// bytes is the memory held for all connections.
	bytes int64
}

func newLedger(limits Limits) *ledger {
	return &ledger{limits: limits, accounts: map[*account]struct{}{}}
}

// admission is the outcome of opening a connection.
type admission int

const (
	// admitted means that there was room.
	admitted admission = iota
	// replaced means that another connection was closed for this one.
	replaced
	// crowded means that no other connection is far enough behind yet.
	crowded
	// full means that all connections serve requests.
	full
)

// open adds a connection, if need be in place of another one.
func (l *ledger) open(a *account, now time.Time) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := admitted
	if len(l.accounts) >= l.limits.Connections {
		worst := l.furthestBehind(now, func(a *account) float64 { return float64(l.lag(a, now)) })
		switch {
		case worst == nil && l.allRunning():
			return full
		case worst == nil:
			return crowded
		}
		worst.evicted = true
		l.removeLocked(worst)
		worst.close()
		outcome = replaced
	}
	a.phase, a.since, a.progressAt, a.bytes = idle, now, now, connectionBytes
	l.accounts[a] = struct{}{}
	l.bytes += a.bytes
	return outcome
}

func (l *ledger) allRunning() bool {
	for a := range l.accounts {
		if a.phase != running {
			return false
		}
	}
	return true
}

// close removes a connection.
func (l *ledger) close(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(a)
}

func (l *ledger) removeLocked(a *account) {
	if _, found := l.accounts[a]; !found {
		return
	}
	delete(l.accounts, a)
	l.bytes -= a.bytes
	a.bytes = 0
}

// evictLocked ends the request of a connection. What it held counts as free from now on.
func (l *ledger) evictLocked(a *account) {
	l.releaseLocked(a, a.bytes)
	a.evicted = true
	a.interrupt()
}

// furthestBehind returns the account with the highest positive weight among those that may be closed, or nil.
func (l *ledger) furthestBehind(now time.Time, weight func(*account) float64) *account {
	var worst *account
	var worstWeight float64
	for a := range l.accounts {
		if l.lag(a, now) < l.limits.MinLag {
			continue
		}
		if w := weight(a); w > worstWeight {
			worst, worstWeight = a, w
		}
	}
	return worst
}

// reserve adds n bytes to what a connection holds. If there is no room, it closes connections that are behind,
// first those that hold the most for the longest. It returns false if that does not suffice.
func (l *ledger) reserve(a *account, n int64, now time.Time) (evicted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.evicted {
		return 0, false
	}
	limit := l.limits.Bytes
	if a.bytes+n > smallAccountBytes {
		limit = l.maxReservation()
	}
	if n > limit {
		return 0, false
	}
	for l.bytes+n > limit {
		worst := l.furthestBehind(now, func(a *account) float64 { return float64(l.lag(a, now)) * float64(a.bytes-connectionBytes) })
		if worst == nil || worst == a {
			return evicted, false
		}
		l.evictLocked(worst)
		evicted++
	}
	a.bytes += n
	l.bytes += n
	return evicted, true
}

// hold adds n bytes that are held already, whether there is room or not.
func (l *ledger) hold(a *account, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.accounts[a]; found {
		a.bytes += n
		l.bytes += n
	}
}

// release subtracts n bytes, or as many as are held beyond the connection itself.
func (l *ledger) release(a *account, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked(a, n)
}

func (l *ledger) releaseLocked(a *account, n int64) {
	if _, found := l.accounts[a]; !found {
		return
	}
	n = max(0, min(n, a.bytes-connectionBytes))
	a.bytes -= n
	l.bytes -= n
}

// maxReservation returns the largest size for which there is ever room.
func (l *ledger) maxReservation() int64 { return int64(largeShare * float64(l.limits.Bytes)) }

// detach moves n bytes from a connection to the work that outlives it, until the returned function is called.
func (l *ledger) detach(a *account, n int64) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := a.bytes
	l.releaseLocked(a, n)
	moved := held - a.bytes
	l.bytes += moved
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.bytes -= moved
	})
}

// progress records bytes that have arrived.
func (l *ledger) progress(a *account, n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.received += int64(n)
	a.progressAt = now
}

// setWriting records that a part of the answer waits for the client, or that the client has read it.
func (l *ledger) setWriting(a *account, writing bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.writing, a.progressAt = writing, now
}

// enter begins a phase. It returns false if the connection is to be closed.
func (l *ledger) enter(a *account, p phase, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.evicted {
		return false
	}
	a.phase, a.since, a.progressAt, a.received = p, now, now, 0
	return true
}

// setPhase changes the phase and keeps the progress.
func (l *ledger) setPhase(a *account, p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.phase != p {
		a.phase, a.since, a.received = p, a.progressAt, 0
	}
}

// idleAgain ends a request: what it held is free but for n bytes.
func (l *ledger) idleAgain(a *account, n int64, now time.Time) {
	if !l.enter(a, idle, now) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked(a, a.bytes-connectionBytes-n)
}

// evictStalled closes the connections that are behind by at least lag.
func (l *ledger) evictStalled(lag time.Duration, now time.Time) (evicted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.accounts {
		if !a.evicted && a.phase != idle && l.lag(a, now) >= lag {
			l.evictLocked(a)
			evicted++
		}
	}
	return evicted
}

// usage returns the number of connections and the memory held.
func (l *ledger) usage() (connections int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts), l.bytes
}
