package upstream

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/network"
)

// endlessConn is a connection to a server that sends a text and then repeats another one until the
// connection is closed. A size beyond all limits stands for no end, so that the tests end without them.
type endlessConn struct {
	net.Conn
	begin, repeat string
	// block holds repeat many times, and at is the number of bytes read of it.
	block  string
	at     int
	read   atomic.Int64
	closed atomic.Bool
}

const endlessBytes = 16 << 20

func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.closed.Load() || c.read.Load() >= endlessBytes {
		return 0, net.ErrClosed
	}
	n := copy(p, c.begin)
	c.begin = c.begin[n:]
	if c.block == "" {
		c.block = strings.Repeat(c.repeat, 1+readBufferSize/len(c.repeat))
	}
	for n < len(p) {
		copied := copy(p[n:], c.block[c.at%len(c.repeat):])
		c.at += copied
		n += copied
	}
	c.read.Add(int64(n))
	return n, nil
}

func (c *endlessConn) Close() error {
	c.closed.Store(true)
	return nil
}

// endlessNetwork dials connections to a server that sends without end.
type endlessNetwork struct {
	network.Network
	begin, repeat string
	conns         []*endlessConn
}

func (n *endlessNetwork) Dial(context.Context, string) (net.Conn, error) {
	conn := &endlessConn{begin: n.begin, repeat: n.repeat}
	n.conns = append(n.conns, conn)
	return conn, nil
}

// endlessForms are the ways in which a server sends bytes without end before an answer.
var endlessForms = map[string]struct {
	begin, repeat string
	part          Part
}{
	"noise":             {"", "x", PartHead},
	"reason phrase":     {"HTTP/1.1 200 O", "K", PartHead},
	"header line":       {"HTTP/1.1 200 OK\r\nRequest-Id: ", "1", PartHead},
	"header lines":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n", PartHead},
	"folded header":     {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n", PartHead},
	"interim responses": {"HTTP/1.1 100 Continue\r\nA: " + strings.Repeat("b", maxHeadBytes/2) + "\r\n\r\nHTTP/1.1 100 Continue\r\nA: ", "b", PartHead},
	"skipped response":  {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x", PartSkipped},
	"skipped chunks":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n", PartSkipped},
	"skipped trailers":  {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", ""},
}

// TestResponseWithoutEndIsNotReadOn guards against a daemon that runs out of memory because a server sends bytes without end
// in place of a response.
func TestResponseWithoutEndIsNotReadOn(t *testing.T) {
	for name, form := range endlessForms {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := &endlessNetwork{begin: form.begin, repeat: form.repeat}
			pool := NewPool(n, time.Second)
			_, err := pool.Do(context.Background(), "server:1", get("/x"), Reuse{MaxIdle: time.Second, Matches: hasID("one")})
			c.Check(errors.Is(err, ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(n.conns, qt.HasLen, 1)
			c.Check(n.conns[0].closed.Load(), qt.IsTrue)
			c.Check(n.conns[0].read.Load() <= maxHeadBytes+maxSkippedBytes, qt.IsTrue, qt.Commentf("%d bytes read", n.conns[0].read.Load()))
			var oversized *OversizedError
			if form.part == "" {
				return
			}
			c.Assert(errors.As(err, &oversized), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(oversized.Part, qt.Equals, form.part)
		})
	}
}

// TestLargeHeadPasses guards against a limit that refuses the heads of sound servers, and against one that counts the
// responses before on the same connection.
func TestLargeHeadPasses(t *testing.T) {
	c := qt.New(t)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 2\r\nA: " + strings.Repeat("b", maxHeadBytes*3/4) + "\r\n\r\nok"
	s := serve(c, head, head, head)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	for range 3 {
		text, err := do(pool, s, "one", time.Second)
		c.Check(err, qt.IsNil)
		c.Check(text, qt.Equals, "ok")
	}
	c.Check(pool.Opened(), qt.Equals, int64(1))
}

// TestLongBodyPasses guards against a limit of the head that stays in force for the body.
func TestLongBodyPasses(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("x", maxSkippedBytes+maxHeadBytes+1)
	s := serve(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nConnection: close\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	pool := NewPool(network.TCP{}, time.Second)
	defer pool.Close()
	text, err := do(pool, s, "one", time.Second)
	c.Check(err, qt.IsNil)
	c.Check(len(text), qt.Equals, len(body))
}
