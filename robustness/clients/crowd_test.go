package clients

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// form is what one client of a crowd sends. It returns once it has sent all, or cannot any more.
type form func(conn net.Conn, number int)

// crowd is a set of open connections.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// settleTime is how long a crowd is left to itself, so that the daemon has read what it will.
const settleTime = time.Second

// sendTimeout bounds what a client sends, since a daemon may read no more of it.
const sendTimeout = 10 * time.Second

// open opens size connections to an address, sends the form on each and leaves them open.
func (p *process) open(address string, size int, send form) *crowd {
	c := &crowd{}
	var sending sync.WaitGroup
	for n := range size {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(conn, n)
		})
	}
	sending.Wait()
	return c
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// endure checks the process while a crowd stays and after it. ordinary makes an ordinary request, and lone
// makes one of the crowd's form that is within the limits; it may be nil.
func (p *process) endure(address string, size int, send form, ordinary func() error, lone func() error) {
	p.Helper()
	c := p.open(address, size, send)
	time.Sleep(settleTime)
	p.check("with the crowd")
	p.Check(ordinary(), qt.IsNil, qt.Commentf("an ordinary request beside the crowd"))
	p.check("after a request beside the crowd")
	c.close()
	p.Check(ordinary(), qt.IsNil, qt.Commentf("an ordinary request after the crowd"))
	if lone != nil {
		p.Check(lone(), qt.IsNil, qt.Commentf("a lone request of the form"))
	}
	p.check("after the crowd")
}

// write writes all of text.
func write(conn net.Conn, text []byte) { _, _ = conn.Write(text) }

// writing returns a form that writes the same text on each connection.
func writing(text []byte) form {
	return func(conn net.Conn, _ int) { write(conn, text) }
}

// repeating returns a form that writes text over and over, up to a number of bytes.
func repeating(before, text []byte, size int) form {
	many := bytes.Repeat(text, max(1, 64<<10/len(text)))
	return func(conn net.Conn, _ int) {
		if _, err := conn.Write(before); err != nil {
			return
		}
		for sent := 0; sent < size; sent += len(many) {
			if _, err := conn.Write(many); err != nil {
				return
			}
		}
	}
}

// trickling returns a form that writes text and goes on with a byte at a time until the connection closes.
func trickling(text []byte) form {
	return func(conn net.Conn, _ int) {
		write(conn, text)
		go func() {
			for {
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// readAnswer reads an answer and its body.
func readAnswer(conn net.Conn) (int, http.Header, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, nil
}
