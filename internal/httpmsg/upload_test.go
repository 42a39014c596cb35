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
		u := &Upload{waited: c.now} // the reads have waited all the time
		u.received.Store(c.received)
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

// The agent can't know when a client has written its last byte. The latest time at which it can't have must move while more is left than the
// kernels hold and while the agent waits for the client, and must stand still while bytes wait for the agent.
func TestUnfinishedAtMovesWhileTheClientMustStillWrite(t *testing.T) {
	const delivery = deliveryTime + emptyWait // of a hundred bytes
	u := &Upload{Length: clientBufferBytes + 100}
	began := time.Now()
	for _, step := range []struct {
		after, waited time.Duration
		read          int
		want, later   time.Duration // at the step, and half a second later
	}{
		{time.Second, 0, 50, time.Second, 1500 * time.Millisecond},                 // more is left than the kernels hold
		{2 * time.Second, delivery, 50, 2 * time.Second, 2 * time.Second},          // the agent waited for the client
		{3 * time.Second, 0, 100, 2 * time.Second, 2 * time.Second},                // bytes waited for the agent
		{4 * time.Second, deliveryTime - 1, 100, 2 * time.Second, 2 * time.Second}, // the agent may have waited for the kernels
		{5 * time.Second, delivery, 100, 5 * time.Second, 5 * time.Second},         // the agent waited again
		{9 * time.Second, 0, 100, 5 * time.Second, 5 * time.Second},
	} {
		at := began.Add(step.after)
		u.progress.beginRead(at.Add(-step.waited))
		u.noteRead(step.read, at)
		if got := u.UnfinishedAt(at).Sub(began); got != step.want {
			t.Errorf("after %v: %v, want %v", step.after, got, step.want)
		}
		if got := u.UnfinishedAt(at.Add(500 * time.Millisecond)).Sub(began); got != step.later {
			t.Errorf("half a second after %v: %v, want %v", step.after, got, step.later)
		}
	}
	u.progress.beginRead(began.Add(10 * time.Second))
	if got := u.UnfinishedAt(began.Add(11 * time.Second)).Sub(began); got != 11*time.Second {
		t.Errorf("while a read waits: %v", got)
	}
}
