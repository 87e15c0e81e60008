// Package quarantine finds requests that end each backend server that runs them, and holds
// them back. Such a request comes again with another ID, at any daemon, so that it is known
// by its content. It does no I/O; the time is passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
)

// Digest is a digest of what a request asks and for whom. Requests of the same content do
// the same to a server.
type Digest uint64

// String returns the digest as logs show it.
func (c Digest) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// DigestOf returns the digest of a request. It is cut from a cryptographic one: nobody can
// write a request that is taken for another one's. workspace is the caller's, whichever of
// its keys was used; target is the path with the query.
func DigestOf(workspace, method, host, target string, body []byte) Digest {
	digest := sha256.New()
	for _, part := range []string{workspace, method, host, target} {
		writeLengthPrefixed(digest, part)
	}
	_, _ = digest.Write(body)
	return Digest(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// writeLengthPrefixed writes a part with its length, so that no two lists of parts read alike.
func writeLengthPrefixed(digest hash.Hash, part string) {
	_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
	_, _ = io.WriteString(digest, part)
}
