// Package explain reads the daemons' log lines and reconstructs the timeline of
// one request: its attempts, the state that the daemon knew at the time and the
// age of that state, and the cause of the outcome.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Messages of the log lines that are evaluated. internal/forward, internal/router
// and platform write them.
const (
	msgRequestEnded    = "request ended"
	msgRejected        = "request refused at the door"
	msgConfig          = "configuration in force"
	msgServerListed    = "server listed"
	msgServerGone      = "server gone from the list"
	msgServersChanged  = "servers changed"
	msgServerRestarted = "server has started again"
	msgStoreLost       = "store does not answer"
	msgStoreBack       = "store answers again"
	msgStarted         = "daemon started"
	msgServerEnded     = "server has ended under requests"
	msgHeldBack        = "request is held back"
	msgShutDown        = "shutting down"
	msgServerLimit     = "server's limit changed"
	msgServerRest      = "server declined and asked for rest"
	msgServerLeaving   = "server leaves by its own announcement"
)

// Attempt is one attempt to run a request at a server, as logged.
type Attempt struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	Result string `json:"result"`
	// StartMS is the start of the attempt in milliseconds since the request arrived.
	// TookMS is its duration.
	StartMS int64 `json:"at_ms"`
	TookMS  int64 `json:"took_ms"`
	// PredictedMS is the predicted time to the first event.
	PredictedMS int64 `json:"wait_ms"`
	// IdleWaitMS is the part of PredictedMS that the request would take on an idle server.
	// Calibrated reports whether it is based on measurements of the engines.
	IdleWaitMS int64 `json:"own_ms"`
	Calibrated bool  `json:"learned"`
	// PrefillSpeed and StepSpeed are the server's speeds relative to its service that the prediction
	// assumes, and StreamMS the predicted time from the first event to the end of the answer. They are
	// zero for a server that counts as alike.
	PrefillSpeed float64 `json:"prefill_speed"`
	StepSpeed    float64 `json:"step_speed"`
	StreamMS     int64   `json:"stream_ms"`
}

