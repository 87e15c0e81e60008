// Package quarantine detects poison requests, which terminate every backend server that runs
// them, and blocks them. A poison request may be sent again with another ID to any daemon, so
// it is identified by its content. What terminates servers may also be one part of a prompt that
// many different requests share, so that the parts are evaluated as well. The package does no I/O;
// the time is passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"slices"
	"strings"
)

// Digest identifies the content of a request and the workspace that sent it, or a part of its
// prompt. Requests with the same content digest have the same effect on a server.
type Digest uint64

// Fingerprint is what a request is recognized by: the digest of its content and those of the parts
// of its prompt.
type Fingerprint struct {
	Content Digest
	Parts   []Digest
}

// digests returns all digests, that of the content first.
func (f Fingerprint) digests() []Digest { return append([]Digest{f.Content}, f.Parts...) }

func (f Fingerprint) contains(digest Digest) bool {
	return digest == f.Content || slices.Contains(f.Parts, digest)
}

// String returns the digest in the form used in logs.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// maxLoggedDigests bounds the digests in one log line.
const maxLoggedDigests = 16

// FormatDigests returns digests in the form used in logs, separated by spaces.
func FormatDigests(digests []Digest) string {
	var texts []string
	for _, digest := range digests[:min(len(digests), maxLoggedDigests)] {
		texts = append(texts, digest.String())
	}
	return strings.Join(texts, " ")
}

// DigestOf returns the digest of a request. It is a truncated cryptographic hash, so that no
// caller can write a request that is taken for another one. workspace is the workspace of the
// caller, whichever of its keys was used; target is the path with the query.
func DigestOf(workspace, method, host, target string, body []byte) Digest {
	digest := sha256.New()
	for _, part := range []string{workspace, method, host, target} {
		writeLengthPrefixed(digest, part)
	}
	_, _ = digest.Write(body)
	return Digest(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// writeLengthPrefixed writes a part after its length, so that different lists of parts never
// have the same encoding.
func writeLengthPrefixed(digest hash.Hash, part string) {
	_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
	_, _ = io.WriteString(digest, part)
}

// PartDigests returns the digests of the parts of a prompt, given by the IDs that the caller states.
// The last part belongs to the request alone and has none. Each other part has two digests: one for
// all workspaces of the service and one for the caller's workspace. Callers may state any ID, so a
// workspace can be at fault under a part whose other users are not.
func PartDigests(service, workspace string, parts []string) []Digest {
	var digests []Digest
	for _, part := range parts[:max(0, len(parts)-1)] {
		digests = append(digests, partDigest(service, "", part), partDigest(service, workspace, part))
	}
	return digests
}

func partDigest(service, workspace, part string) Digest {
	digest := sha256.New()
	for _, field := range []string{"prompt part", service, workspace, part} {
		writeLengthPrefixed(digest, field)
	}
	return Digest(binary.BigEndian.Uint64(digest.Sum(nil)))
}
