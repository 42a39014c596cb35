// Package logwriter provides an io.Writer for logs that never blocks.
//
// If the process that reads the log hangs, each write to the log blocks. The goroutine that owns all calls writes log lines, so the whole
// agent would stop. A Writer queues lines for a separate goroutine that writes them. While the queue is full it drops lines, and later
// logs how many were dropped.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 4096
	// closeTimeout is how long Close waits for queued lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each call of Write is one line. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	ended chan struct{} // closed when the writing goroutine has ended

	mu      sync.Mutex
	closed  bool
	dropped int // lines dropped since a line was last queued
}

// New returns a Writer to out and starts the goroutine that writes the lines. The caller must close it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go w.run()
	return w
}

// run writes the queued lines. It ignores errors of the underlying writer, because there is no other log to report them to and the reader
// of the log may recover.
func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		w.out.Write(line)
	}
}

// Write queues a copy of the line, or drops it if the queue is full or the Writer is closed. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if !w.reportDropped() || !w.enqueue(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

// reportDropped queues a line with the number of dropped lines, if there are any. It returns false if the queue is still full. The caller
// must hold w.mu.
func (w *Writer) reportDropped() bool {
	if w.dropped == 0 {
		return true
	}
	report := fmt.Appendf(nil, "level=WARN msg=\"log lines were dropped because the log was not read fast enough\" lines=%d\n", w.dropped)
	if !w.enqueue(report) {
		return false
	}
	w.dropped = 0
	return true
}

// enqueue queues a line. It returns false if the queue is full. The caller must hold w.mu.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close stops the Writer and waits at most closeTimeout for the queued lines to be written. Later lines are dropped. It may be called more
// than once and always returns nil.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
	return nil
}
