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

// blocked is a writer that takes nothing until it is let go.
type blocked struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// TestBlockedOutputDelaysNobody: lines beyond the queue are dropped and counted,
// and the count is told when the output takes lines again.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	c := qt.New(t)
	out := &blocked{gate: make(chan struct{})}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	for i := range 3 * queueLines {
		logger.Info("line", "n", i)
	}
	c.Check(w.Dropped() >= queueLines, qt.IsTrue, qt.Commentf("%d", w.Dropped()))
	close(out.gate)
	logger.Info("after")
	w.Close()
	<-w.done
	c.Check(strings.Contains(out.got.String(), `"log lines dropped"`), qt.IsTrue)
}

// TestCloseWritesWhatWaits: lines that wait when the writer is closed, and the
// count of those that were dropped, are written all the same.
func TestCloseWritesWhatWaits(t *testing.T) {
	c := qt.New(t)
	out := &blocked{gate: make(chan struct{})}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	for range 2 * queueLines {
		logger.Info("line")
	}
	w.closing.Do(func() { close(w.quit) })
	close(out.gate)
	<-w.done
	dropped := w.Dropped()
	c.Check(dropped > 0, qt.IsTrue)
	c.Check(strings.Count(out.got.String(), `"msg":"line"`), qt.Equals, 2*queueLines-int(dropped))
	c.Check(strings.Contains(out.got.String(), `"log lines dropped","total":`+strconv.FormatInt(dropped, 10)+"}"), qt.IsTrue)
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestClosedOutputDelaysNobody(*testing.T) {
	w := NewWriter(failing{})
	logger := New(w, slog.LevelInfo)
	for range 10 * queueLines {
		logger.Info("line")
	}
	w.Close()
}

func TestLinesArrive(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	New(w, slog.LevelInfo).Info("hello", "k", 1)
	w.Close()
	<-w.done
	c.Check(out.String(), qt.Matches, `(?s).*"msg":"hello","k":1.*`)
}
