package clients

import (
	"testing"
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
