package generation

import (
	"errors"
	"fmt"
)

// Errors of generations.
var (
	// ErrConflict means that another apply came first.
	ErrConflict = errors.New("deployment has changed since it was read")
	// ErrMissingPart means that a part of a manifest could not be had.
	ErrMissingPart = errors.New("part of the deployment is missing")
	// ErrUnknownPart means that a newer version wrote the manifest.
	ErrUnknownPart = errors.New("part of the deployment is not known to this version")
	// ErrNoDeployment means that no deployment has been applied yet.
	ErrNoDeployment = errors.New("no deployment has been applied")
)

// ConflictError tells which generation an apply was based on and which one it
// met.
type ConflictError struct {
	BasedOn int64
	Current int64
}

// Error names both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: based on generation %d, current generation is %d", ErrConflict, e.BasedOn, e.Current)
}

// Unwrap makes the error match ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
