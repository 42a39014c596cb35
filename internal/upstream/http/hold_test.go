package http

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/httpmsg"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// Guards against a body without a length that is held back for as long as its endpoint leaves the connection open. What has arrived is passed on, and
// must not look complete when the endpoint is given up.
func TestBodyThatIsLeftOpenIsPassedOnAndLooksBroken(t *testing.T) {
	t.Parallel()
	backend := testkit.NewBackend(t, testkit.RespondWith("HTTP/1.1 200 OK\r\n\r\nfine"))
	f := newFixture(t, backend.Addr().String(), 100)
	attempt := f.attempt(testkit.WaitTimeout)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Execute(t.Context(), attempt.Attempt)
	}()
	began := time.Now()
	out := <-attempt.reported
	if held := time.Since(began); out.Result != logic.OK || held > 2*time.Second {
		t.Fatalf("result %v after %v", out.Result, held)
	}
	if latency := out.BegunAt - attempt.SentAt; latency <= 0 || latency > undelimitedHoldTime/2 {
		t.Errorf("the answer counts as begun after %v, although it was held", latency)
	}
	var body strings.Builder
	if _, err := out.Content.(*httpmsg.Content).Pipe.WriteTo(&body); body.String() != "fine" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("body %q, error %v", body.String(), err)
	}
	<-ended
	if f.openConnections() != 0 || backend.Requests() != 1 {
		t.Errorf("%d open connections after %d requests", f.openConnections(), backend.Requests())
	}
}

// The end of the wait must give the client what is timed by its first bytes, and must end what is timed by its last one.
func TestEndOfWaitForwardsWhatIsTimedByItsFirstBytes(t *testing.T) {
	long := fmt.Sprintf("Content-Length: %d\r\n\r\n", httpmsg.MaxBufferedBytes+1)
	for name, test := range map[string]struct {
		response string
		want     logic.Result
	}{
		"nothing":               {"", logic.TimedOut},
		"half a head":           {"HTTP/1.1 200 OK\r\nContent-Le", logic.Reset},
		"head of a long body":   {"HTTP/1.1 200 OK\r\n" + long, logic.OK},
		"head of a short body":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", logic.TimedOut},
		"half of a short body":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi", logic.TimedOut},
		"head without a length": {"HTTP/1.1 200 OK\r\n\r\n", logic.OK},
		"body without a length": {"HTTP/1.1 200 OK\r\n\r\nfi", logic.OK},
		"head of chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", logic.OK},
		"within a chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfi", logic.OK},
		"head of an error":      {"HTTP/1.1 500 Oops\r\n" + long, logic.Reset},
		"half of a rejection":   {"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 4\r\n\r\nbu", logic.Reset},
	} {
		for _, endedBy := range []string{"the core", "the exchange"} {
			t.Run(name+", ended by "+endedBy, func(t *testing.T) {
				t.Parallel()
				backend := testkit.NewBackend(t, testkit.RespondWith(test.response))
				f := newFixture(t, backend.Addr().String(), 100)
				attempt := f.attempt(200 * time.Millisecond)
				attempt.Call.TimeoutSlack = 20 * time.Millisecond
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Execute(ctx, attempt.Attempt)
				if endedBy == "the core" {
					time.Sleep(200 * time.Millisecond)
					attempt.EndWait()
				}
				out := <-attempt.reported
				if out.Result != test.want {
					t.Errorf("result %v, want %v", out.Result, test.want)
				}
				if out.Content != nil {
					out.Content.Discard()
				}
			})
		}
	}
}
