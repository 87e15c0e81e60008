package evacuation

import (
	"cmp"
	"time"
)

// Answer is what the answer to a request for a copy says.
type Answer int

// The answers to a request for a copy.
const (
	// Lost means that there was no answer in time or none that could be decoded.
	Lost Answer = iota
	// Copied means that the target holds the copy.
	Copied
	// NoRun means that the source does not run the request.
	NoRun
	// Busy means that the source is still at an earlier call for the same run.
	Busy
	// NoRoom means that the target has no room or that the source cannot reach it.
	NoRoom
)

// String returns the cause of a failed move for logs and metrics.
func (a Answer) String() string {
	switch a {
	case Copied:
		return "copied"
	case NoRun:
		return "no-run"
	case Busy:
		return "busy"
	case NoRoom:
		return "no-room"
	}
	return "no-answer"
}

// Next is what follows a copy of a run that continues meanwhile.
type Next int

// The steps after a copy beside the run.
const (
	// GiveUp leaves the stream where it is.
	GiveUp Next = iota
	// Stop requests the last copy, which stops the run.
	Stop
	// CopyAgain copies what the run has generated meanwhile, and lets the run continue.
	CopyAgain
	// OtherTarget tries another target.
	OtherTarget
	// Again tries the same target later.
	Again
)

// Copying is a copy of a run that continues meanwhile.
type Copying struct {
	Answer Answer
	// Repeated is set if an earlier copy at the same target was complete.
	Repeated bool
	// Took is how long the copy took, behind those that were queued on the links before it.
	Took time.Duration
	// Pause is the longest pause that the stream's route allows, or zero. Left is the time until the
	// source is gone, and Known how long it has been known to leave.
	Pause, Left, Known time.Duration
}

const (
	// maxQueueShare is the part of the allowed pause that a copy may take for the last one to follow.
	// The run stands still for as long as the last copy is queued. Where 15 streams left over one link
	// at once, the last copy of the first of them waited for the first copies of all others.
	maxQueueShare = 0.1
	// defaultPause is the allowed pause of routes that name none.
	defaultPause = 400 * time.Millisecond
	// noticeSpread is by how much later than this daemon others may learn that the source leaves. Their
	// copies are queued then.
	noticeSpread = 300 * time.Millisecond
	// repeatInterval is the time between two copies of a run.
	repeatInterval = 50 * time.Millisecond
	// stopReserve is the time before the source is gone at which the run is stopped in any case: the
	// time-out of the last copy and the time to continue.
	stopReserve = 500 * time.Millisecond
)

// AfterCopy returns what follows a copy of a run that continues meanwhile, and after which wait. After a
// lost answer another target is tried, because the first one may be gone and a copy that was made there
// ends by its time. The first copy may have been the first one on links on which many others were queued
// meanwhile. So what is new is copied again, which takes little, until that shows that the links are idle.
func AfterCopy(c Copying) (next Next, wait time.Duration) {
	switch c.Answer {
	case Copied:
		return c.afterCopied()
	case NoRoom, Lost:
		return OtherTarget, 0
	case Busy:
		return Again, 0
	}
	return GiveUp, 0
}

func (c Copying) afterCopied() (next Next, wait time.Duration) {
	idle := c.Repeated && float64(c.Took) <= maxQueueShare*float64(cmp.Or(c.Pause, defaultPause))
	wait = max(repeatInterval, noticeSpread-c.Known)
	if (idle && c.Known >= noticeSpread) || c.Left <= c.Took+wait+stopReserve {
		return Stop, 0
	}
	return CopyAgain, wait
}

// Stopped is what is known of the source after the last copy was requested.
type Stopped int

// The knowledge of a source.
const (
	// NotStopped means that the source goes on with the run.
	NotStopped Stopped = iota
	// MaybeStopped means that nothing is known until the source's stream ends.
	MaybeStopped
	// StoppedWithCopy means that the source has stopped and the target holds the copy.
	StoppedWithCopy
	// StoppedWithoutCopy means that the source has stopped and is the only one that holds the memory.
	StoppedWithoutCopy
)

// AfterLast returns what the answer to the request for the last copy says about the source. hasHandle
// is set if the answer names a handle: a source that has stopped and could not copy names one.
func AfterLast(answer Answer, hasHandle bool) Stopped {
	switch {
	case answer == Copied:
		return StoppedWithCopy
	case answer == NoRoom && hasHandle:
		return StoppedWithoutCopy
	case answer == NoRun || answer == Busy:
		return NotStopped
	}
	return MaybeStopped
}

// Place is the server at which a run is continued.
type Place int

// The places.
const (
	Nowhere Place = iota
	AtTarget
	AtSource
)

// AfterEnd returns where a run is continued whose stream at the source has ended. complete is set if
// the stream has certainly ended with its last event.
func AfterEnd(stopped Stopped, complete bool) Place {
	switch {
	case complete || stopped == NotStopped:
		return Nowhere
	case stopped == StoppedWithoutCopy:
		return AtSource
	}
	return AtTarget
}

// AfterRefusal returns where a run is continued that was not continued at a place. sourceServes is set
// if the source may still hold the run's memory.
func AfterRefusal(refused Place, sourceServes bool) Place {
	if refused == AtTarget && sourceServes {
		return AtSource
	}
	return Nowhere
}
