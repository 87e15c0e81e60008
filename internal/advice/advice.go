// Package advice holds what backend servers say in their answers of the work that they take. It
// does no I/O; the time is passed in.
package advice

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Advice is what one answer says. The zero value is that of a server that takes any work.
type Advice struct {
	// Limit is the number of requests a second that the server takes from all daemons together.
	// It is nil where the answer names none.
	Limit *float64
	// LimitErr is set where the answer names a limit that cannot be read.
	LimitErr error
}

// HeaderLimit is the header of answers at the product's own interface to servers that names a limit,
// in requests a second.
const HeaderLimit = "Plankridge-Limit"

// FromHeader reads what an answer at the product's own interface says.
func FromHeader(header http.Header) Advice { return Read(header, HeaderLimit) }

// Read reads what an answer says under the name of a header.
func Read(header http.Header, limitName string) Advice {
	var a Advice
	if texts := header.Values(limitName); len(texts) > 0 {
		rate, err := ParseLimit(texts[0])
		if a.LimitErr = err; err == nil {
			a.Limit = &rate
		}
	}
	return a
}

// ParseLimit reads a limit in requests a second.
func ParseLimit(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !Valid(rate) {
		return 0, fmt.Errorf("limit %q is no number of requests a second", text)
	}
	return rate, nil
}

// Valid reports whether a server can name a limit.
func Valid(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }

// Limit is the latest that is known of a server's limit.
type Limit struct {
	// Rate is in requests a second. It counts only where Named is set.
	Rate  float64
	Named bool
	// At is when an answer that named the limit came or, for one without, when its request was
	// sent. A later one replaces an earlier one.
	At time.Time
}

// Observe merges an answer to a request that was sent and answered at these times. An answer
// without a limit ends one only if its request was sent later than the limit was learned: answers
// may overtake each other.
func (l Limit) Observe(a Advice, sent, answered time.Time) Limit {
	switch {
	case a.LimitErr != nil:
		return l
	case a.Limit != nil:
		return l.Merge(Limit{Rate: *a.Limit, Named: true, At: answered})
	}
	return l.Merge(Limit{At: sent})
}

// Merge returns the later of two.
func (l Limit) Merge(other Limit) Limit {
	if other.At.After(l.At) {
		return other
	}
	return l
}

// Same reports whether two limits allow the same.
func (l Limit) Same(other Limit) bool {
	return l.Named == other.Named && (!l.Named || l.Rate == other.Rate)
}

// Record is what daemons report to each other of a server's limit.
type Record struct {
	// Server is the key of one incarnation of a server.
	Server uint32
	Limit
}
