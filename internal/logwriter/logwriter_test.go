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

// blockedLog is a log whose writes block until open is closed.
type blockedLog struct {
	mu   sync.Mutex
	open chan struct{} // closed to let writes continue
	text bytes.Buffer
}

func (b *blockedLog) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Lines are written in order, and all queued lines are written before Close returns.
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

// The log is not read for a while. Writes return at once, the queue is bounded, and once it has space a line with the number of dropped
// lines is logged.
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
			t.Errorf("%d lines written", n)
		}
		if note := lines[len(lines)-2]; !strings.Contains(note, "were dropped") || lines[len(lines)-1] != "the last" {
			t.Errorf("%q", lines[len(lines)-2:])
		}
	})
}

// The reader of the log hangs forever. Close returns after its timeout.
func TestCloseOfAnUnreadLogTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &blockedLog{open: make(chan struct{})}
		w := New(log)
		fmt.Fprintln(w, "a line")
		began := time.Now()
		w.Close()
		if took := time.Since(began); took != closeTimeout {
			t.Errorf("Close took %v, want closeTimeout", took)
		}
		close(log.open)
	})
}
