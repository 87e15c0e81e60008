package explain

import (
	"cmp"
	"slices"
	"strings"
)

// Cause is why a request ended as it did.
type Cause string

// The causes.
const (
	CauseServed          Cause = "served"
	CauseUnknown         Cause = "not named by the log"
	CauseCallerLeft      Cause = "the caller left"
	CauseNoConfig        Cause = "the daemon had no configuration yet"
	CauseUnknownKey      Cause = "the key was not known under the configuration in force"
	CauseNoRoute         Cause = "no route under the configuration in force"
	CauseBadRequest      Cause = "the request itself was not acceptable"
	CauseAboveAllowance  Cause = "the workspace was above its allowance"
	CauseEndsServers     Cause = "the request ended the servers that ran it and is held back"
	CauseNoServer        Cause = "the service had no backend server"
	CauseServersAtLimits Cause = "all servers of the service had asked for rest or were at the limits that they name"
	CauseOverload        Cause = "the servers were too busy to answer in time"
	CauseRequestSize     Cause = "the request was predicted to be late by its own size"
	CauseUnreachable     Cause = "no backend server could be reached"
	CauseDeclined        Cause = "the servers declined for lack of room or had gone"
	CauseServerError     Cause = "a server answered with a failure of its own"
	CauseAnswerLost      Cause = "a server ran the request and its answer was lost or broken; it may not be repeated"
	CauseNoMoreAttempts  Cause = "attempts failed and no further one was allowed"
	CauseTimeout         Cause = "the route's timeout or the caller's limit was reached"
)

// reasonAtLimits is that of a request for which all servers were passed over.
const reasonAtLimits = "backend servers rest or are at the limits that they name"

// lostResults are results of attempts whose answer was lost.
var lostResults = []string{"no-answer", "broken-answer", "broken-stream", "event-gap", "unsigned"}

// causeOf names the cause from a request's own lines.
func causeOf(lines []Line) Cause {
	l := lines[len(lines)-1]
	if l.Message == msgRejected {
		return causeOfRejection(l.Reason)
	}
	switch {
	case l.Message != msgRequestEnded:
		return CauseUnknown
	case l.Outcome == "caller-left":
		return CauseCallerLeft
	case l.Outcome == "served" && l.Status >= 500:
		return CauseServerError
	case l.Outcome == "served":
		return CauseServed
	}
	return causeOfFailure(l)
}

func causeOfRejection(reason string) Cause {
	switch {
	case strings.HasPrefix(reason, "no configuration"):
		return CauseNoConfig
	case strings.HasPrefix(reason, "key"):
		return CauseUnknownKey
	case strings.HasPrefix(reason, "no route"):
		return CauseNoRoute
	case strings.HasPrefix(reason, "body"):
		return CauseBadRequest
	}
	return CauseUnknown
}

// causeOfFailure goes by the reason, and by the attempts where the reason only
// says that no other was made.
func causeOfFailure(l Line) Cause {
	switch l.Reason {
	case "workspace is above its allowance":
		return CauseAboveAllowance
	case "request ends the servers that run it":
		return CauseEndsServers
	case "service has no backend server":
		return CauseNoServer
	case reasonAtLimits:
		return CauseServersAtLimits
	case "predicted wait is too long":
		return overloadOrSize(l.Attempts)
	case "no backend server could be reached":
		return CauseUnreachable
	case "timeout":
		return CauseTimeout
	}
	if len(l.Attempts) == 0 || l.Attempts[len(l.Attempts)-1].Result == "not-tried" {
		return CauseUnknown
	}
	last := l.Attempts[len(l.Attempts)-1].Result
	switch {
	case last == "declined" || last == "wrong-server":
		return CauseDeclined
	case last == "not-sent":
		return CauseUnreachable
	case strings.HasPrefix(last, "status-"):
		return CauseServerError
	case l.Reason == "an earlier attempt may have run" || (l.Outcome == "cut" && slices.Contains(lostResults, last)):
		return CauseAnswerLost
	case slices.Contains(lostResults, last):
		return CauseNoMoreAttempts
	}
	return CauseUnknown
}

// overloadOrSize tells a refusal for a queue from one for the request's own size: most
// of what was predicted is the one or the other. Lines of earlier versions do not say.
func overloadOrSize(attempts []Attempt) Cause {
	if len(attempts) == 0 {
		return CauseOverload
	}
	last := attempts[len(attempts)-1]
	if last.IdleMS > 0 && 2*last.IdleMS > last.PredictedMS {
		return CauseRequestSize
	}
	return CauseOverload
}

// CauseCount is the number of requests with a cause.
type CauseCount struct {
	Cause    Cause
	Requests int
}

// Summary counts the causes of all requests that were not served, the most
// frequent first.
func Summary(lines []Line) []CauseCount {
	byRequest := map[string][]Line{}
	for _, l := range lines {
		if l.RequestID != "" {
			byRequest[l.RequestID] = append(byRequest[l.RequestID], l)
		}
	}
	counts := map[Cause]int{}
	for _, own := range byRequest {
		if cause := causeOf(own); cause != CauseServed {
			counts[cause]++
		}
	}
	var out []CauseCount
	for cause, n := range counts {
		out = append(out, CauseCount{cause, n})
	}
	slices.SortFunc(out, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}
