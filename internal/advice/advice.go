// Package advice decodes and merges the load advice in the responses of backend servers: a request
// limit, an announcement that the server leaves, and Retry-After. It does no I/O; the time is
// passed in.
package advice

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Advice is the advice in one response. The zero value asks for no restriction.
type Advice struct {
	// Limit is the number of requests per second that the server accepts from all daemons together.
	// It is nil if the response contains none.
	Limit *float64
	// Leaving is set if the server announces that it leaves.
	Leaving bool
	// Brittle is set if the server may fall over when it has to decline many requests. Declined is
	// set if such a server declined this one.
	Brittle, Declined bool
	// RetryAfter is how long a server that declined the request wants no others from this daemon.
	// It is zero if the response does not say so.
	RetryAfter time.Duration
	// LimitError, BrittleError and RetryAfterError are set if the respective header is invalid. The
	// value counts as absent then.
	LimitError, BrittleError, RetryAfterError error
}

// HeaderNames are the names of the headers that carry a limit, a leaving announcement and the number
// of requests that a brittle server may decline in a second. The name of Retry-After is fixed.
type HeaderNames struct{ Limit, Leaving, Brittle string }

// ownHeaders are the header names of plankridge's own server interface.
var ownHeaders = HeaderNames{Limit: "Plankridge-Limit", Leaving: "Plankridge-Leaving"}

// FromHeader decodes the advice in a response of plankridge's own server interface. declined is set
// if the server did not run the request.
func FromHeader(header http.Header, declined bool) Advice { return Parse(header, ownHeaders, declined) }

// Parse decodes the advice in a response with the given header names. Retry-After counts only if
// the server declined the request; otherwise it belongs to the service's answer.
func Parse(header http.Header, names HeaderNames, declined bool) Advice {
	a := Advice{Leaving: strings.TrimSpace(header.Get(names.Leaving)) == leavingValue}
	if text := header.Get(names.Brittle); text != "" {
		_, a.BrittleError = ParseLimit(text)
		a.Brittle = a.BrittleError == nil
		a.Declined = a.Brittle && declined
	}
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

// leavingValue is the header value by which a server announces that it leaves.
const leavingValue = "1"

// maxRetryAfter bounds Retry-After. Longer times are assumed to be a mistake of the server.
const maxRetryAfter = time.Hour

// ParseRetryAfter parses a number of seconds, which may have a fraction. Times above one hour are
// reduced to one hour.
func ParseRetryAfter(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !ValidNumber(seconds) {
		return 0, fmt.Errorf("Retry-After %q is not a valid number of seconds", text)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}

// ParseLimit parses a limit in requests per second.
func ParseLimit(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !ValidNumber(rate) {
		return 0, fmt.Errorf("limit %q is not a valid number of requests per second", text)
	}
	return rate, nil
}

// ValidNumber reports whether a number of requests per second or of seconds is valid: finite and
// not negative.
func ValidNumber(number float64) bool { return number >= 0 && !math.IsInf(number, 0) }

// Limit is the latest known request limit of a server.
type Limit struct {
	// Rate is in requests per second. It is meaningful only if Limited is set.
	Rate    float64
	Limited bool
	// Estimated is set if daemons estimate the limit of a brittle server. Otherwise the server has
	// stated it.
	Estimated bool
	// ObservedAt is when the response with the limit was received. For a response without a limit
	// it is when the request was sent. A later observation replaces an earlier one.
	ObservedAt time.Time
}

// Observe merges the advice of a response to a request that was sent and answered at the given
// times. Responses may overtake each other, so a response without a limit ends a limit only if its
// request was sent after the limit was received.
func (l Limit) Observe(a Advice, sent, answered time.Time) Limit {
	switch {
	case a.LimitError != nil:
		return l
	case a.Limit != nil:
		return l.Merge(Limit{Rate: *a.Limit, Limited: true, ObservedAt: answered})
	}
	return l.Merge(Limit{ObservedAt: sent})
}

// estimateConflict is the time within which daemons may change an estimate without knowing of each
// other's change.
const estimateConflict = time.Second

// Merge returns the later one of two observations, and the lower one of two estimates that were made
// at about the same time.
func (l Limit) Merge(other Limit) Limit {
	if l.Limited && other.Limited && l.Estimated && other.Estimated && l.ObservedAt.Sub(other.ObservedAt).Abs() < estimateConflict {
		if other.Rate < l.Rate {
			return other
		}
		return l
	}
	if other.ObservedAt.After(l.ObservedAt) {
		return other
	}
	return l
}

// Equivalent reports whether two limits allow the same rate.
func (l Limit) Equivalent(other Limit) bool {
	return l.Limited == other.Limited && (!l.Limited || l.Rate == other.Rate)
}

// IsUrgent reports whether other daemons must learn at once that the limit has replaced before. Only
// the raise of an estimate can wait.
func (l Limit) IsUrgent(before Limit) bool {
	if l.Limited && before.Limited && l.Estimated {
		return l.Rate < before.Rate
	}
	return !l.Equivalent(before)
}

// LimitRecord is a server's limit as daemons report it to each other.
type LimitRecord struct {
	// Server is the key of one incarnation of a server.
	Server uint32
	Limit
}

// LeavingNotice is a server's announcement that it leaves, as daemons report it to each other.
type LeavingNotice struct {
	// Server is the key of one incarnation of a server.
	Server uint32
	// ReceivedAt is when the first response with the announcement was received.
	ReceivedAt time.Time
}
