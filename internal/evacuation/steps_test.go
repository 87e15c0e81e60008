package evacuation

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/plankridge/plankridge/internal/request"
	_ "github.com/plankridge/plankridge/internal/standin/fixedseed"
)

// Property tests use a fixed seed unless the command line sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

// world holds the true state of the servers of one run, which the daemon does not see.
type world struct {
	t *rapid.T
	// next is the event that the run generates next, and length the number of its events.
	next, length int
	// sourceRuns and targetRuns are set while a server works on the run.
	sourceRuns, targetRuns   bool
	sourceAlive, targetAlive bool
	// copied is the number of events that the copy at the target covers, or -1 without a copy.
	copied int
	// memory is set while the stopped source keeps the memory. used is set once the handle was used.
	memory, used bool
	// caller is the number of events that the caller has.
	caller int
	life   *request.Lifecycle
}

// draw draws whether something unusual happens.
func (w *world) draw(name string) bool { return rapid.IntRange(0, 3).Draw(w.t, name) == 3 }

func (w *world) step(step request.Step) {
	if err := w.life.Apply(step); err != nil {
		w.t.Fatalf("%v", err)
	}
}

// work lets the server at work generate some events, and the caller receive some of them.
func (w *world) work() {
	if !w.sourceRuns {
		return
	}
	w.next = min(w.length, w.next+rapid.IntRange(0, 3).Draw(w.t, "events"))
	if sent := rapid.IntRange(w.caller, w.next).Draw(w.t, "sent"); sent > w.caller {
		w.caller = sent
		w.step(request.StepToken)
	}
}

// misfortune ends servers.
func (w *world) misfortune() {
	if w.draw("source gone") {
		w.sourceAlive, w.sourceRuns, w.memory = false, false, false
	}
	if w.draw("target gone") {
		w.targetAlive, w.targetRuns, w.copied = false, false, -1
	}
}

// copy makes a copy and returns the answer that the daemon gets.
func (w *world) copy(last bool) (answer Answer, hasHandle bool) {
	if w.draw("call lost") || !w.sourceAlive {
		return Lost, false
	}
	switch {
	case w.draw("earlier call in progress"):
		answer = Busy
	case !w.sourceRuns:
		answer = NoRun
	default:
		if last {
			w.sourceRuns, w.memory = false, true
		}
		answer, hasHandle = NoRoom, last
		if w.targetAlive && !w.draw("no room") {
			w.copied, answer, hasHandle = w.next, Copied, true
		}
	}
	if w.draw("answer lost") {
		return Lost, false
	}
	return answer, hasHandle
}

// continueAt asks a server to continue the run.
func (w *world) continueAt(place Place) {
	holds := place == AtTarget && w.targetAlive && w.copied >= 0 || place == AtSource && w.sourceAlive && w.memory
	if !holds || w.used || w.draw("refused") {
		w.step(request.StepDeclined)
		return
	}
	w.used = true
	if w.sourceRuns || w.targetRuns {
		w.t.Fatalf("two servers at work: %v", w.life.History())
	}
	w.sourceRuns, w.targetRuns = place == AtSource, place == AtTarget
	if w.draw("answer lost") {
		w.step(request.StepLost)
		return
	}
	w.next = w.caller
	if w.next < w.length {
		w.caller = w.length
		w.step(request.StepToken)
	}
	w.step(request.StepAnswer)
}

// TestRunIsStoppedWhileLinksAreIdle guards against pauses that are longer than the route allows because
// the last copy queues behind the copies of other streams, and against a run that is not stopped in time
// because the links stay busy.
func TestRunIsStoppedWhileLinksAreIdle(t *testing.T) {
	c := qt.New(t)
	idle := Copying{Answer: Copied, Repeated: true, Took: 30 * time.Millisecond, Pause: 400 * time.Millisecond, Left: 1500 * time.Millisecond, Known: 400 * time.Millisecond}
	for name, test := range map[string]struct {
		change func(*Copying)
		next   Next
		wait   time.Duration
	}{
		"idle":                         {func(*Copying) {}, Stop, 0},
		"only the first copy was made": {func(c *Copying) { c.Repeated = false }, CopyAgain, 50 * time.Millisecond},
		"others may not know yet":      {func(c *Copying) { c.Known = 100 * time.Millisecond }, CopyAgain, 200 * time.Millisecond},
		"busy":                         {func(c *Copying) { c.Took = 50 * time.Millisecond }, CopyAgain, 50 * time.Millisecond},
		"busy until there is no time":  {func(c *Copying) { c.Took, c.Left = 100*time.Millisecond, 650*time.Millisecond }, Stop, 0},
		"busy, allowed a longer pause": {func(c *Copying) { c.Took, c.Pause = 50*time.Millisecond, 600*time.Millisecond }, Stop, 0},
		"declined":                     {func(c *Copying) { c.Answer = NoRoom }, OtherTarget, 0},
	} {
		copying := idle
		test.change(&copying)
		next, wait := AfterCopy(copying)
		c.Check(next, qt.Equals, test.next, qt.Commentf(name))
		c.Check(wait, qt.Equals, test.wait, qt.Commentf(name))
	}
}

// TestMovesKeepPromises guards against two servers at work on one run, streams that end as complete too early, and
// second runs of requests that are not idempotent, while answers are lost, refused or late and servers are gone.
func TestMovesKeepPromises(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, length: rapid.IntRange(1, 20).Draw(t, "length"), sourceRuns: true, sourceAlive: true, targetAlive: true, copied: -1, life: request.NewLifecycle(false)}
		w.step(request.StepDispatch)
		w.next, w.caller = 1, 1
		w.step(request.StepToken)
		answer, _ := w.copy(false)
		if next, _ := AfterCopy(Copying{Answer: answer}); next != Stop {
			return
		}
		w.work()
		w.misfortune()
		w.step(request.StepStop)
		answer, hasHandle := w.copy(true)
		stopped := AfterLast(answer, hasHandle)
		if stopped == NotStopped {
			w.step(request.StepNotStopped)
			return
		}
		if stopped != MaybeStopped && w.sourceRuns {
			t.Fatal("source runs although its answer says that it has stopped")
		}
		// The stream at the source ends: the source stopped, was gone, or generated the last event.
		complete := false
		if w.sourceRuns {
			if complete = w.draw("runs on to its end"); complete {
				w.next, w.caller = w.length, w.length
			} else {
				w.sourceAlive, w.sourceRuns, w.memory = false, false, false
			}
		}
		place := AfterEnd(stopped, complete)
		if place == Nowhere {
			w.step(request.StepAnswer)
			return
		}
		w.step(request.StepStopped)
		for place != Nowhere && w.life.State() == request.StateStopped {
			w.misfortune()
			w.step(request.StepContinue)
			w.continueAt(place)
			place = AfterRefusal(place, w.sourceAlive)
		}
		if w.life.State() == request.StateAnswered {
			moved++
			if w.caller != w.length {
				t.Fatalf("answer ended as complete after %d of %d events", w.caller, w.length)
			}
			return
		}
		if w.life.State() == request.StateStopped {
			w.step(request.StepLost)
		}
		if err := w.life.MayDispatch(); err == nil {
			t.Fatal("request that is not idempotent may be dispatched again")
		}
	})
	if moved == 0 {
		t.Fatal("no run was moved")
	}
}
