// Package finding collects the mistakes found in operators' files with their
// positions, so that all of them can be reported together.
package finding

import (
	"fmt"
	"slices"
	"strings"
)

// Place is a position in an operator's file. Line and Column start at one. Zero
// means that the position is not known.
type Place struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String formats the place as file:line:column.
func (p Place) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one mistake and its position.
type Finding struct {
	Place   Place  `json:"place"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return f.Place.String() + ": " + f.Message
}

// List collects findings. The zero value is ready to use.
type List struct {
	items []Finding
}

// Addf appends a finding at the given place.
func (l *List) Addf(place Place, format string, args ...any) {
	l.items = append(l.items, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Empty reports whether the list has no findings.
func (l *List) Empty() bool { return len(l.items) == 0 }

// All returns the findings sorted by file, line and column.
func (l *List) All() []Finding {
	sorted := slices.Clone(l.items)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		if c := strings.Compare(a.Place.File, b.Place.File); c != 0 {
			return c
		}
		if a.Place.Line != b.Place.Line {
			return a.Place.Line - b.Place.Line
		}
		return a.Place.Column - b.Place.Column
	})
	return sorted
}

// Err returns nil when the list is empty and an *Error with all findings
// otherwise.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error is the error that List.Err returns for a non-empty list.
type Error struct {
	Findings []Finding
}

// Error formats the findings with one line each.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
