package httpmsg

import (
	"io"
	"strings"
	"testing"
	"time"
)

// A server may answer in the moment in which the last of a body has been read, before its writer has noticed: that is no early answer,
// and the client's connection gets no deadline, which net/http would take for its end. While some is still to come it does.
func TestStopAfterTheEnd(t *testing.T) {
	for _, whole := range []bool{true, false} {
		var limits []time.Time
		in := &Upload{Source: strings.NewReader("body"), StartedAt: time.Now(), SetReadDeadline: func(t time.Time) error {
			limits = append(limits, t)
			return nil
		}}
		r := &Remainder{Upload: in, OnComplete: func() {}}
		if whole {
			if _, err := io.Copy(io.Discard, r); err != nil {
				t.Fatal(err)
			}
		} else if _, err := r.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		r.Stop()
		if last := limits[len(limits)-1]; r.Stopped() == whole || last.IsZero() != whole {
			t.Errorf("whole %v: stopped %v, last deadline %v", whole, r.Stopped(), last)
		}
		if n, err := r.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Errorf("whole %v: after the stop %d bytes, %v", whole, n, err)
		}
	}
}
