package advice

import (
	"net/http"
	"testing"
)

// FuzzFromHeader checks that any header yields either a valid value or an error.
func FuzzFromHeader(f *testing.F) {
	f.Add("1.2", "1", "3")
	f.Add("many", "yes", "Fri, 31 Dec 1999 23:59:59 GMT")
	f.Add("NaN", "", "-0")
	f.Add("1e999", " 1 ", "1e300")
	f.Fuzz(func(t *testing.T, limit, leaving, retryAfter string) {
		header := http.Header{ownHeaders.Limit: {limit}, ownHeaders.Leaving: {leaving}, "Retry-After": {retryAfter}}
		a := FromHeader(header, true)
		if a.Limit != nil && !ValidNumber(*a.Limit) {
			t.Fatalf("limit %v", *a.Limit)
		}
		if (a.Limit == nil) != (a.LimitError != nil) {
			t.Fatalf("limit %v and error %v", a.Limit, a.LimitError)
		}
		if a.RetryAfter < 0 || a.RetryAfter > maxRetryAfter {
			t.Fatalf("Retry-After %v", a.RetryAfter)
		}
		if a.RetryAfterError != nil && a.RetryAfter != 0 {
			t.Fatalf("Retry-After %v and error %v", a.RetryAfter, a.RetryAfterError)
		}
		if FromHeader(header, false).RetryAfter != 0 {
			t.Fatal("Retry-After of a server that did not decline")
		}
	})
}
