package network

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// dialPeer returns both ends of a TCP connection that TCP has dialed.
func dialPeer(c *qt.C) (dialed net.Conn, peer *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialed, err = TCP{}.Dial(context.Background(), listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = accepted.Close() })
	return dialed, accepted.(*net.TCPConn)
}

// writeUntilFailure writes until a write fails.
func writeUntilFailure(w io.Writer) error {
	part := make([]byte, 16<<10)
	for {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
}

// TestResetMetByAWriteIsNoEnd guards against a reset that only a write sees, so that the data before it passes for whole.
func TestResetMetByAWriteIsNoEnd(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	_, err := peer.Write([]byte("part"))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.SetLinger(0), qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	c.Assert(errors.Is(writeUntilFailure(dialed), syscall.ECONNRESET), qt.IsTrue)
	for range 2 {
		text, err := io.ReadAll(dialed)
		c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%q, %v", text, err))
	}
}

// TestResetMetByAReadIsNoEnd guards against a check of writes that hides what a read has seen.
func TestResetMetByAReadIsNoEnd(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	c.Assert(peer.SetLinger(0), qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	_, err := io.ReadAll(dialed)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// TestResetInReplyToDataIsNoEnd guards against data that passes for whole because its sender, which closed the connection while
// it was sent data, had read all that had arrived by then: its kernel ends the data before it resets the connection.
func TestResetInReplyToDataIsNoEnd(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	end := BeginSending(dialed)
	_, err := peer.Write([]byte("part"))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	go func() {
		time.Sleep(5 * resetPollInterval)
		_, _ = dialed.Write([]byte("upload"))
		end()
	}()
	text, err := io.ReadAll(dialed)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%q, %v", text, err))
}

// TestResetInReplyToTheLastDataIsNoEnd is the same for data whose sender does not see the reset.
func TestResetInReplyToTheLastDataIsNoEnd(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	_, err := peer.Write([]byte("part"))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	_, err = dialed.Write([]byte("upload"))
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(dialed)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%q, %v", text, err))
}

// TestDataAfterTheEndIsTaken guards against an orderly end that is taken for a failure because the connection is still written to.
func TestDataAfterTheEndIsTaken(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	_, err := peer.Write([]byte("whole"))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	go func() {
		defer BeginSending(dialed)()
		_ = writeUntilFailure(dialed)
	}()
	text, err := io.ReadAll(dialed)
	c.Check(string(text), qt.Equals, "whole")
	c.Check(err, qt.IsNil)
}

// TestEndIsReadDuringAWrite guards against a read that waits for a write to a peer that reads no more.
func TestEndIsReadDuringAWrite(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	written := make(chan error, 1)
	go func() {
		defer BeginSending(dialed)()
		written <- writeUntilFailure(dialed)
	}()
	_, err := peer.Write([]byte("whole"))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	text, err := io.ReadAll(dialed)
	c.Check(string(text), qt.Equals, "whole")
	c.Check(err, qt.IsNil)
	c.Assert(dialed.Close(), qt.IsNil)
	c.Check(<-written, qt.IsNotNil)
}

// TestDeadlineIsNoFailure guards against an orderly end that is taken for a failure because an earlier write was given up.
func TestDeadlineIsNoFailure(t *testing.T) {
	c := qt.New(t)
	dialed, peer := dialPeer(c)
	c.Assert(dialed.SetWriteDeadline(time.Now().Add(10*time.Millisecond)), qt.IsNil)
	c.Assert(writeUntilFailure(dialed), qt.IsNotNil)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	_, err := io.ReadAll(dialed)
	c.Check(err, qt.IsNil)
}
