// Package logwriter keeps the log from blocking those who write it.
//
// A log whose reader hangs blocks each write, and so the owner of all calls: the agent would stand still. A Writer queues lines for
// one goroutine that writes them. When the queue is full it drops further lines, and says later how many.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait to be written.
	maxQueuedLines = 4096
	// closeTimeout is how long Close waits for the queued lines.
	closeTimeout = 300 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write is a line. It may be used by any goroutine.
type Writer struct {
	out   io.Writer
	lines chan []byte
	ended chan struct{} // closed when the goroutine has ended

	mu      sync.Mutex
	closed  bool
	dropped int // lines, since the last one that was queued
}

// New returns a writer to out, and starts its goroutine. It must be closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go w.run()
	return w
}

// run writes the queued lines. It ignores errors of the underlying writer: there is no other log for them, and the reader may come
// back.
func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		w.out.Write(line)
	}
}

// Write queues a copy of the line, or drops it when the queue is full or the writer closed. It always succeeds.
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

// reportDropped queues a line about the lines that were dropped, if there are any. It reports false when the queue is still full.
// w.mu must be held.
func (w *Writer) reportDropped() bool {
	if w.dropped == 0 {
		return true
	}
	report := fmt.Appendf(nil, "level=WARN msg=\"log lines were dropped, as the log was not read\" lines=%d\n", w.dropped)
	if !w.enqueue(report) {
		return false
	}
	w.dropped = 0
	return true
}

// enqueue reports whether the queue had space for a line. w.mu must be held.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close ends the writer, and waits up to closeTimeout until the queued lines are written. Lines that come later are dropped. It may
// be called more than once, and returns nil.
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
