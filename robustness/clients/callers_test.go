package clients

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	// small has little memory, so that a small crowd would end the daemon.
	small = bounds{memoryMB: 96, descriptors: 2000}
	// narrow has few descriptors.
	narrow = bounds{memoryMB: 96, descriptors: 256}
)

// callersCrowd plays a crowd of callers.
func callersCrowd(t *testing.T, b bounds, size int, send form, lone func(d *platformDaemon) error) {
	t.Helper()
	d := startPlatformDaemon(t, b)
	var serveLone func() error
	if lone != nil {
		serveLone = func() error { return lone(d) }
	}
	d.endure(d.callers(), size, send, d.ordinary, serveLone)
}

// sending returns a lone request.
func sending(r request) func(*platformDaemon) error {
	return func(d *platformDaemon) error { return d.send(r) }
}

func TestHeadsOfManyLinesBeforeUnfinishedBodies(t *testing.T) {
	r := post("/a/x", 2, false, legalLines())
	callersCrowd(t, small, 400, writing(r.unfinished()), sending(r))
}

func TestHeadsOfEqualLinesBeforeUnfinishedBodies(t *testing.T) {
	r := post("/a/x", 2, false, headOfLines(maxHeaderBytes-400, equalLine))
	callersCrowd(t, small, 400, writing(r.unfinished()), sending(r))
}

func TestHeadsOfManyPromptParts(t *testing.T) {
	r := post("/a/x", 2, false, "Token-Counts: 1,1\r\nPrefix-Hash: "+headOfLines(maxHeaderBytes-400, promptPartOf)+"\r\n")
	callersCrowd(t, small, 400, writing(r.unfinished()), sending(r))
}

// Each request has many parts of its own, so that nothing that is remembered of them is of use.
func TestManyPromptPartsOfRequestsThatRun(t *testing.T) {
	d := startPlatformDaemon(t, small)
	requestOf := func(conn, n int) request {
		part := 0
		parts := headOfLines(maxHeaderBytes-400, func(int) string {
			part++
			return fmt.Sprintf("%x%03x%03x:1,", 1+conn, n, part)
		})
		return post("/m/x", 2, false, "Token-Counts: 1,1\r\nPrefix-Hash: "+parts+"\r\n")
	}
	c := d.open(d.callers(), 20, func(conn net.Conn, number int) {
		for n := range 200 {
			write(conn, requestOf(number, n).whole())
			if expectOK(conn) != nil {
				return
			}
		}
	})
	defer c.close()
	d.check("with the crowd")
	d.Check(d.ordinary(), qt.IsNil)
	d.Check(d.send(requestOf(100, 0)), qt.IsNil)
	d.check("after a lone request of the form")
}

func TestHeadsOfManyLinesOfRequestsThatRun(t *testing.T) {
	r := post("/a/x", 2, false, legalLines())
	callersCrowd(t, small, 400, writing(post(pathHeld, 2, false, legalLines()).whole()), sending(r))
}

func TestUnfinishedHeadsOfManyLines(t *testing.T) {
	r := post("/a/x", 2, false, legalLines())
	callersCrowd(t, small, 400, writing(r.head), sending(r))
}

func TestUnfinishedHeadsBehindARequest(t *testing.T) {
	r := post("/a/x", 2, false, legalLines())
	callersCrowd(t, small, 400, writing(slicesOf(post("/a/x", 2, false, "").whole(), r.head)), sending(r))
}

func TestHeadsOverTheLimit(t *testing.T) {
	r := post("/a/x", 2, false, headOfLines(920_000, shortLine))
	callersCrowd(t, small, 40, writing(r.unfinished()), nil)
}

func TestHeadsWithoutEnd(t *testing.T) {
	line := []byte("A: " + strings.Repeat("x", 200_000) + "\r\n")
	callersCrowd(t, small, 40, repeating([]byte("GET /a/x HTTP/1.1\r\n"), line, 8<<20), nil)
}

func TestEmptyLinesWithoutEnd(t *testing.T) {
	callersCrowd(t, small, 40, repeating(nil, []byte("\r\n"), 8<<20), nil)
}

func TestEmptyLinesWithoutEndBehindARequest(t *testing.T) {
	callersCrowd(t, small, 40, repeating(post("/a/x", 2, false, "").whole(), []byte("\r\n"), 8<<20), nil)
}

func TestUnfinishedBodies(t *testing.T) {
	r := post("/a/x", maxBodyBytes, false, "")
	callersCrowd(t, small, 60, writing(r.unfinished()), sending(r))
}

func TestUnfinishedBodiesInChunks(t *testing.T) {
	r := post("/a/x", maxBodyBytes, true, "")
	unfinished := r.whole()[:len(r.whole())-5]
	callersCrowd(t, small, 60, writing(unfinished), sending(r))
}

func TestUnfinishedBodiesOfUnknownRoutes(t *testing.T) {
	r := post("/unknown/", maxBodyBytes, false, "")
	callersCrowd(t, narrow, 400, writing(slicesOf(r.head, []byte("\r\n"))), nil)
}

