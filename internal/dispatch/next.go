package dispatch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/plankridge/plankridge/internal/discovery"
	"github.com/plankridge/plankridge/internal/route"
	"github.com/plankridge/plankridge/internal/steady"
)

// replaceInterval is how often a running attempt that is to be replaced asks for the next one.
const replaceInterval = 200 * time.Millisecond

// nextAttempt is what an attempt has been given before it is made.
type nextAttempt struct {
	choice route.Choice
	slot   *discovery.Slot
	charge attemptCharge
}

// runningAttempt is the attempt that a request is making. Other goroutines may end it in favor of the next
// one, once that is reserved.
type runningAttempt struct {
	dispatcher *Dispatcher
	flight     *Flight
	slot       *discovery.Slot
	// tried holds the IDs of the servers of this attempt and those before it.
	tried  map[string]bool
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// reserved is the next attempt, or nil. ended is set once the attempt has ended.
	reserved *nextAttempt
	ended    bool
	// silence is the timer for a silent server, or nil.
	silence *time.Timer
}

// newRunningAttempt returns the attempt at a server, which cancel ends.
func (d *Dispatcher) newRunningAttempt(flight *Flight, choice route.Choice, slot *discovery.Slot, tried map[string]bool, cancel context.CancelCauseFunc) *runningAttempt {
	tried = maps.Clone(tried)
	tried[choice.Server.ID] = true
	return &runningAttempt{dispatcher: d, flight: flight, slot: slot, tried: tried, cancel: cancel}
}

// replace ends the attempt with a cause if the next attempt can be reserved. It returns false if the
// attempt goes on. It has no effect on an attempt that has ended.
func (a *runningAttempt) replace(cause error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.reserved != nil {
		return true
	}
	a.reserved = a.dispatcher.reserveNext(a.flight, a.tried, errors.Is(cause, errEvacuated))
	if a.reserved == nil {
		return false
	}
	a.cancel(cause)
	return true
}

// end ends the attempt and returns the next one if it was reserved.
func (a *runningAttempt) end() *nextAttempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.silence != nil {
		a.silence.Stop()
	}
	return a.reserved
}

// watchSilence replaces the attempt once it has been silent for a timeout, or as soon after that as the next
// one can be reserved.
func (a *runningAttempt) watchSilence(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence = time.AfterFunc(timeout, func() {
		if a.replace(errSilent) {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.ended {
			a.silence.Reset(replaceInterval)
		}
	})
}

// restartSilence starts the time of the server's silence anew.
func (a *runningAttempt) restartSilence(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.silence.Reset(timeout)
	}
}

// watchEvacuation replaces the attempt when its server must be evacuated, or as soon after that as the next
// one can be reserved. The attempt at a server that is gone ends at once.
func (a *runningAttempt) watchEvacuation(ctx context.Context) {
	select {
	case <-a.slot.Evacuate:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(replaceInterval)
	defer ticker.Stop()
	for !a.replace(errEvacuated) {
		if a.slot.Gone() {
			a.cancel(errEvacuated)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reserveNext takes all that the next attempt of a request needs while another one runs, or returns nil if
// something refuses it. evacuated is set if the server of the running attempt leaves.
func (d *Dispatcher) reserveNext(flight *Flight, tried map[string]bool, evacuated bool) *nextAttempt {
	if d.checkQuarantine(flight, time.Now()) != nil {
		return nil
	}
	choice, slot, ok, err := d.acquireServer(flight, tried)
	if err != nil || !ok {
		return nil
	}
	charge, allowed := d.chargeRetry(flight, evacuated, steady.Now())
	if !allowed {
		slot.Release(false, time.Now())
		return nil
	}
	return &nextAttempt{choice: choice, slot: slot, charge: charge}
}

// dropReserved returns what is reserved for an attempt that is not made.
func (d *Dispatcher) dropReserved(flight *Flight) {
	next := flight.reserved
	if next == nil {
		return
	}
	flight.reserved = nil
	next.slot.Release(false, time.Now())
	d.refundCharge(flight, next.charge)
}
