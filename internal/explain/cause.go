package explain

import (
	"cmp"
	"slices"
	"strings"
)

// Cause is the reason for the outcome of a request, as printed to operators.
type Cause string

// The causes of outcomes.
const (
	CauseServed          Cause = "served"
	CauseUnknown         Cause = "not stated in the log"
	CauseCallerLeft      Cause = "the caller left"
	CauseNoConfig        Cause = "the daemon had no configuration yet"
	CauseUnknownKey      Cause = "the key was not known under the configuration in force"
	CauseNoRoute         Cause = "no route under the configuration in force"
	CauseBadRequest      Cause = "the request itself was invalid"
	CauseAboveAllowance  Cause = "the workspace was above its allowance"
	CauseAllowanceClass  Cause = "the workspace was above its allowance, and more urgent or smaller requests of it came first"
	CauseEndsServers     Cause = "the request ended the servers that ran it and is held back"
	CausePartEndsServers Cause = "requests with a part of this prompt ended the servers that ran them and are held back"
	CauseNoServer        Cause = "the service had no backend server"
	CauseVersionGone     Cause = "no server of the version that began the stream was left"
	CauseVersionUnknown  Cause = "the version that began the stream was not known"
	CauseNotAssigned     Cause = "the daemon did not know yet at which version streams begin"
	CauseServersAtLimits Cause = "all servers of the service had asked for a pause or were at their own limits"
	CauseLevel           Cause = "the service had too little capacity for requests of this rank and workspace"
	CauseOverload        Cause = "the servers were too busy to answer in time"
	CauseRequestSize     Cause = "the request was predicted to be late because of its own size"
	CauseAnswerTooLong   Cause = "no server was fast enough to end the answer within the caller's time"
	CauseUnreachable     Cause = "no backend server could be reached"
	CauseDeclined        Cause = "the servers declined for lack of capacity or were gone"
	CauseServerError     Cause = "a server answered with an error"
	CauseAnswerLost      Cause = "a server ran the request and its answer was lost or broken; it may not be repeated"
	CauseNotMoved        Cause = "the stream's server left, and the stream was not moved to another one"
	CauseNoMoreAttempts  Cause = "attempts failed and no further one was allowed"
	CauseTimeout         Cause = "the route's timeout or the caller's limit was reached"
)

// reasonAtLimits is the reason in the log line of a request for which every server was
// skipped.
const reasonAtLimits = "backend servers rest or are at the limits that they name"

// lostResults are the results of attempts whose answer was lost or broken.
var lostResults = []string{"no-answer", "broken-answer", "broken-stream", "event-gap", "unsigned"}

// cutByLeaving are the results of the last attempt of a stream that ended because its server left, or
// that could not be continued after it was stopped for a move.
var cutByLeaving = []string{"broken-stream", "server-ended", "leaving", "moved", "no-answer", "declined", "not-sent", "wrong-server", "left"}

// causeOf determines the cause from the lines of one request. Only the last line counts.
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

// causeOfFailure determines the cause from the reason of the line. If the reason only
// says that no further attempt was made, the result of the last attempt decides.
func causeOfFailure(l Line) Cause {
	switch l.Reason {
	case "workspace is above its allowance":
		if l.AllowanceByClass && l.AllowanceProbability < l.AllowanceEvenProbability {
			return CauseAllowanceClass
		}
		return CauseAboveAllowance
	case "request ends the servers that run it":
		return CauseEndsServers
	case "a part of the prompt ends the servers that run it":
		return CausePartEndsServers
	case "no backend server of the stream's version is left":
		return CauseVersionGone
	case "version that began the stream is not known":
		return CauseVersionUnknown
	case "versions of streams are not known yet", "streams of the service are not assigned to versions yet":
		return CauseNotAssigned
	case "service has no backend server":
		return CauseNoServer
	case reasonAtLimits:
		return CauseServersAtLimits
	case "service has too little capacity for requests of this rank and workspace":
		return CauseLevel
	case "predicted wait is too long":
		return overloadOrSize(l.Attempts)
	case "no server can end the answer in time":
		return CauseAnswerTooLong
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
	case l.NotMoved != "" && slices.Contains(cutByLeaving, last):
		return CauseNotMoved
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

// overloadOrSize distinguishes a refusal because of the queue from one because of the
// request's own size, by which of them makes up most of the predicted time. Lines of
// earlier versions lack IdleWaitMS and count as overload.
func overloadOrSize(attempts []Attempt) Cause {
	if len(attempts) == 0 {
		return CauseOverload
	}
	last := attempts[len(attempts)-1]
	if last.IdleWaitMS > 0 && 2*last.IdleWaitMS > last.PredictedMS {
		return CauseRequestSize
	}
	return CauseOverload
}

// CauseCount is the number of requests with one cause.
type CauseCount struct {
	Cause    Cause
	Requests int
}

// Summary counts the causes of all requests that were not served, sorted by
// descending count.
func Summary(lines []Line) []CauseCount {
	byRequest := map[string][]Line{}
	for _, l := range lines {
		if l.RequestID != "" {
			byRequest[l.RequestID] = append(byRequest[l.RequestID], l)
		}
	}
	counts := map[Cause]int{}
	for _, requestLines := range byRequest {
		if cause := causeOf(requestLines); cause != CauseServed {
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
