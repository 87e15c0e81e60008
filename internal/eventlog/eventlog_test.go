package eventlog

import (
	"bytes"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestBlockedOutputDelaysNobody checks that lines beyond the queue are dropped and
// counted, and that the count is written once the output accepts lines again.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	for i := range 3 * maxQueuedLines {
		logger.Info("line", "n", i)
	}
	c.Check(w.Dropped() >= maxQueuedLines, qt.IsTrue, qt.Commentf("%d", w.Dropped()))
	close(out.unblock)
	logger.Info("after")
	w.Close()
	<-w.done
	c.Check(strings.Contains(out.written.String(), `"log lines dropped"`), qt.IsTrue)
}

// TestCloseWritesQueuedLines checks that Close still writes the lines in the queue
// and the number of dropped lines.
func TestCloseWritesQueuedLines(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	for range 2 * maxQueuedLines {
		logger.Info("line")
	}
	w.closeOnce.Do(func() { close(w.quit) })
	close(out.unblock)
	<-w.done
	dropped := w.Dropped()
	c.Check(dropped > 0, qt.IsTrue)
	c.Check(strings.Count(out.written.String(), `"msg":"line"`), qt.Equals, 2*maxQueuedLines-int(dropped))
	c.Check(strings.Contains(out.written.String(), `"log lines dropped","total":`+strconv.FormatInt(dropped, 10)+"}"), qt.IsTrue)
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestClosedOutputDelaysNobody(*testing.T) {
	w := NewWriter(failingWriter{})
	logger := New(w, slog.LevelInfo)
	for range 10 * maxQueuedLines {
		logger.Info("line")
	}
	w.Close()
}

func TestLinesAreWritten(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	New(w, slog.LevelInfo).Info("hello", "k", 1)
	w.Close()
	<-w.done
	c.Check(out.String(), qt.Matches, `(?s).*"msg":"hello","k":1.*`)
}

// TestLongLinesTakeLittleMemory checks that lines with long text of callers are dropped beyond a number of bytes.
func TestLongLinesTakeLittleMemory(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	text := strings.Repeat("x", 16<<10)
	for range maxQueuedLines / 2 {
		logger.Info("line", "request_id", text)
	}
	queued := 0
	for len(w.lines) > 0 {
		queued += len(<-w.lines)
	}
	c.Check(queued <= maxQueuedBytes, qt.IsTrue, qt.Commentf("%d", queued))
	c.Check(queued > maxQueuedBytes/2, qt.IsTrue, qt.Commentf("%d", queued))
	close(out.unblock)
	w.Close()
	<-w.done
}
