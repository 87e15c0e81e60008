package retrybudget

import (
	"slices"
	"sync"
	"time"
)

const (
	// ratioShare and extraShare are the shares of the ratio and of the extra retries that daemons use on
	// purpose that do not report to each other. The rest covers processes that end after they have used
	// their shares: the next ones get half of the extra retries within a window.
	ratioShare = 0.9
	extraShare = 0.6
	// growthWindows is the number of windows after its start in which a process gets its share of the
	// extra retries.
	growthWindows = 2
	// drawWindows is the number of windows for which a daemon keeps the fraction of an extra retry that it
	// has drawn. Daemons that drew more often would use more than their fractions on average.
	drawWindows = 10
	// creditLife is how long a retry can be used that requests have brought. With a longer life, a
	// process that uses them all before it ends and the next one take more than the ratio in a window.
	creditLife = time.Second
)

// Share is the part of the retry budgets that one of several daemons uses without reports of the others:
// the ratio of its own requests, and an equal share of the extra retries. It is safe for concurrent use.
type Share struct {
	bounds Bounds
	// random returns a random number between zero and one.
	random  func() float64
	started time.Time

	mu sync.Mutex
	// daemons is the number of daemons that share the extra retries, or zero if it is not known.
	// fewer is a lower number that is in force from fewerAt, when what the others have used has left
	// the window.
	daemons, fewer int
	fewerAt        time.Time
	services       map[string]*serviceShare
}

// serviceShare is the share of the budget of one service.
type serviceShare struct {
	// earned is the fraction of a retry that requests have brought beyond the last whole one.
	earned float64
	// credits are the times at which whole retries were brought that are not used yet.
	credits []time.Time
	// extra are the times of the retries that count as extra ones.
	extra []time.Time
	// fraction is the fraction of an extra retry that the daemon uses until drawAt.
	fraction float64
	drawAt   time.Time
}

// Charge is a retry that a Share has counted.
type Charge struct {
	at time.Time
	// extra is set if it counts as an extra retry.
	extra bool
}

// NewShare returns a Share without extra retries, until the number of daemons is known. The function
// random returns a random number between zero and one.
func NewShare(bounds Bounds, now time.Time, random func() float64) *Share {
	if bounds.Window <= 0 {
		bounds.Window = defaultWindow
	}
	return &Share{bounds: bounds, random: random, started: now, services: map[string]*serviceShare{}}
}

// SetDaemons sets the number of daemons that share the extra retries. A lower number is in force one
// window later, because the daemons that are gone may have used their shares in the last one.
func (s *Share) SetDaemons(count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyFewer(now)
	switch {
	case count >= s.daemons:
		s.daemons, s.fewer = count, 0
	case s.fewer == 0 || count < s.fewer:
		s.fewer, s.fewerAt = count, now.Add(s.bounds.Window)
	default:
		s.fewer = count
	}
}

// applyFewer puts a lower number of daemons in force when its time has come. The caller holds the lock.
func (s *Share) applyFewer(now time.Time) {
	if s.fewer > 0 && !now.Before(s.fewerAt) {
		s.daemons, s.fewer = s.fewer, 0
	}
}

// service returns the share of a service. The caller holds the lock.
func (s *Share) service(name string) *serviceShare {
	share := s.services[name]
	if share == nil {
		// Daemons that start together are at different fractions, so that all of them use as much
		// as allowed on average.
		share = &serviceShare{earned: s.random()}
		s.services[name] = share
	}
	return share
}

// CountRequest counts a request that is sent to a server for the first time.
func (s *Share) CountRequest(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.service(service)
	share.earned += ratioShare * s.bounds.RetryRatio
	for ; share.earned >= 1; share.earned-- {
		share.credits = append(share.credits, now)
	}
	share.dropExpired(now)
}

// dropExpired drops the retries that can no longer be used.
func (s *serviceShare) dropExpired(now time.Time) {
	s.credits = slices.DeleteFunc(s.credits, func(at time.Time) bool { return now.Sub(at) >= creditLife })
}

// TryRetry decides whether another retry may be sent, and counts it if so.
func (s *Share) TryRetry(service string, now time.Time) (Charge, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.service(service)
	share.dropExpired(now)
	if len(share.credits) > 0 {
		share.credits = share.credits[1:]
		return Charge{at: now}, true
	}
	if s.extraSpent(share, now)+1 > s.extraAllowed(now)+s.fractionOf(share, now) {
		return Charge{}, false
	}
	share.extra = append(share.extra, now)
	return Charge{at: now, extra: true}, true
}

// CountRetry counts a retry that is sent whether or not the budget allows it.
func (s *Share) CountRetry(service string, now time.Time) Charge {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.service(service)
	s.extraSpent(share, now)
	share.extra = append(share.extra, now)
	return Charge{at: now, extra: true}
}

// Refund returns a retry that was counted and has not been sent.
func (s *Share) Refund(service string, charge Charge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.service(service)
	if !charge.extra {
		share.credits = append(share.credits, charge.at)
		return
	}
	if i := slices.Index(share.extra, charge.at); i >= 0 {
		share.extra = slices.Delete(share.extra, i, i+1)
	}
}

// extraSpent returns how many extra retries were sent in the last window. The caller holds the lock.
func (s *Share) extraSpent(share *serviceShare, now time.Time) float64 {
	share.extra = slices.DeleteFunc(share.extra, func(at time.Time) bool { return now.Sub(at) >= s.bounds.Window })
	return float64(len(share.extra))
}

// extraAllowed returns the extra retries that this daemon may send in a window. The caller holds the lock.
func (s *Share) extraAllowed(now time.Time) float64 {
	s.applyFewer(now)
	if s.daemons == 0 {
		return 0
	}
	grown := min(1, now.Sub(s.started).Seconds()/(growthWindows*s.bounds.Window.Seconds()))
	return grown * extraShare * s.bounds.ExtraRetries / float64(s.daemons)
}

// fractionOf returns the fraction of a retry that is added to what is allowed, so that a daemon sends whole
// ones and all daemons send as many as allowed on average. The caller holds the lock.
func (s *Share) fractionOf(share *serviceShare, now time.Time) float64 {
	if now.Before(share.drawAt) {
		return share.fraction
	}
	lasts := drawWindows * s.bounds.Window
	if share.drawAt.IsZero() {
		// Daemons that start together draw again at different times.
		lasts = time.Duration(s.random() * float64(lasts))
	}
	share.fraction, share.drawAt = s.random(), now.Add(lasts)
	return share.fraction
}

// ExtraState returns how many extra retries of a service this daemon may send in a window, and how many it
// has sent in the last one.
func (s *Share) ExtraState(service string, now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Allowed: s.extraAllowed(now), Spent: s.extraSpent(s.service(service), now)}
}
