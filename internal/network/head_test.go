package network

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// countingNetwork counts the bytes that are read from its connections.
type countingNetwork struct {
	TCP
	read atomic.Int64
}

// countingConn is a connection of a countingNetwork.
type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	return &countingConn{conn, n}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.read.Add(int64(n))
	return n, err
}

// TestHeadWithoutEndIsNotReadOn guards against a process that runs out of memory because a server sends headers without end.
func TestHeadWithoutEndIsNotReadOn(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	closed := make(chan bool, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		lines := []byte(strings.Repeat("A: b\r\n", 4096))
		for range 4096 {
			if _, err := conn.Write(lines); err != nil {
				closed <- true
				return
			}
		}
		closed <- false
	}()
	n := &countingNetwork{}
	client := &http.Client{Transport: Transport(n, false)}
	resp, err := client.Get("http://" + listener.Addr().String())
	if err == nil {
		_ = resp.Body.Close()
	}
	c.Check(err, qt.ErrorMatches, ".*headers exceeded.*")
	c.Check(<-closed, qt.IsTrue)
	c.Check(n.read.Load() <= 2*maxResponseHeadBytes, qt.IsTrue, qt.Commentf("%d bytes read", n.read.Load()))
}
