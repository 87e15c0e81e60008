// Package request defines requests and the state machine of a request's lifecycle, without I/O and
// without a clock. It decides what may be sent again and which outcome may be reported to the
// caller; docs/design/acceptance.md defines the terms.
package request

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plankridge/plankridge/internal/config"
)

// ID identifies a request. It begins with the tag of the daemon that accepted the request, so that
// every daemon can find the owner.
type ID string

const idSeparator = "-"

// DaemonTag returns the part of an ID that identifies the accepting daemon.
func DaemonTag(daemonID string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(daemonID))
}

// NewID returns an ID made from the accepting daemon's ID and random bytes.
func NewID(daemonID string, random [16]byte) ID {
	return ID(DaemonTag(daemonID) + idSeparator + hex.EncodeToString(random[:]))
}

// Tag returns the tag of the daemon that accepted the request.
func (id ID) Tag() string {
	tag, _, _ := strings.Cut(string(id), idSeparator)
	return tag
}

// Kind is the type of a request and of its answer.
type Kind string

// The kinds of request.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindPlain      Kind = "plain"
)

// Spec is what the caller requested. It is immutable.
type Spec struct {
	ID        ID           `json:"id"`
	Kind      Kind         `json:"kind"`
	Workspace string       `json:"workspace"`
	Service   string       `json:"service"`
	Route     config.Route `json:"route"`
	Class     config.Class `json:"class"`
	Stream    bool         `json:"stream"`
	Async     bool         `json:"async"`
	Accepted  time.Time    `json:"accepted"`
	// Key is set if the request has an idempotency key.
	Key *Key `json:"key,omitempty"`
	// Run is the number of the answer's current run, and RunBase the number of tokens that all runs
	// have in common.
	Run int `json:"run,omitempty"`
	// Version is the software version of the server that produced the first token of a model's
	// answer. It is empty before, and if servers do not tell their version.
	Version string `json:"version,omitempty"`
	RunBase int    `json:"run_base,omitempty"`
	// ResumeGrace is how long the request continues to run without a reader.
	ResumeGrace time.Duration `json:"resume_grace"`
	Model       *ModelRequest `json:"model,omitempty"`
	Plain       *PlainRequest `json:"plain,omitempty"`
}

// Size returns about how many bytes the content of the request takes.
func (s *Spec) Size() int {
	size := 0
	if s.Model != nil {
		size += len(s.Model.Prompt)
		for name, value := range s.Model.Parameters {
			size += len(name) + len(value)
		}
	}
	if s.Plain != nil {
		size += len(s.Plain.Path) + len(s.Plain.Body)
		for name, values := range s.Plain.Header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
	}
	return size
}

// Position is a position in a streamed answer.
type Position struct {
	// Run counts how often the answer was continued from a copy that may have lacked tokens already
	// sent to the caller.
	Run int
	// Offset is the number of tokens before the position.
	Offset int
}

// String formats the position as the ID of a server-sent event: "12" in the first run, "12.1" in
// the second.
func (p Position) String() string {
	if p.Run == 0 {
		return strconv.Itoa(p.Offset)
	}
	return strconv.Itoa(p.Offset) + "." + strconv.Itoa(p.Run)
}

// ParsePosition parses the format of Position.String.
func ParsePosition(text string) (Position, error) {
	offset, run, found := strings.Cut(text, ".")
	if !found {
		run = "0"
	}
	var p Position
	var errs [2]error
	p.Offset, errs[0] = strconv.Atoi(offset)
	p.Run, errs[1] = strconv.Atoi(run)
	if errs[0] != nil || errs[1] != nil || p.Offset < 0 || p.Run < 0 {
		return Position{}, fmt.Errorf("invalid position %q in an answer", text)
	}
	return p, nil
}

// CanResumeFrom reports whether the answer can be resumed from a position. It can't if the position
// is in an earlier run and beyond the tokens that all runs have in common, because the tokens that
// the caller received up to there may differ from those of the current run.
func (s *Spec) CanResumeFrom(p Position) bool {
	return p.Run == s.Run || (p.Run < s.Run && p.Offset <= s.RunBase)
}

// NextRun returns the specification for a run that continues a copy with the given number of
// tokens.
func (s Spec) NextRun(tokens int) Spec {
	if s.Run == 0 {
		s.RunBase = tokens
	}
	s.RunBase = min(s.RunBase, tokens)
	s.Run++
	return s
}

// Idempotent reports whether the request may run more than once.
func (s *Spec) Idempotent() bool { return s.Kind != KindPlain || s.Route.Idempotent }

// ModelRequest holds the fields of a request to a model engine.
type ModelRequest struct {
	// Name is the model name given by the caller.
	Name       string            `json:"name"`
	Adapter    string            `json:"adapter,omitempty"`
	Prompt     string            `json:"prompt"`
	MaxTokens  int               `json:"max_tokens"`
	Parameters map[string][]byte `json:"parameters,omitempty"`
	// IncludeUsage requests token counts at the end of a stream.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// KeyRef identifies an idempotency key without revealing it.
type KeyRef struct {
	// Zone and Slot are the home of the key: its availability zone and its slot in that zone.
	Zone string `json:"zone"`
	Slot int    `json:"slot"`
	// Hash is the digest of the key and its scope: workspace, service and path.
	Hash string `json:"hash"`
	// Fingerprint is the digest of the request's content. It detects a key that is used again for a
	// different request.
	Fingerprint string `json:"fingerprint"`
}

// Key is the idempotency key of a request.
type Key struct {
	KeyRef
	// Turn is the sequence number of the request among the requests with this key.
	Turn int `json:"turn,omitempty"`
}

// PlainRequest holds the fields of a request to a plain service.
type PlainRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Outcome is what is known about whether a request has run.
type Outcome string

// The outcomes.
const (
	// OutcomeOK means that the answer is complete.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun means that no attempt can have reached a backend server.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the request was tried and cannot succeed.
	OutcomeFailed Outcome = "failed"
)

// Finish is the end of a model's answer.
type Finish struct {
	Reason       string `json:"reason"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	OutputTokens int    `json:"output_tokens"`
}

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Failure describes why there is no answer.
type Failure struct {
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail"`
	// Status is the HTTP status returned to the caller.
	Status int `json:"status"`
}
