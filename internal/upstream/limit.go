package upstream

import (
	"fmt"
	"net"
)

const (
	// maxHeadBytes bounds the heads that are read for one exchange: the status lines and headers of the
	// response, of interim responses, and of responses to other requests.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the bodies of responses to other requests that are skipped in one exchange.
	maxSkippedBytes = 1 << 20
)

// Part is a part of what a server sends.
type Part string

// Parts whose size is bounded.
const (
	PartHead    Part = "head"
	PartSkipped Part = "skipped-response"
	PartEvent   Part = "event"
)

// OversizedError means that a server sent more for a part of its response than the part may have. The
// connection is closed.
type OversizedError struct {
	Part Part
	// Limit is the size in bytes up to which the part was read.
	Limit int64
}

// Error implements error.
func (e *OversizedError) Error() string {
	return fmt.Sprintf("server sent more than %d bytes for part %s", e.Limit, e.Part)
}

// partLimit is what a part may still have.
type partLimit struct {
	part       Part
	left, size int64
}

func newPartLimit(part Part, size int64) *partLimit {
	return &partLimit{part: part, left: size, size: size}
}

// exceeded returns an OversizedError if the part may have no more bytes.
func (l *partLimit) exceeded() error {
	if l.left > 0 {
		return nil
	}
	return &OversizedError{Part: l.part, Limit: l.size}
}

// limitedConn is a connection that reads no more bytes than limit allows. It is not safe for concurrent
// reads.
type limitedConn struct {
	net.Conn
	// limit is nil while reading is not limited.
	limit *partLimit
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	limit := c.limit
	if limit == nil {
		return c.Conn.Read(p)
	}
	if err := limit.exceeded(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), limit.left)])
	limit.left -= int64(n)
	return n, err
}
