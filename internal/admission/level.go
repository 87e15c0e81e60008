package admission

import (
	"time"

	"github.com/plankridge/plankridge/internal/demand"
	"github.com/plankridge/plankridge/internal/route"
)

const (
	// nearUtilization is the utilization from which on daemons report demand by workspace. It leaves
	// the reports a second or two to arrive before the level binds.
	nearUtilization = 0.7
	// bindUtilization is the utilization above which the level binds, and releaseUtilization the one
	// below which a level that has risen to one ceases to. In between nothing changes, so that a
	// demand near the limit does not make it oscillate.
	bindUtilization    = 1.0
	releaseUtilization = 0.85
	// bindBacklog is the mean wait of the least urgent class, as a part of its target, without which the
	// level does not bind: the servers keep up, whatever the prediction says. At forcedBacklog it binds
	// although the prediction says that they should keep up.
	bindBacklog   = 0.1
	forcedBacklog = 0.5
	// wantedBacklog is the mean wait, as a part of the target, that a binding level aims for: enough
	// that no server is idle, and not so much that the least urgent calls are refused for their wait.
	wantedBacklog = 0.45
	// gain is the part of the capacity by which the level admits less while the wait is twice the wanted
	// one or more, and more while there is none. With 0.2, the backlog oscillated between an idle server
	// and a lost target at sums that are 2 s old (TestLevelSettles).
	gain = 0.1
	// correctionRate is the change of the correction per second at such a wait. It only has to follow
	// errors of the prediction, which last for minutes; four times as fast, it oscillated as well.
	correctionRate = 0.01
	minCorrection  = 0.7
	maxCorrection  = 2.0
	// fallRate and riseRate bound the change of the level per second. It falls faster, because a
	// queue builds up quickly, and rises more slowly than callers that were refused return.
	fallRate = 0.6
	riseRate = 0.25
	// maxUpdateGap bounds the time for which one update changes the level.
	maxUpdateGap = time.Second
)

// usable is the number of engines' worth of each resource that one engine can do in time.
var usable = demand.Load{Prefill: 1, Batch: 0.9, Memory: 0.9}

// level is the admission level of one service.
type level struct {
	binding bool
	// share is the share of the demand that is admitted, and target the one it moves to.
	share, target float64
	// correction multiplies the predicted utilization. It is learned from the backlog while the level
	// binds.
	correction  float64
	utilization float64
	state       State
	updatedAt   time.Time
	// overloadedAt is when the predicted demand was last above the capacity.
	overloadedAt time.Time
	classes      [route.RankClasses]float64
	workspaces   map[string][route.RankClasses]float64
	// others are the shares of workspaces that are not known.
	others [route.RankClasses]float64
}

func newLevel() *level { return &level{share: 1, target: 1, correction: 1} }

// predictedUtilization returns the demand divided by what the servers can do in time.
func (s State) predictedUtilization() float64 {
	capacity := float64(s.Servers) * max(0, min(1, s.Coverage))
	if capacity <= 0 {
		return 0
	}
	return max(s.Demand.Prefill/usable.Prefill, s.Demand.Batch/usable.Batch, s.Demand.Memory/usable.Memory) / capacity
}

func (l *level) update(state State, now time.Time) {
	elapsed := max(0, min(maxUpdateGap, now.Sub(l.updatedAt))).Seconds()
	l.state, l.updatedAt = state, now
	l.correct(elapsed)
	l.utilization = l.correction * state.predictedUtilization()
	if l.utilization >= bindUtilization {
		l.overloadedAt = now
	}
	l.bind()
	l.move(elapsed)
	if l.binding {
		l.divide()
	}
}

// maxUrgentUse bounds the use by more urgent requests that the wait of others is predicted with. Near
// one, the prediction would depend on small errors.
const maxUrgentUse = 0.8

// UrgentUse returns, for each class, the part of the servers' time that goes to prompts of more urgent
// classes. A prompt waits longer by them than what waits before it at first, because those that
// arrive meanwhile go before it too.
func (s State) UrgentUse(admitted [route.RankClasses]float64) [route.RankClasses]float64 {
	var use [route.RankClasses]float64
	capacity := float64(s.Servers) * max(0, min(1, s.Coverage))
	if capacity <= 0 {
		return use
	}
	sum := 0.0
	for class, load := range s.Parts.ByClass {
		use[class] = min(maxUrgentUse, sum)
		sum += admitted[class] * load.Prefill / capacity
	}
	return use
}

