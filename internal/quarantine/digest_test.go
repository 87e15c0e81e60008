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

// TestPartDigestsLeaveOutTheLastPart checks that the last part of a prompt has no digest, and that
// the same part ID has other digests for another service, and one other for another workspace.
func TestPartDigestsLeaveOutTheLastPart(t *testing.T) {
	c := qt.New(t)
	c.Check(PartDigests("llm", "quarry", nil), qt.HasLen, 0)
	c.Check(PartDigests("llm", "quarry", []string{"a"}), qt.HasLen, 0)
	base := PartDigests("llm", "quarry", []string{"a", "b"})
	c.Check(base, qt.HasLen, 2)
	c.Check(PartDigests("llm", "quarry", []string{"a", "c"}), qt.DeepEquals, base)
	yard := PartDigests("llm", "yard", []string{"a", "b"})
	c.Check(yard[0], qt.Equals, base[0])
	c.Check(yard[1], qt.Not(qt.Equals), base[1])
	for _, other := range PartDigests("other", "quarry", []string{"a", "b"}) {
		c.Check(base, qt.Not(qt.Contains), other)
	}
}
