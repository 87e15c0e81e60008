package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/plankridge/plankridge/internal/backend"
)

// arriveNext schedules the next request of a kind.
func (w *world) arriveNext(kind *Kind) {
	// Arrivals are drawn at the highest rate and thinned to the present one.
	most := kind.Rate * w.highest()
	if most <= 0 {
		return
	}
	w.after(time.Duration(w.random.ExpFloat64()/most*float64(time.Second)), func() {
		if w.now.Sub(origin) >= w.day.Length.Std() {
			return
		}
		if w.random.Float64()*most < kind.Rate*w.factor() {
			w.send(w.newRequest(kind))
		}
		w.arriveNext(kind)
	})
}

// highest bounds factor.
func (w *world) highest() float64 {
	most := 1 + w.day.Traffic.Swing
	for _, b := range w.day.Bursts {
		most *= max(1, b.Factor)
	}
	return most
}

// factor is the present load over the mean one.
func (w *world) factor() float64 {
	at := w.now.Sub(origin)
	f := 1.0
	if period := w.day.Traffic.Period.Std(); period > 0 {
		f += w.day.Traffic.Swing * math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
	}
	for _, b := range w.day.Bursts {
		if at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			f *= b.Factor
		}
	}
	return f
}

func (w *world) newRequest(kind *Kind) *request {
	r := &request{kind: kind, daemon: w.daemons[w.random.IntN(len(w.daemons))], arrived: w.now}
	r.zone = r.daemon.zone
	for level, shared := range kind.Shared {
		id := fmt.Sprintf("%s/%d/%d", kind.Name, level, w.random.IntN(shared.Count))
		r.parts = append(r.parts, backend.PromptPart{ID: id, Tokens: shared.Tokens})
		r.tokens += shared.Tokens
	}
	own := int(kind.OwnTokens * math.Exp(kind.OwnSpread*w.random.NormFloat64()))
	own = max(1, min(own, w.day.Engine.MemoryTokens/4))
	r.parts = append(r.parts, backend.PromptPart{ID: fmt.Sprintf("own/%d", w.random.Uint64()), Tokens: own})
	r.tokens += own
	r.output = 1 + int(w.random.ExpFloat64()*kind.Events*float64(w.day.Engine.EventTokens))
	return r
}

// send lets the request's daemon decide.
func (w *world) send(r *request) {
	r.tries++
	if r.tries == 1 {
		w.result.ask(r)
	}
	if w.now.Before(w.downUntil) {
		w.againAfter(connectWait, r, &w.result.Failed)
		return
	}
	choice, from, ok := w.policy.pick(r.daemon, r)
	if !ok {
		w.again(r, &w.result.Refused)
		return
	}
	to := w.engine(choice.ID)
	j := &job{request: r, wanted: r.output, choice: choice}
	if to == nil || to.ended || !w.reaches(r.zone, to.zone.Name) {
		choice.End(backend.OutcomeFailed, w.now)
		w.again(r, &w.result.Failed)
		return
	}
	to.take(j, w.engine(from))
	w.after(r.kind.Limit.Std()-w.now.Sub(r.arrived), func() { w.expire(j) })
}

// expire ends a job whose caller waits no more.
func (w *world) expire(j *job) {
	if j.gone || j.made >= j.wanted {
		return
	}
	j.gone = true
	j.choice.End(backend.OutcomeNeutral, w.now)
	w.result.Failed++
}

// broken handles a job whose engine has ended.
func (w *world) broken(j *job) {
	if j.gone {
		return
	}
	j.gone = true
	j.choice.End(backend.OutcomeFailed, w.now)
	w.again(j.request, &w.result.Failed)
}

// again sends a request once more, or counts how it ended.
func (w *world) again(r *request, end *int) { w.againAfter(comeBack, r, end) }

func (w *world) againAfter(wait time.Duration, r *request, end *int) {
	if r.tries > 1 {
		*end++
		return
	}
	w.after(wait, func() { w.send(r) })
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// noteRead counts the tokens that an engine reads, and those of shared parts
// that some engine has read lately.
func (w *world) noteRead(parts []backend.PromptPart, kept int) {
	at := 0
	for i, p := range parts {
		at += p.Tokens
		last, known := w.readAt[p.ID]
		if at > kept {
			w.result.Read += p.Tokens
			if i < len(parts)-1 && known && w.now.Sub(last) < w.day.Prices.Again.Std() {
				w.result.ReadAgain += p.Tokens
			}
		}
		w.readAt[p.ID] = w.now
	}
}
