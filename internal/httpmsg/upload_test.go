package httpmsg

import (
	"net"
	"testing"
	"testing/synctest"
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
		u := &Upload{received: c.received, waited: c.now} // the reads have waited all the time
		if got := u.nextDeadline(start.Add(c.now)).Sub(start); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an upload that is aborted as too slow although its client has sent all: an endpoint took the bytes slowly, and the agent
// read no more of them meanwhile.
func TestTimeForWhichTheAgentDoesNotReadIsNoneOfTheClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, agent := net.Pipe()
		defer agent.Close()
		defer client.Close()
		const size = 3 * MinUploadRate
		go client.Write(make([]byte, size))
		upload := &Upload{Source: agent, SetReadDeadline: agent.SetReadDeadline}
		buffer := make([]byte, MinUploadRate/2)
		for received := 0; received < size; time.Sleep(4 * time.Second) { // the endpoint takes an eighth of the rate
			n, err := upload.Read(buffer)
			received += n
			if err != nil {
				t.Fatalf("aborted after %d of %d bytes: %v", received, size, err)
			}
		}
	})
}