func TestWholeBodies(t *testing.T) {
	r := post("/a/x", maxBodyBytes, false, "")
	callersCrowd(t, small, 80, writing(post(pathHeld, maxBodyBytes, false, "").whole()), sending(r))
}

func TestWholeBodiesOfRequestsThatWait(t *testing.T) {
	r := post("/a/x", maxBodyBytes, true, "")
	callersCrowd(t, small, 80, writing(post(pathHeld, maxBodyBytes, true, "").whole()), sending(r))
}

func TestRequestsAByteShortTakeNoDescriptors(t *testing.T) {
	r := post("/a/x", 2, false, "")
	callersCrowd(t, narrow, 600, writing(r.unfinished()), sending(r))
}

func TestTricklingBodiesTakeNoDescriptors(t *testing.T) {
	r := post("/a/x", 100_000, false, "")
	callersCrowd(t, narrow, 600, trickling(r.whole()[:len(r.head)+2]), sending(r))
}

func TestTricklingHeadsTakeNoDescriptors(t *testing.T) {
	callersCrowd(t, narrow, 600, trickling([]byte("GET /a/x HTTP/1.1\r\nA: ")), nil)
}

func TestSilentConnectionsTakeNoDescriptors(t *testing.T) {
	callersCrowd(t, narrow, 600, writing(nil), nil)
}

func TestIdleConnectionsTakeNoDescriptors(t *testing.T) {
	r := post("/a/x", 2, false, "")
	callersCrowd(t, narrow, 600, writing(r.whole()), sending(r))
}

func TestRequestsBehindEachOther(t *testing.T) {
	r := post("/a/x", 2, false, "")
	callersCrowd(t, small, 100, repeating(nil, r.whole(), 2000*len(r.whole())), sending(r))
}

func TestRequestsBehindARequestThatRuns(t *testing.T) {
	r := post("/a/x", 2, false, "")
	callersCrowd(t, small, 400, repeating(post(pathHeld, 2, false, "").whole(), r.whole(), 1<<20), sending(r))
}

func TestAnswersThatAreNotRead(t *testing.T) {
	r := post(pathLong, 2, false, "")
	callersCrowd(t, small, 200, writing(r.whole()), sending(r))
}

func TestAnswersThatAreNotReadTakeNoDescriptors(t *testing.T) {
	r := post(pathLong, 2, false, "")
	callersCrowd(t, narrow, 600, writing(r.whole()), sending(r))
}

// A version of the configuration may lower the limits beside a crowd and raise them again.
func TestLimitsThatChangeBesideACrowd(t *testing.T) {
	d := startPlatformDaemon(t, small)
	r := post("/a/x", 100_000, false, legalLines())
	c := d.open(d.callers(), 200, writing(r.unfinished()))
	defer c.close()
	d.configure(1024, 50_000)
	long := post("/a/x", 2, false, headOfLines(2000, shortLine))
	large := post("/a/x", 60_000, false, "")
	for _, refused := range []struct {
		request
		status string
	}{{long, "status 431"}, {large, "status 413"}} {
		d.Check(eventually(func() bool {
			_, err := try(d.callers(), refused.whole())
			return err != nil && err.Error() == refused.status
		}), qt.IsTrue, qt.Commentf(refused.status))
	}
	d.check("with lower limits")
	d.Check(d.ordinary(), qt.IsNil)
	d.configure(maxHeaderBytes, maxBodyBytes)
	d.Check(d.send(r), qt.IsNil)
	d.check("with the limits as before")
}

// A stop is not held up by clients that send no more.
func TestStopBesideACrowd(t *testing.T) {
	d := startPlatformDaemon(t, small)
	r := post("/a/x", maxBodyBytes, false, legalLines())
	c := d.open(d.callers(), 60, writing(r.unfinished()))
	defer c.close()
	d.check("with the crowd")
	d.Check(d.ordinary(), qt.IsNil)
	d.stop()
	d.Check(eventually(func() bool { return !d.alive() }), qt.IsTrue)
}

// Requests inside the limits are served in calm, however slow or large.
func TestLoneRequestsInsideTheLimits(t *testing.T) {
	d := startPlatformDaemon(t, small)
	pieces := func(r []byte, n int, pause time.Duration) func() error {
		return func() error { return d.sendInPieces(r, n, pause) }
	}
	large, chunked, lines := post("/a/x", maxBodyBytes, false, ""), post("/a/x", maxBodyBytes, true, ""), post("/a/x", 2, false, legalLines())
	for _, lone := range []struct {
		name string
		send func() error
	}{
		{"a head of 4,000 lines", func() error { return d.send(lines) }},
		{"a large body", func() error { return d.send(large) }},
		{"a large body in chunks", func() error { return d.send(chunked) }},
		{"a large body in two seconds", pieces(large.whole(), 20, 100*time.Millisecond)},
		{"a head in two and a half seconds", pieces(lines.head, 25, 100*time.Millisecond)},
		{"a connection that was idle for 11 seconds", d.sendAfterIdling},
	} {
		d.Check(lone.send(), qt.IsNil, qt.Commentf(lone.name))
	}
	d.check("at the end")
}
