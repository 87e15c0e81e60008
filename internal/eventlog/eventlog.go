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
	// queueLines bounds the lines that wait for the writer: at 300 bytes a line
	// about 1.2 MB.
	queueLines = 4096
	// flushBytes is the most that is written at once.
	flushBytes = 64 << 10
	// closeWait is how long Close waits for a writer that does not take lines.
	closeWait = 300 * time.Millisecond
)

// Writer passes lines on without ever blocking. It implements io.Writer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
	quit    chan struct{}
}

// NewWriter returns a writer in front of out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), quit: make(chan struct{})}
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
	w.closing.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var buffer bytes.Buffer
	var told int64
	for {
		select {
		case line := <-w.lines:
			buffer.Write(line)
		case <-w.quit:
			w.drain(&buffer)
			_, _ = w.out.Write(buffer.Bytes())
			return
		}
		w.drain(&buffer)
		if dropped := w.dropped.Load(); dropped > told {
			buffer.WriteString(`{"level":"WARN","msg":"log lines dropped","total":` + strconv.FormatInt(dropped, 10) + "}\n")
			told = dropped
		}
		// A writer that fails loses these lines; there is nowhere to say so.
		_, _ = w.out.Write(buffer.Bytes())
		buffer.Reset()
	}
}

// drain takes the lines that wait already.
func (w *Writer) drain(buffer *bytes.Buffer) {
	for buffer.Len() < flushBytes {
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
