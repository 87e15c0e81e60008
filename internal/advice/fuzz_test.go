package advice

import (
	"net/http"
	"testing"
)

// FuzzRead: whatever a server writes, a limit or a rest that is taken over can be kept.
func FuzzRead(f *testing.F) {
	f.Add("1.2", "1", "3")
	f.Add("many", "yes", "Fri, 31 Dec 1999 23:59:59 GMT")
	f.Add("NaN", "", "-0")
	f.Add("1e999", " 1 ", "1e300")
	f.Fuzz(func(t *testing.T, limit, leaving, retryAfter string) {
		header := http.Header{ownNames.Limit: {limit}, ownNames.Leaving: {leaving}, "Retry-After": {retryAfter}}
		a := FromHeader(header, true)
		if a.Limit != nil && !Valid(*a.Limit) {
			t.Fatalf("limit %v", *a.Limit)
		}
		if (a.Limit == nil) != (a.LimitErr != nil) {
			t.Fatalf("limit %v and error %v", a.Limit, a.LimitErr)
		}
		if a.Rest < 0 || a.Rest > maxRest {
			t.Fatalf("rest %v", a.Rest)
		}
		if a.RestErr != nil && a.Rest != 0 {
			t.Fatalf("rest %v beside error %v", a.Rest, a.RestErr)
		}
		if FromHeader(header, false).Rest != 0 {
			t.Fatal("a rest of a server that did not decline")
		}
	})
}
