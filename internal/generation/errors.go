package generation

import (
	"errors"
	"fmt"
)

// Errors of applying and reading generations.
var (
	// ErrConflict means that another apply took effect first.
	ErrConflict = errors.New("deployment has changed since it was read")
	// ErrMissingPart means that a part of a manifest is not available.
	ErrMissingPart = errors.New("part of the deployment is missing")
	// ErrUnknownPart means that the manifest was written by a newer version of the
	// program.
	ErrUnknownPart = errors.New("part of the deployment is not known to this version")
	// ErrNoDeployment means that no deployment has been applied yet.
	ErrNoDeployment = errors.New("no deployment has been applied")
)

// ConflictError reports the generation that an apply was based on and the current one.
type ConflictError struct {
	BasedOn int64
	Current int64
}

// Error returns a message with both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: based on generation %d, current generation is %d", ErrConflict, e.BasedOn, e.Current)
}

// Unwrap makes the error match ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
