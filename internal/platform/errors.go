package platform

import "errors"

// Errors of the platform.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object has another version than expected.
	ErrConflict = errors.New("object has another version")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("object unchanged")
	// ErrUnavailable means that the platform could not be asked, and that the
	// call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the answer was lost; the call may have had its
	// effect.
	ErrUnknown = errors.New("platform gave no answer")
	// ErrTooLarge means that the value is above MaxValue.
	ErrTooLarge = errors.New("value too large for the platform")
)

// MaxValue is the largest value that the Object API holds, in bytes.
const MaxValue = 1 << 20