// minClassPart is the part of the demand from which on a class counts as the least urgent one. Calls
// that are late in any case are of the last class at every service, but few.
const minClassPart = 0.1

// lastClass returns the least urgent class with a relevant demand.
func (s State) lastClass() int {
	mix := classMix(s)
	for class := route.LeastUrgent; class > 0; class-- {
		if mix[class] >= minClassPart {
			return class
		}
	}
	return 0
}

// lastWait returns the mean wait of a prompt of the least urgent class.
func (s State) lastWait() time.Duration {
	use := s.UrgentUse([route.RankClasses]float64{1, 1, 1})[s.lastClass()]
	return time.Duration(s.Backlog.Seconds() / (1 - use) * float64(time.Second))
}

// backlogError returns how far the wait of the least urgent class is from the wanted one: 0 at the wanted one, -1 without
// any, and at most 1.
func (s State) backlogError() float64 {
	if s.Target <= 0 {
		return 0
	}
	return min(1, s.lastWait().Seconds()/(wantedBacklog*s.Target.Seconds())-1)
}

// backlogOver reports whether the wait of the least urgent class is above a part of the target.
func (s State) backlogOver(part float64) bool {
	return s.Target > 0 && s.lastWait().Seconds() > part*s.Target.Seconds()
}

// correct moves the correction to what the backlog shows, and back to one while the level does not
// bind.
func (l *level) correct(elapsed float64) {
	step := correctionRate * elapsed
	if l.binding {
		l.correction = max(minCorrection, min(maxCorrection, l.correction+step*l.state.backlogError()))
		return
	}
	l.correction += max(-step, min(step, 1-l.correction))
}

// bind decides whether the level binds, and which share it moves to.
func (l *level) bind() {
	overloaded := l.utilization > bindUtilization && l.state.backlogOver(bindBacklog)
	behind := l.utilization > nearUtilization && l.state.backlogOver(forcedBacklog)
	switch {
	case !l.binding && (overloaded || behind):
		l.binding = true
		if l.utilization < 1 {
			l.correction = min(maxCorrection, l.correction/l.utilization)
			l.utilization = 1
		}
	case l.binding && l.utilization < releaseUtilization && l.share >= 1:
		l.binding = false
	}
	l.target = 1
	if l.binding && l.utilization > 0 {
		l.target = min(1, (1-gain*l.state.backlogError())/l.utilization)
	}
}

// move moves the share to its target, within the bounds on its change.
func (l *level) move(elapsed float64) {
	if !l.binding {
		l.share = 1
		return
	}
	l.share = max(l.share-fallRate*elapsed, min(l.share+riseRate*elapsed, l.target))
}

// classShares returns the shares of the classes over all workspaces.
func (l *level) classShares() [route.RankClasses]float64 {
	if l.binding {
		return l.classes
	}
	return [route.RankClasses]float64{1, 1, 1}
}

// shareOf returns the share of the requests of a workspace and class that is admitted.
func (l *level) shareOf(r Request) float64 {
	class := max(0, min(route.LeastUrgent, r.Class))
	if shares, known := l.workspaces[r.Workspace]; known {
		return shares[class]
	}
	return l.others[class]
}

func (l *level) decide(r Request) Verdict {
	v := Verdict{Admitted: true, Share: 1, Level: 1, Utilization: l.utilization, Backlog: l.state.Backlog, SumsAge: l.state.Age}
	if !l.binding {
		return v
	}
	v.Binding, v.Level, v.Share = true, l.share, l.shareOf(r)
	switch {
	case r.Retry && v.Share < retryShare:
		// The shares are of callers and not of tries: a second draw for each refused caller would
		// admit more than the servers can do.
		v.Admitted = false
	case r.Draw >= v.Share:
		v.Admitted, v.RetryAfter = false, l.retryAfter(r, v.Share)
	}
	return v
}
