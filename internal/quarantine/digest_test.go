package quarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDigestDistinguishesRequests guards against equal digests for requests that differ in any
// part, or only in where one part ends and the next begins.
func TestDigestDistinguishesRequests(t *testing.T) {
	c := qt.New(t)
	base := DigestOf("quarry", "POST", "h", "/a/x", []byte("body"))
	c.Check(DigestOf("quarry", "POST", "h", "/a/x", []byte("body")), qt.Equals, base)
	for _, other := range []Digest{
		DigestOf("yard", "POST", "h", "/a/x", []byte("body")),
		DigestOf("quarry", "GET", "h", "/a/x", []byte("body")),
		DigestOf("quarry", "POST", "i", "/a/x", []byte("body")),
		DigestOf("quarry", "POST", "h", "/a/x?y", []byte("body")),
		DigestOf("quarry", "POST", "h", "/a/x", []byte("bodies")),
		DigestOf("quarr", "yPOST", "h", "/a/x", []byte("body")),
		DigestOf("quarry", "POST", "h", "/a/", []byte("xbody")),
	} {
		c.Check(other, qt.Not(qt.Equals), base)
	}
}
