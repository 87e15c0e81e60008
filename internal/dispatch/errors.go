package dispatch

import "errors"

// Errors of the dispatcher.
var (
	// ErrNotFound means that this daemon does not hold the request.
	ErrNotFound = errors.New("request not found")
	// ErrDraining means that the daemon accepts no more requests.
	ErrDraining = errors.New("daemon is shutting down")

	errTokenGap          = errors.New("engine left out a token")
	errEvacuated         = errors.New("backend server is leaving")
	errSilent            = errors.New("backend server was silent for too long")
	errDuplicate         = errors.New("request is known already")
	errLeaving           = errors.New("daemon is leaving")
	errReadersGone       = errors.New("no reader is left")
	errWorkTooLong       = errors.New("request took longer than the daemon allows")
	errEndsServers       = errors.New("request ends the servers that run it")
	errPromptEndsServers = errors.New("a part of the prompt ends the servers that run it")
	errServersEnded      = errors.New("servers ended under requests like this one")
	errVersionGone       = errors.New("no server of the version that began the answer is left")
	errStopped           = errors.New("dispatcher was stopped")
)
