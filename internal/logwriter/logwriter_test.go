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

// gate is a reader that hangs until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// Lines go through in order, and all that is queued is out when the writer has closed.
func TestLinesInOrder(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	w := New(g)
	want := ""
	for n := range 100 {
		fmt.Fprintf(w, "line %d\n", n)
		want += fmt.Sprintf("line %d\n", n)
	}
	w.Close()
	w.Close()
	fmt.Fprintln(w, "after the close")
	if g.text.String() != want {
		t.Errorf("%q", g.text.String())
	}
}

// While nobody reads, a write takes no time, the queue is bounded, and what was dropped is counted in a line once there is room.
func TestNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		w := New(g)
		began := time.Now()
		for n := range 3 * queueLength {
			fmt.Fprintf(w, "line %d\n", n)
		}
		synctest.Wait()
		if time.Since(began) > 0 {
			t.Errorf("writing took %v", time.Since(began))
		}
		close(g.open)
		synctest.Wait()
		fmt.Fprintln(w, "the last")
		w.Close()
		lines := strings.Split(strings.TrimSpace(g.text.String()), "\n")
		if n := len(lines); n < queueLength || n > queueLength+3 {
			t.Errorf("%d lines came through", n)
		}
		if note := lines[len(lines)-2]; !strings.Contains(note, "were dropped") || lines[len(lines)-1] != "the last" {
			t.Errorf("%q", lines[len(lines)-2:])
		}
	})
}

// A close waits for a reader that hangs no longer than a moment.
func TestCloseWithoutAReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		w := New(g)
		fmt.Fprintln(w, "a line")
		began := time.Now()
		w.Close()
		if took := time.Since(began); took != closePatience {
			t.Errorf("it took %v", took)
		}
		close(g.open)
	})
}
