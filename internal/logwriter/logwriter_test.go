package logwriter

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedLog is a log that blocks until its reader is there.
type blockedLog struct {
	mu   sync.Mutex
	open chan struct{} // closed when the reader is there
	text bytes.Buffer
}

func (b *blockedLog) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Lines are written in order, and all that were queued are written when Close returns.
func TestLinesAreWrittenInOrder(t *testing.T) {
	log := &blockedLog{open: make(chan struct{})}
	close(log.open)
	w := New(log)
	want := ""
	for n := range 100 {
		fmt.Fprintf(w, "line %d\n", n)
		want += fmt.Sprintf("line %d\n", n)
	}
	w.Close()
	w.Close()
	fmt.Fprintln(w, "after the close")
	if log.text.String() != want {
		t.Errorf("%q", log.text.String())
	}
}

// Nobody reads the log for a while. Writes return at once, the queue is bounded, and a line says how many were dropped once there is
// space for it.
func TestUnreadLogDropsAndCountsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &blockedLog{open: make(chan struct{})}
		w := New(log)
		began := time.Now()
		for n := range 3 * maxQueuedLines {
			fmt.Fprintf(w, "line %d\n", n)
		}
		synctest.Wait()
		if time.Since(began) > 0 {
			t.Errorf("writing took %v", time.Since(began))
		}
		close(log.open)
		synctest.Wait()
		fmt.Fprintln(w, "the last")
		w.Close()
		lines := strings.Split(strings.TrimSpace(log.text.String()), "\n")
		if n := len(lines); n < maxQueuedLines || n > maxQueuedLines+3 {
			t.Errorf("%d lines came through", n)
		}
		if note := lines[len(lines)-2]; !strings.Contains(note, "were dropped") || lines[len(lines)-1] != "the last" {
			t.Errorf("%q", lines[len(lines)-2:])
		}
	})
}

// The log's reader hangs for good. Close returns after its timeout.
func TestCloseOfAnUnreadLogTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &blockedLog{open: make(chan struct{})}
		w := New(log)
		fmt.Fprintln(w, "a line")
		began := time.Now()
		w.Close()
		if took := time.Since(began); took != closeTimeout {
			t.Errorf("it took %v", took)
		}
		close(log.open)
	})
}
