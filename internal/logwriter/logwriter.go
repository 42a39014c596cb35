// Package logwriter keeps the log from holding up those who write it: lines wait in a bounded queue for one goroutine that
// writes them. When nobody reads the log, further lines are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLength is how many lines may wait.
	queueLength = 4096
	// closePatience is how long Close waits for what is queued.
	closePatience = 300 * time.Millisecond
)

// Writer is an io.Writer that never waits. Each Write is a line.
type Writer struct {
	to    io.Writer
	lines chan []byte
	ended chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int // since the latest line that was queued
}

// New returns a writer to another, and begins its goroutine. It must be closed.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queueLength), ended: make(chan struct{})}
	go w.run()
	return w
}

// run writes what is queued. An error of the writer below is nobody's to hear: its reader may come back.
func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		w.to.Write(line)
	}
}

// Write queues a line, or drops it where too many wait. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if w.dropped > 0 && !w.queue(fmt.Appendf(nil, "level=WARN msg=\"lines of the log were dropped, as nobody read it\" lines=%d\n", w.dropped)) {
		w.dropped++
		return len(line), nil
	}
	w.dropped = 0
	if !w.queue(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

// queue reports whether there was room for a line. The lock is held.
func (w *Writer) queue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close ends the writer and waits a moment for what is queued. Lines that come later are dropped.
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
	case <-time.After(closePatience):
	}
	return nil
}
