// Package eventlog makes the daemon's logger. Lines go to a writer through a
// bounded queue: when the writer is slow or closed, lines are dropped and
// counted, and no request waits.
package eventlog

import (
	"bytes"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer: at 300 bytes a line
	// about 1.2 MB.
	maxQueuedLines = 4096
	// maxFlushBytes is the most that is written at once.
	maxFlushBytes = 64 << 10
	// closeTimeout is how long Close waits for a writer that does not take lines.
	closeTimeout = 300 * time.Millisecond
)

// Writer passes lines on without ever blocking. It implements io.Writer.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	quit      chan struct{}
}

// NewWriter returns a writer in front of out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), quit: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for a short time.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var told int64
	for {
		select {
		case line := <-w.lines:
			told = w.flush(line, told)
		case <-w.quit:
			for len(w.lines) > 0 {
				told = w.flush(nil, told)
			}
			w.flush(nil, told)
			return
		}
	}
}

// flush writes a line and those that wait, and the number of dropped lines when
// it is higher than the one told before. It returns the number told.
func (w *Writer) flush(line []byte, told int64) int64 {
	var buffer bytes.Buffer
	buffer.Write(line)
	w.appendQueued(&buffer)
	dropped := w.dropped.Load()
	if dropped > told {
		buffer.WriteString(`{"level":"WARN","msg":"log lines dropped","total":` + strconv.FormatInt(dropped, 10) + "}\n")
	}
	// A writer that fails loses these lines; there is nowhere to say so.
	_, _ = w.out.Write(buffer.Bytes())
	return dropped
}

// appendQueued takes the lines that wait already.
func (w *Writer) appendQueued(buffer *bytes.Buffer) {
	for buffer.Len() < maxFlushBytes {
		select {
		case line := <-w.lines:
			buffer.Write(line)
		default:
			return
		}
	}
}

// New returns a logger of JSON lines over the writer.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
