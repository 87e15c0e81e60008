// Package advice decodes and merges the load advice in backend servers' responses: a request limit,
// an announcement that the server leaves, and Retry-After. It does no I/O; the time is passed in.
package advice

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Advice is that of one response. The zero value is that of a server that accepts any work.
type Advice struct {
	// Limit is the number of requests a second that the server takes from all daemons together.
	// It is nil where the answer names none.
	Limit *float64
	// Leaving is set where the server announces that it leaves.
	Leaving bool
	// RetryAfter is the Retry-After of a server that declined the request: for so long it wants no other
	// from this daemon. Zero is none.
	RetryAfter time.Duration
	// LimitError and RetryAfterError are set where a limit or a rest cannot be read: then none is named.
	LimitError, RetryAfterError error
}

// HeaderNames are those of the headers that carry advice, and Retry-After beside them.
type HeaderNames struct{ Limit, Leaving string }

// ownHeaders are those of the product's own interface to servers.
var ownHeaders = HeaderNames{Limit: "Plankridge-Limit", Leaving: "Plankridge-Leaving"}

// FromHeader decodes a response at the product's own interface. declined is set where the server did
// not run the request.
func FromHeader(header http.Header, declined bool) Advice { return Parse(header, ownHeaders, declined) }

// Parse decodes a response by the names of its headers. Retry-After counts only where the server
// declined the request; otherwise it is part of the service's answer.
func Parse(header http.Header, names HeaderNames, declined bool) Advice {
	a := Advice{Leaving: strings.TrimSpace(header.Get(names.Leaving)) == leavingValue}
	if texts := header.Values(names.Limit); len(texts) > 0 {
		rate, err := ParseLimit(texts[0])
		if a.LimitError = err; err == nil {
			a.Limit = &rate
		}
	}
	if text := header.Get("Retry-After"); declined && text != "" {
		a.RetryAfter, a.RetryAfterError = ParseRetryAfter(text)
	}
	return a
}

// leavingValue is the header's value for a server that leaves.
const leavingValue = "1"

// maxRetryAfter bounds a rest: longer ones are taken for a mistake of the server.
const maxRetryAfter = time.Hour

// ParseRetryAfter reads a rest in seconds, which may have a fraction.
func ParseRetryAfter(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !ValidNumber(seconds) {
		return 0, fmt.Errorf("rest %q is no number of seconds", text)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}

// ParseLimit reads a limit in requests a second.
func ParseLimit(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !ValidNumber(rate) {
		return 0, fmt.Errorf("limit %q is no number of requests a second", text)
	}
	return rate, nil
}

// ValidNumber reports whether a server can name a number, of requests a second or of seconds.
func ValidNumber(number float64) bool { return number >= 0 && !math.IsInf(number, 0) }

// Limit is the latest that is known of a server's limit.
type Limit struct {
	// Rate is in requests a second. It counts only where Named is set.
	Rate    float64
	Limited bool
	// ObservedAt is when an answer that named the limit came or, for one without, when its request was
	// sent. A later one replaces an earlier one.
	ObservedAt time.Time
}

// Observe merges an answer to a request that was sent and answered at these times. An answer
// without a limit ends one only if its request was sent later than the limit was learned: answers
// may overtake each other.
func (l Limit) Observe(a Advice, sent, answered time.Time) Limit {
	switch {
	case a.LimitError != nil:
		return l
	case a.Limit != nil:
		return l.Merge(Limit{Rate: *a.Limit, Limited: true, ObservedAt: answered})
	}
	return l.Merge(Limit{ObservedAt: sent})
}

// Merge returns the later of two.
func (l Limit) Merge(other Limit) Limit {
	if other.ObservedAt.After(l.ObservedAt) {
		return other
	}
	return l
}

// Equivalent reports whether two limits allow the same.
func (l Limit) Equivalent(other Limit) bool {
	return l.Limited == other.Limited && (!l.Limited || l.Rate == other.Rate)
}

// LimitRecord is what daemons report to each other of a server's limit.
type LimitRecord struct {
	// Server is the key of one incarnation of a server.
	Server uint32
	Limit
}

// LeavingNotice is what daemons report to each other of a server that has announced that it leaves.
type LeavingNotice struct {
	// Server is the key of one incarnation of a server.
	Server uint32
	// ReceivedAt is when the first response with the announcement was received.
	ReceivedAt time.Time
}
