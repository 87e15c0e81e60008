// Package eventlog provides the daemon's logger. Lines pass through a queue that is
// bounded in lines and bytes to a writer. If the writer is slow or closed, lines are dropped and
// counted, so that logging never blocks a request.
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
	// maxQueuedLines bounds the lines that wait for the writer. At 300 bytes per line
	// they take about 1.2 MB.
	maxQueuedLines = 4096
	// maxQueuedBytes bounds the size of these lines, which may contain text of callers.
	maxQueuedBytes = 2 << 20
	// maxFlushBytes is the size at which no further lines are added to a write.
	maxFlushBytes = 64 << 10
	// closeTimeout is how long Close waits for a writer that blocks.
	closeTimeout = 300 * time.Millisecond
)

// Writer is an io.Writer that queues lines and never blocks. It is safe for
// concurrent use.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	queued    atomic.Int64
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	quit      chan struct{}
}

// NewWriter returns a Writer that writes to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), quit: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call queues one line, or drops it if the queue
// is full.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop(size)
	}
	return len(line), nil
}

// drop counts a line that is not queued.
func (w *Writer) drop(size int64) {
	w.queued.Add(-size)
	w.dropped.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close stops the writer. It waits up to closeTimeout for queued lines to be
// written.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			reported = w.flush(line, reported)
		case <-w.quit:
			for len(w.lines) > 0 {
				reported = w.flush(nil, reported)
			}
			w.flush(nil, reported)
			return
		}
	}
}

// flush writes a line, the queued lines up to maxFlushBytes, and the number of
// dropped lines if it exceeds the number reported before. It returns the current
// number.
func (w *Writer) flush(line []byte, reported int64) int64 {
	var buffer bytes.Buffer
	buffer.Write(line)
	w.appendQueued(&buffer)
	dropped := w.dropped.Load()
	if dropped > reported {
		buffer.WriteString(`{"level":"WARN","msg":"log lines dropped","total":` + strconv.FormatInt(dropped, 10) + "}\n")
	}
	// If the write fails, these lines are lost: the error cannot be logged.
	_, _ = w.out.Write(buffer.Bytes())
	return dropped
}

// appendQueued moves queued lines to the buffer without waiting, until it holds
// maxFlushBytes.
func (w *Writer) appendQueued(buffer *bytes.Buffer) {
	for buffer.Len() < maxFlushBytes {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			buffer.Write(line)
		default:
			return
		}
	}
}

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
