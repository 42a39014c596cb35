package httpmsg

import (
	"testing"
	"time"
)

// A client must send a body at MinUploadRate after a head start. It must not pause for long, even if it was fast before.
func TestUploadDeadlineBoundsRateAndPause(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		received int64
		now      time.Duration // since the start
		want     time.Duration
	}{
		"at the start":           {0, 0, UploadStallTimeout},
		"slow, bound by rate":    {MinUploadRate, 3 * time.Second, UploadStallTimeout + time.Second},
		"fast, bound by a pause": {100 * MinUploadRate, time.Second, time.Second + UploadStallTimeout},
	} {
		u := &Upload{StartedAt: start, received: c.received}
		if got := u.nextDeadline(start.Add(c.now)).Sub(start); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
