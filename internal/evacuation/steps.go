package evacuation

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

// Next is what follows the first copy of a run, which continues meanwhile.
type Next int

// The steps after the first copy.
const (
	// GiveUp leaves the stream where it is.
	GiveUp Next = iota
	// Stop requests the last copy, which stops the run.
	Stop
	// OtherTarget tries another target.
	OtherTarget
	// Again tries the same target later.
	Again
)

// AfterFirst returns what follows the first copy. After a lost answer another target is tried, because
// the first one may be gone and a copy that was made there ends by its time.
func AfterFirst(answer Answer) Next {
	switch answer {
	case Copied:
		return Stop
	case NoRoom, Lost:
		return OtherTarget
	case Busy:
		return Again
	}
	return GiveUp
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
