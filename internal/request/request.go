// Package request is the life of one request as an explicit state machine,
// without I/O and without a clock. It decides what may be sent again and what
// the caller may be told; docs/design/acceptance.md defines the words.
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

// ID identifies a request. It begins with the tag of the daemon that accepted
// it, so that every daemon can find the owner.
type ID string

const idSeparator = "-"

// DaemonTag returns the part of an ID that names the accepting daemon.
func DaemonTag(daemonID string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(daemonID))
}

// NewID makes an ID from the accepting daemon's ID and random bytes.
func NewID(daemonID string, random [16]byte) ID {
	return ID(DaemonTag(daemonID) + idSeparator + hex.EncodeToString(random[:]))
}

// Tag returns the tag of the daemon that accepted the request.
func (id ID) Tag() string {
	tag, _, _ := strings.Cut(string(id), idSeparator)
	return tag
}

// Kind is the form of a request and of its answer.
type Kind string

// The kinds of request.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindPlain      Kind = "plain"
)

// Spec is what the caller asked for. It does not change.
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
	// Key is set for a request that carries an idempotency key.
	Key *Key `json:"key,omitempty"`
	// Run and RunBase tell which run of the answer this is, and the number of
	// tokens that all runs share.
	Run     int `json:"run,omitempty"`
	RunBase int `json:"run_base,omitempty"`
	// ResumeGrace is how long the request runs on without a reader.
	ResumeGrace time.Duration `json:"resume_grace"`
	Model       *ModelRequest `json:"model,omitempty"`
	Plain       *PlainRequest `json:"plain,omitempty"`
}

// Position is a place in a streamed answer.
type Position struct {
	// Run counts the times that the answer was continued from a copy which
	// may have lacked tokens that the caller had been sent.
	Run int
	// Offset is the number of tokens before the place.
	Offset int
}

// String writes the position as the ID of a server-sent event: "12" in the
// first run, "12.1" in the second.
func (p Position) String() string {
	if p.Run == 0 {
		return strconv.Itoa(p.Offset)
	}
	return strconv.Itoa(p.Offset) + "." + strconv.Itoa(p.Run)
}

// ParsePosition reads what String writes.
func ParsePosition(text string) (Position, error) {
	offset, run, more := strings.Cut(text, ".")
	if !more {
		run = "0"
	}
	var p Position
	var errs [2]error
	p.Offset, errs[0] = strconv.Atoi(offset)
	p.Run, errs[1] = strconv.Atoi(run)
	if errs[0] != nil || errs[1] != nil || p.Offset < 0 || p.Run < 0 {
		return Position{}, fmt.Errorf("%q is not a position in an answer", text)
	}
	return p, nil
}

// CanResumeFrom reports whether the answer goes on from a position. It does not
// when the position lies in an earlier run, behind the tokens that the present
// run began with: the tokens up to there may have been others.
func (s *Spec) CanResumeFrom(p Position) bool {
	return p.Run == s.Run || (p.Run < s.Run && p.Offset <= s.RunBase)
}

// NextRun returns the specification for a run that continues a copy with that
// many tokens.
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

// ModelRequest is the part of a spec that model engines need.
type ModelRequest struct {
	// Name is the model as the caller named it.
	Name       string            `json:"name"`
	Adapter    string            `json:"adapter,omitempty"`
	Prompt     string            `json:"prompt"`
	MaxTokens  int               `json:"max_tokens"`
	Parameters map[string][]byte `json:"parameters,omitempty"`
	// IncludeUsage asks for token counts at the end of a stream.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// KeyRef names an idempotency key without showing it.
type KeyRef struct {
	// Zone and Slot are the key's home.
	Zone string `json:"zone"`
	Slot int    `json:"slot"`
	// Hash is the digest of the key with its scope: workspace, service and
	// path.
	Hash string `json:"hash"`
	// Fingerprint is the digest of what the request asks for.
	Fingerprint string `json:"fingerprint"`
}

// Key is the idempotency key of a request.
type Key struct {
	KeyRef
	// Turn counts the requests of the key.
	Turn int `json:"turn,omitempty"`
}

// PlainRequest is the part of a spec that plain services need.
type PlainRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Outcome tells a caller whether its request has run.
type Outcome string

// The outcomes.
const (
	// OutcomeOK means that the whole answer is there.
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

// PlainAnswer is the whole answer of a plain service.
type PlainAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Failure says why there is no answer.
type Failure struct {
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail"`
	// Status is the HTTP status for the caller.
	Status int `json:"status"`
}
