package httpmsg

import (
	"io"
	"strings"
	"testing"
	"time"
)

// An endpoint answers just after the last byte of a body has been read, before the attempt that writes it has noticed the end. This
// is no early answer, so Stop must not set a deadline on the client's connection: net/http would take it for a client that has
// disconnected. While part of the body is still missing, Stop must set one.
func TestStopAfterTheEndLeavesTheConnectionAlone(t *testing.T) {
	for _, complete := range []bool{true, false} {
		var deadlines []time.Time
		upload := &Upload{Source: strings.NewReader("body"), SetReadDeadline: func(t time.Time) error {
			deadlines = append(deadlines, t)
			return nil
		}}
		r := &Remainder{Upload: upload, OnComplete: func() error { return nil }}
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
			t.Errorf("complete %v: read %d bytes after Stop, error %v", complete, n, err)
		}
	}
}
