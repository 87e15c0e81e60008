package clients

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The platform's load balancer and the operator's monitoring come from networks that others may reach.

func statusRequest(path, lines string) request {
	return request{head: []byte("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + lines + "Content-Length: 2\r\n"), body: []byte("xx")}
}

// statusCrowd plays a crowd at the readiness or the metrics listener. Its ordinary request is that of the
// listener, besides a caller's.
func statusCrowd(t *testing.T, b bounds, port, path string, size int, send form) {
	t.Helper()
	d := startPlatformDaemon(t, b)
	ordinary := func() error {
		if err := getEventually("http://" + d.ip + port + path); err != nil {
			return err
		}
		return d.ordinary()
	}
	d.endure(d.ip+port, size, send, ordinary, nil)
}

const (
	portReadiness, pathReadiness = ":8081", "/readyz"
	portMetrics, pathMetrics     = ":8083", "/metrics"
)

func TestHeadsOfManyLinesAtReadiness(t *testing.T) {
	r := statusRequest(pathReadiness, legalLines())
	statusCrowd(t, small, portReadiness, pathReadiness, 400, writing(r.head))
}

func TestHeadsOverTheLimitAtReadiness(t *testing.T) {
	r := statusRequest(pathReadiness, headOfLines(920_000, shortLine))
	statusCrowd(t, small, portReadiness, pathReadiness, 40, writing(r.head))
}

func TestRequestsAByteShortAtReadiness(t *testing.T) {
	r := statusRequest(pathReadiness, "")
	statusCrowd(t, narrow, portReadiness, pathReadiness, 600, writing(r.unfinished()))
}

func TestSilentConnectionsAtReadiness(t *testing.T) {
	statusCrowd(t, narrow, portReadiness, pathReadiness, 600, writing(nil))
}

func TestHeadsOfManyLinesAtMetrics(t *testing.T) {
	r := statusRequest(pathMetrics, legalLines())
	statusCrowd(t, small, portMetrics, pathMetrics, 400, writing(r.head))
}

func TestHeadsOverTheLimitAtMetrics(t *testing.T) {
	r := statusRequest(pathMetrics, headOfLines(920_000, shortLine))
	statusCrowd(t, small, portMetrics, pathMetrics, 40, writing(r.head))
}

func TestRequestsAByteShortAtMetrics(t *testing.T) {
	r := statusRequest(pathMetrics, "")
	statusCrowd(t, narrow, portMetrics, pathMetrics, 600, writing(r.unfinished()))
}

func TestAnswersThatAreNotReadAtMetrics(t *testing.T) {
	r := request{head: []byte("GET " + pathMetrics + " HTTP/1.1\r\nHost: x\r\n")}
	statusCrowd(t, small, portMetrics, pathMetrics, 100, repeating(nil, r.whole(), 1000*len(r.whole())))
}

// peersCrowd plays a crowd at the peer listener of a daemon on the platform. Its ordinary request is a peer's
// call, besides a caller's.
func peersCrowd(t *testing.T, b bounds, size int, send form) {
	t.Helper()
	d := startPlatformDaemon(t, b)
	address := d.ip + ":8082"
	ordinary := func() error {
		if err := retry(func() (time.Duration, error) { return 0, pull(address) }); err != nil {
			return err
		}
		return d.ordinary()
	}
	d.endure(address, size, send, ordinary, nil)
}

func TestSilentConnectionsOfPeers(t *testing.T) { peersCrowd(t, narrow, 600, writing(nil)) }

func TestConnectionsOfPeersWithoutCalls(t *testing.T) {
	peersCrowd(t, narrow, 600, func(conn net.Conn, _ int) { newHTTP2(conn) })
}

func TestHeadersWithoutEndOfPeers(t *testing.T) {
	peersCrowd(t, small, 20, func(conn net.Conn, _ int) { newHTTP2(conn).headersWithoutEnd(12 << 20) })
}

func TestManyStreamsOfPeers(t *testing.T) {
	peersCrowd(t, small, 10, func(conn net.Conn, _ int) { newHTTP2(conn).openStreams(methodConnect, 4000) })
}

func TestUnfinishedMessagesOfPeers(t *testing.T) {
	peersCrowd(t, small, 10, func(conn net.Conn, _ int) {
		newHTTP2(conn).unfinishedMessages(methodPull, 20, 4<<20-100)
	})
}

func TestUnfinishedMessagesOfTunnels(t *testing.T) {
	peersCrowd(t, small, 10, func(conn net.Conn, _ int) {
		newHTTP2(conn).unfinishedMessages(methodConnect, 20, 4<<20-100)
	})
}

func TestRepliesThatPeersDoNotRead(t *testing.T) {
	d := startPlatformDaemon(t, small)
	d.addRoutes(1000)
	address := d.ip + ":8082"
	ordinary := func() error {
		if err := retry(func() (time.Duration, error) { return 0, pull(address) }); err != nil {
			return err
		}
		return d.ordinary()
	}
	d.endure(address, 5, func(conn net.Conn, _ int) { newHTTP2(conn).callWithoutReading(methodPull, 900) }, ordinary, nil)
}

// A datagram cannot make a daemon keep much.
func TestDatagramsOfUnknownPeers(t *testing.T) {
	d := startPlatformDaemon(t, small)
	conn, err := net.Dial("udp", d.ip+":8082")
	d.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for range 2000 {
		_, _ = conn.Write([]byte(strings.Repeat("x", 50_000)))
	}
	d.check("after datagrams")
	d.Check(d.ordinary(), qt.IsNil)
}
