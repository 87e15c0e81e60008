// Package rawserver is a server that writes bytes as they are on TCP connections, for responses that no HTTP
// library would send. Connections are real ones, because the order in which a reset and the data before it are
// reported depends on the kernel.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// End is how a server ends a connection after a response.
type End int

const (
	// KeepOpen reads the rest of the request and waits for the next one.
	KeepOpen End = iota
	// Close reads the rest of the request and closes the connection.
	Close
	// HalfClose shuts down the sending side, reads the rest of the request and closes the connection.
	HalfClose
	// CloseUnread closes the connection at once. If a part of the request is unread, the kernel resets the
	// connection.
	CloseUnread
	// CloseMidway reads once more, up to MidwayBytes, and closes the connection. If that was all that had arrived, the
	// kernel ends the response and resets the connection when more arrives.
	CloseMidway
	// Reset resets the connection at once.
	Reset
)

// MidwayBytes is how many bytes of a request CloseMidway reads at most.
const MidwayBytes = 64 << 10

// Response is what a server does with a request.
type Response struct {
	// Text is sent as it is.
	Text string
	// AfterRequest reads the whole request before Text is sent. Otherwise only its head is read.
	AfterRequest bool
	// Delay is the time between Text and End.
	Delay time.Duration
	End   End
}

// Server is a server on a loopback address.
type Server struct {
	listener net.Listener
	respond  func(*http.Request) Response

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start starts a server. respond is called with the head of each request.
func Start(respond func(*http.Request) Response) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, respond: respond, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Address returns the server's address as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn.(*net.TCPConn))
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// serve answers the requests on a connection and closes it.
func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r := s.respond(req)
		if r.AfterRequest {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if _, err := io.WriteString(conn, r.Text); err != nil {
			return
		}
		time.Sleep(r.Delay)
		switch r.End {
		case CloseUnread:
			return
		case Reset:
			_ = conn.SetLinger(0)
			return
		case CloseMidway:
			_, _ = conn.Read(make([]byte, MidwayBytes))
			return
		case HalfClose:
			_ = conn.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if r.End != KeepOpen {
			return
		}
	}
}