// Line is one decoded log line.
type Line struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	VM        string    `json:"vm"`
	RequestID string    `json:"request_id"`
	Server    string    `json:"server"`
	Service   string    `json:"service"`
	Outcome   string    `json:"outcome"`
	Status    int       `json:"status"`
	Reason    string    `json:"reason"`
	// Content identifies the content of a request and is equal for requests with the same
	// content. Contents holds the contents of several requests, separated by spaces.
	Content  string `json:"content"`
	Contents string `json:"contents"`
	// Parts holds digests of parts of prompts. Blocked is the digest for which a request was refused.
	Parts   string `json:"parts"`
	Blocked string `json:"blocked"`
	// Part is set on lines about a part of prompts.
	Part          bool      `json:"part"`
	TookMS        int64     `json:"took_ms"`
	FirstMS       int64     `json:"first_ms"`
	Attempts      []Attempt `json:"attempts"`
	ConfigVersion int64     `json:"config_version"`
	// ConfigAgeMS and ServersAgeMS are the ages of the daemon's configuration and server
	// list.
	ConfigAgeMS  int64 `json:"config_age_ms"`
	ServersAgeMS int64 `json:"servers_age_ms"`
	StoreFailing bool  `json:"store_failing"`
	// RetriesAllowed and RetriesSpent are the retries of the service in a window that the daemon
	// allowed and counted. They are zero if the request needed no retry.
	RetriesAllowed float64 `json:"retries_allowed"`
	RetriesSpent   float64 `json:"retries_spent"`
	// AllowanceByClass is set if the classes of all requests of the workspace decided about the request.
	// AllowanceProbability is that of its admission, and AllowanceEvenProbability what it would have been without classes.
	AllowanceClass           string  `json:"allowance_class"`
	AllowanceByClass         bool    `json:"allowance_by_class"`
	AllowanceProbability     float64 `json:"allowance_probability"`
	AllowanceEvenProbability float64 `json:"allowance_probability_without_classes"`
	Draining                 bool    `json:"draining"`
	// MovesBegun and MovesDone count the moves of a stream away from leaving servers. MovesFailed holds
	// the causes of the failed ones, and NotMoved why a stream that was not served was last not moved.
	MovesBegun  int      `json:"moves_begun"`
	MovesDone   int      `json:"moves_done"`
	MovesFailed []string `json:"moves_failed"`
	NotMoved    string   `json:"not_moved"`
	// NotRetried is why an attempt that was to be replaced by another one was not.
	NotRetried string `json:"not_retried"`
	// AdmissionLevel, AdmissionShare and AdmissionUtilization are the admitted share of the service's
	// demand, that of requests of this rank and workspace, and the predicted utilization. They are
	// zero if no admission level was binding.
	AdmissionLevel       float64 `json:"admission_level"`
	AdmissionShare       float64 `json:"admission_share"`
	AdmissionUtilization float64 `json:"admission_utilization"`
	AdmissionSumsMS      int64   `json:"admission_sums_ms"`
	// Limited, RequestsPerSecond and RestMS are the rate limit and the pause that a server
	// has announced.
	Limited           bool    `json:"limited"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	RestMS            int64   `json:"rest_ms"`
	// ReadyIDs, DrainingIDs and GoneIDs are the IDs of the servers in a line about several
	// servers, separated by spaces.
	ReadyIDs    string `json:"ids_ready"`
	DrainingIDs string `json:"ids_draining"`
	GoneIDs     string `json:"ids_gone"`
	// Raw is the text of the line from the first brace on, or a generated text for a line
	// that expand has split off.
	Raw string `json:"-"`
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. It ignores the text before the first brace of a
// line, because log collectors put a time or a name there. broken is the number of
// lines that could not be decoded.
func Read(r io.Reader) (lines []Line, broken int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		text := scanner.Bytes()[start:]
		var line Line
		if json.Unmarshal(text, &line) != nil {
			broken++
			continue
		}
		line.Raw = string(text)
		lines = append(lines, line.expand()...)
	}
	return lines, broken, scanner.Err()
}

// expand splits a line about several servers into one line for each server. It returns any
// other line unchanged.
func (l Line) expand() []Line {
	if l.Message != msgServersChanged {
		return []Line{l}
	}
	var lines []Line
	add := func(ids, message string, draining bool) {
		for _, id := range strings.Fields(ids) {
			raw := fmt.Sprintf("%s: %s %s", l.Time.Format(time.RFC3339Nano), message, id)
			lines = append(lines, Line{Time: l.Time, VM: l.VM, Message: message, Server: id, Draining: draining, Raw: raw})
		}
	}
	add(l.ReadyIDs, msgServerListed, false)
	add(l.DrainingIDs, msgServerListed, true)
	add(l.GoneIDs, msgServerGone, false)
	return lines
}

// Timeline holds the log lines that explain the outcome of one request.
type Timeline struct {
	ID string
	// Lines are the request's own lines and those about the state that its daemon
	// knew, sorted by time.
	Lines []Line
	Cause Cause
}

// BuildTimeline returns the timeline of a request, or false if no line has its ID.
func BuildTimeline(lines []Line, id string) (Timeline, bool) {
	var own []Line
	for _, l := range lines {
		if l.RequestID == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Timeline{}, false
	}
	timeline := Timeline{ID: id, Lines: own, Cause: causeOf(own)}
	for _, l := range own {
		timeline.Lines = append(timeline.Lines, contextLines(lines, l)...)
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	timeline.Lines = slices.CompactFunc(timeline.Lines, func(a, b Line) bool { return a.Raw == b.Raw })
	return timeline, true
}

// contextLines returns the lines that describe the state known to the daemon at a
// request's end: for each topic the last line of the same daemon up to then.
func contextLines(lines []Line, end Line) []Line {
	last := map[string]Line{}
	keep := func(topic string, l Line) {
		if before, known := last[topic]; !known || l.Time.After(before.Time) {
			last[topic] = l
		}
	}
	triedServers := map[string]bool{}
	for _, a := range end.Attempts {
		triedServers[a.Server] = true
	}
	for _, l := range lines {
		if l.VM != end.VM || l.Time.After(end.Time) {
			continue
		}
		switch l.Message {
		case msgConfig, msgStarted, msgShutDown:
			keep(l.Message, l)
		case msgStoreLost, msgStoreBack:
			keep("store", l)
		case msgHeldBack:
			if l.Content != "" && (l.Content == end.Content || l.Content == end.Blocked) {
				keep(l.Message, l)
			}
		case msgServerEnded:
			if slices.Contains(strings.Fields(l.Contents), end.Content) || slices.Contains(strings.Fields(l.Parts), end.Blocked) {
				keep("end of "+l.Server, l)
			}
		case msgServerListed, msgServerGone, msgServerRestarted:
			if triedServers[l.Server] {
				keep("server "+l.Server, l)
			}
		case msgServerLimit, msgServerRest, msgServerLeaving:
			if triedServers[l.Server] || (end.Reason == reasonAtLimits && l.Service == end.Service) {
				keep(l.Message+l.Server, l)
			}
		}
	}
	var out []Line
	for _, l := range last {
		out = append(out, l)
	}
	return out
}

// Print writes the timeline with one line per event. Times are relative to the
// request's end.
func (t Timeline) Print(w io.Writer) error {
	end := t.requestEnd()
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "request %s\ncause: %s\n", t.ID, t.Cause)
	for _, l := range t.Lines {
		_, _ = fmt.Fprintf(&out, "%9.3fs  %-24s %s\n", l.Time.Sub(end).Seconds(), l.VM, describe(l))
		for _, a := range l.Attempts {
			_, _ = fmt.Fprintf(&out, "%36s at %d ms to %s in %s, first event predicted after %d ms (%d ms on an idle server)%s: %s after %d ms\n",
				"", a.StartMS, a.Server, a.Zone, a.PredictedMS, a.IdleWaitMS, describeSpeed(a), a.Result, a.TookMS)
		}
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// describeSpeed states the speed that the prediction assumes, if the server's differs from others.
func describeSpeed(a Attempt) string {
	if a.PrefillSpeed == 0 && a.StepSpeed == 0 {
		return ""
	}
	return fmt.Sprintf(", at %.2f of the mean speed for prompts and %.2f for tokens, the rest of the answer in %d ms", a.PrefillSpeed, a.StepSpeed, a.StreamMS)
}

func (t Timeline) requestEnd() time.Time {
	for _, l := range slices.Backward(t.Lines) {
		if l.RequestID == t.ID {
			return l.Time
		}
	}
	return time.Time{}
}

func describe(l Line) string {
	switch l.Message {
	case msgRequestEnded:
		text := fmt.Sprintf("request %s with status %d after %d ms under configuration %d", l.Outcome, l.Status, l.TookMS, l.ConfigVersion)
		if l.Reason != "" {
			text += ": " + l.Reason
		}
		text += fmt.Sprintf(" (configuration in force for %d ms, server list %d ms old", l.ConfigAgeMS, l.ServersAgeMS)
		if l.StoreFailing {
			text += ", the store did not answer"
		}
		if l.RetriesAllowed > 0 {
			text += fmt.Sprintf(", %.1f of %.1f retries spent", l.RetriesSpent, l.RetriesAllowed)
		}
		if l.AllowanceByClass {
			text += fmt.Sprintf(", class %q admitted with probability %.2f by its workspace's allowance, %.2f without classes",
				l.AllowanceClass, l.AllowanceProbability, l.AllowanceEvenProbability)
		}
		if l.MovesBegun > 0 {
			text += fmt.Sprintf(", %d of %d moves done", l.MovesDone, l.MovesBegun)
		}
		if len(l.MovesFailed) > 0 {
			text += ", failed: " + strings.Join(l.MovesFailed, ", ")
		}
		if l.NotMoved != "" {
			text += ", not moved: " + l.NotMoved
		}
		if l.NotRetried != "" {
			text += ", not retried: " + l.NotRetried
		}
		if l.AdmissionUtilization > 0 {
			text += fmt.Sprintf(", predicted utilization %.2f of what the servers can do in time, %.2f of such requests admitted, by sums %d ms old",
				l.AdmissionUtilization, l.AdmissionShare, l.AdmissionSumsMS)
		}
		text += ")"
		return text
	case msgRejected:
		return fmt.Sprintf("refused at ingress with status %d: %s", l.Status, l.Reason)
	case msgConfig:
		return fmt.Sprintf("configuration %d came into force", l.ConfigVersion)
	case msgServerListed:
		state := "ready"
		if l.Draining {
			state = "draining"
		}
		return fmt.Sprintf("server %s was listed as %s", l.Server, state)
	case msgServerGone:
		return fmt.Sprintf("server %s left the list", l.Server)
	case msgServerEnded:
		return fmt.Sprintf("server %s ended while it had this request or one with the same content or part of the prompt", l.Server)
	case msgHeldBack:
		if l.Part {
			return "requests with a part of this request's prompt are held back from now on"
		}
		return "requests with this content are held back from now on"
	case msgServerLimit:
		if !l.Limited {
			return fmt.Sprintf("server %s no longer names a limit", l.Server)
		}
		return fmt.Sprintf("server %s accepts %g requests per second from all daemons", l.Server, l.RequestsPerSecond)
	case msgServerRest:
		return fmt.Sprintf("server %s declined a request and asked for a pause of %d ms", l.Server, l.RestMS)
	case msgServerLeaving:
		return fmt.Sprintf("server %s announced that it is leaving", l.Server)
	case msgServerRestarted:
		return fmt.Sprintf("server %s has started again without its earlier state", l.Server)
	}
	return l.Message
}
