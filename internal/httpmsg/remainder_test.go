package httpmsg

import (
	"io"
	"strings"
	"testing"
	"time"
)

// An endpoint answers in the instant in which the last byte of a body has been read, before the attempt that writes it has noticed.
// That is no early answer: the client's connection gets no deadline, which net/http would take for a client that disconnects. While
// some of the body is still to come it does get one.
func TestStopAfterTheEndLeavesTheConnectionAlone(t *testing.T) {
	for _, complete := range []bool{true, false} {
		var deadlines []time.Time
		upload := &Upload{Source: strings.NewReader("body"), StartedAt: time.Now(), SetReadDeadline: func(t time.Time) error {
			deadlines = append(deadlines, t)
			return nil
		}}
		r := &Remainder{Upload: upload, OnComplete: func() {}}
		if complete {
			if _, err := io.Copy(io.Discard, r); err != nil {
				t.Fatal(err)
			}
		} else if _, err := r.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		r.Stop()
		if last := deadlines[len(deadlines)-1]; r.Stopped() == complete || last.IsZero() != complete {
			t.Errorf("complete %v: stopped %v, last deadline %v", complete, r.Stopped(), last)
		}
		if n, err := r.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Errorf("complete %v: after the stop %d bytes, %v", complete, n, err)
		}
	}
}
