// Package replay sends a recorded trace to a deployment, open-loop at its
// recorded times, and checks every answer against the outcome that the trace
// states.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/request"
)

// Header is the first line of a trace.
type Header struct {
	Name string `json:"trace"`
	// Keys are the bearer keys by workspace.
	Keys map[string]string `json:"keys"`
	// Documents are texts that prompts name instead of repeating them.
	Documents map[string]Document `json:"documents"`
	// Ledger is where the service tells how often each reference has run.
	Ledger *Ledger `json:"ledger,omitempty"`
	// Targets are the latencies for awaited work.
	Targets Targets `json:"targets"`
}

// Document is a text made from a seed, so that traces stay small.
type Document struct {
	Seed  uint64 `json:"seed"`
	Bytes int    `json:"bytes"`
}

// Ledger names a call that returns a JSON object from reference to runs.
type Ledger struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Path      string `json:"path"`
}

// Targets are latencies in seconds.
type Targets struct {
	FirstToken    float64 `json:"first_token"`
	BetweenTokens float64 `json:"between_tokens"`
	Answer        float64 `json:"answer"`
}

// Entry is one request of a trace.
type Entry struct {
	// At is the time since the beginning of the trace in seconds.
	At        float64      `json:"at"`
	ID        string       `json:"id"`
	Workspace string       `json:"workspace"`
	Service   string       `json:"service"`
	Class     string       `json:"class,omitempty"`
	Async     bool         `json:"async,omitempty"`
	Key       string       `json:"key,omitempty"`
	Prompt    []PromptPart `json:"prompt,omitempty"`
	MaxTokens int          `json:"max_tokens,omitempty"`
	Stream    bool         `json:"stream,omitempty"`
	Method    string       `json:"method,omitempty"`
	Path      string       `json:"path,omitempty"`
	Reference string       `json:"reference,omitempty"`
	Body      string       `json:"body,omitempty"`
	Expect    Expect       `json:"expect"`
}

// PromptPart is a document by name or a text.
type PromptPart struct {
	Document string `json:"doc,omitempty"`
	Text     string `json:"text,omitempty"`
}

// Expect states the outcome of a request.
type Expect struct {
	Outcome request.Outcome `json:"outcome"`
	// SHA256 is the digest of the answer's text or body, in hexadecimal.
	SHA256 string `json:"sha256,omitempty"`
	// Runs is how often the reference has to have run; zero is not checked.
	Runs int `json:"runs,omitempty"`
}

// Trace is a recorded trace.
type Trace struct {
	Header  Header
	Entries []Entry
}

// maxLine bounds a line of a trace in bytes.
const maxLine = 4 << 20

// Read reads a trace. The error is a *finding.Error with every bad line.
func Read(name string, in io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	trace := &Trace{}
	var found finding.List
	line := 0
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := trace.add(text, line == 1); err != nil {
			found.Addf(finding.Place{File: name, Line: line, Column: 1}, "%v", err)
		}
	}
	if err := scanner.Err(); err != nil {
		found.Addf(finding.Place{File: name, Line: line + 1, Column: 1}, "%v", err)
	}
	if line == 0 {
		found.Addf(finding.Place{File: name, Line: 1, Column: 1}, "trace is empty")
	}
	return trace, found.Err()
}

func (t *Trace) add(line []byte, first bool) error {
	if first {
		return strict(line, &t.Header)
	}
	var entry Entry
	if err := strict(line, &entry); err != nil {
		return err
	}
	if err := t.check(&entry); err != nil {
		return err
	}
	t.Entries = append(t.Entries, entry)
	return nil
}

func strict(line []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(out)
}

func (t *Trace) check(entry *Entry) error {
	if _, known := t.Header.Keys[entry.Workspace]; !known {
		return fmt.Errorf("workspace %q has no key in the first line", entry.Workspace)
	}
	if n := len(t.Entries); n > 0 && entry.At < t.Entries[n-1].At {
		return fmt.Errorf("time %v is before that of the line above", entry.At)
	}
	for _, part := range entry.Prompt {
		if _, known := t.Header.Documents[part.Document]; part.Document != "" && !known {
			return fmt.Errorf("document %q is not in the first line", part.Document)
		}
	}
	if entry.Prompt == nil && entry.Method == "" {
		return fmt.Errorf("request has neither a prompt nor a method")
	}
	return nil
}

// Prompt returns the user's message of an entry.
func (t *Trace) Prompt(entry *Entry) string {
	var text strings.Builder
	for _, part := range entry.Prompt {
		if part.Document != "" {
			text.WriteString(t.Header.Documents[part.Document].Text())
		}
		text.WriteString(part.Text)
	}
	return text.String()
}

// clauses are the sentences of made documents.
var clauses = [...]string{
	"The supplier delivers each lot to the agreed gate before noon. ",
	"Blocks are measured in metres and weighed in tonnes at the yard. ",
	"A late lot is credited at two parts in a hundred for each day. ",
	"Freight is quoted per container and holds for seven days. ",
	"Customs papers travel with the first vessel of the week. ",
	"The rate sheet names each lane with its port and its surcharge. ",
	"Slabs that break before unloading are replaced without charge. ",
	"Either side may end this contract with ninety days of notice. ",
}

// Text returns the document's text.
func (d Document) Text() string {
	random := rand.New(rand.NewPCG(d.Seed, d.Seed))
	var text strings.Builder
	for text.Len() < d.Bytes {
		fmt.Fprintf(&text, "%d. %s", random.IntN(10000), clauses[random.IntN(len(clauses))])
	}
	return text.String()[:d.Bytes]
}
