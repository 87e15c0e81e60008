package clients

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/plankridge/plankridge/internal/gossip/gossippb"
)

const (
	methodPull    = "/plankridge.gossip.Peers/Pull"
	methodConnect = "/plankridge.detour.Detour/Connect"
)

// pull makes the call of a peer that asks for the configuration.
func pull(address string) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = gossippb.NewPeersClient(conn).Pull(ctx, &gossippb.PullRequest{})
	return err
}

// http2Client writes frames of HTTP/2 that no library would.
type http2Client struct {
	conn   net.Conn
	framer *http2.Framer
	// window and streamWindows are how many bytes the daemon takes, on the connection and on each stream.
	window        int
	streamWindows map[uint32]int
}

// initialWindow is the flow-control window of RFC 9113, in bytes.
const initialWindow = 65535

func newHTTP2(conn net.Conn) *http2Client {
	write(conn, []byte(http2.ClientPreface))
	c := &http2Client{conn: conn, framer: http2.NewFramer(conn, conn), window: initialWindow, streamWindows: map[uint32]int{}}
	_ = c.framer.WriteSettings()
	return c
}

func headersOf(method string) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	return block.Bytes()
}

// headersWithoutEnd sends a header block of many short fields, up to a number of bytes, and never ends it.
func (c *http2Client) headersWithoutEnd(size int) {
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headersOf(methodPull)})
	const fragment = 16000
	for sent := 0; sent < size; sent += fragment {
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for block.Len() < fragment-20 {
			_ = encoder.WriteField(hpack.HeaderField{Name: "a", Value: strings.Repeat("x", 9), Sensitive: true})
		}
		if c.framer.WriteContinuation(1, false, block.Bytes()) != nil {
			return
		}
	}
}

// openStreams opens a number of streams and sends nothing on them.
func (c *http2Client) openStreams(method string, n int) {
	go func() { _, _ = io.Copy(io.Discard, c.conn) }()
	for i := range n {
		if c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: headersOf(method), EndHeaders: true}) != nil {
			return
		}
	}
}

// callWithoutReading makes n calls with an empty message each and does not take their replies.
func (c *http2Client) callWithoutReading(method string, n int) {
	_ = c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	go func() { _, _ = io.Copy(io.Discard, c.conn) }()
	for i := range n {
		id := uint32(2*i + 1)
		if c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headersOf(method), EndHeaders: true}) != nil {
			return
		}
		if c.framer.WriteData(id, true, make([]byte, 5)) != nil {
			return
		}
	}
}

// unfinishedMessages begins a message of the given size on each of n streams and sends all but its last byte,
// as far as the daemon takes it.
func (c *http2Client) unfinishedMessages(method string, n, size int) {
	left := map[uint32]int{}
	for i := range n {
		id := uint32(2*i + 1)
		if c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headersOf(method), EndHeaders: true}) != nil {
			return
		}
		prefix := make([]byte, 5)
		binary.BigEndian.PutUint32(prefix[1:], uint32(size))
		if c.framer.WriteData(id, false, prefix) != nil {
			return
		}
		c.streamWindows[id] = initialWindow - len(prefix)
		c.window -= len(prefix)
		left[id] = size - 1
	}
	for len(left) > 0 {
		if !c.sendAllowed(left) || !c.readFrame(left) {
			return
		}
	}
}

// maxDataFrame is the size of a frame that every receiver takes, in bytes.
const maxDataFrame = 16 << 10

// sendAllowed sends what the windows allow.
func (c *http2Client) sendAllowed(left map[uint32]int) bool {
	for id := range left {
		for {
			n := min(left[id], c.window, c.streamWindows[id], maxDataFrame)
			if n <= 0 {
				break
			}
			if c.framer.WriteData(id, false, make([]byte, n)) != nil {
				return false
			}
			c.window -= n
			c.streamWindows[id] -= n
			if left[id] -= n; left[id] == 0 {
				delete(left, id)
			}
		}
	}
	return true
}

// readFrame reads a frame and reports whether the connection goes on.
func (c *http2Client) readFrame(left map[uint32]int) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	frame, err := c.framer.ReadFrame()
	if err != nil {
		return false
	}
	switch frame := frame.(type) {
	case *http2.WindowUpdateFrame:
		if frame.StreamID == 0 {
			c.window += int(frame.Increment)
		} else {
			c.streamWindows[frame.StreamID] += int(frame.Increment)
		}
	case *http2.RSTStreamFrame:
		delete(left, frame.StreamID)
	case *http2.SettingsFrame:
		if !frame.IsAck() {
			_ = c.framer.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !frame.IsAck() {
			_ = c.framer.WritePing(true, frame.Data)
		}
	}
	return true
}
