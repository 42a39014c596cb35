package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// slowEndpoint accepts one connection and reads a request from it at a rate in bytes per second. It never answers.
func slowEndpoint(t *testing.T, rate int64) net.Listener {
	const pause = 50 * time.Millisecond
	l := testkit.Listen(t)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
		for err == nil {
			time.Sleep(pause)
			_, err = io.CopyN(io.Discard, r.Body, rate*int64(pause)/int64(time.Second))
		}
		io.Copy(io.Discard, c)
	}()
	return l
}

// Guards against a long request whose only answer comes seconds after its time, because its length was unknown or its last byte had just been read: its
// client had written all of it long before. The limit is the platform's, and a second for a busy machine.
func TestLongRequestIsAnsweredInItsClientsTime(t *testing.T) {
	const answerLimit = 550*time.Millisecond + time.Second
	for _, c := range []struct {
		size, rate int64
		timeout    time.Duration
	}{
		{100 << 10, 16 << 10, 500 * time.Millisecond},
		{400 << 10, 64_000, 500 * time.Millisecond},
		{400 << 10, 220 << 10, 1900 * time.Millisecond}, // the endpoint has all of it shortly before the client's time is over
		{2 << 20, 64_000, 500 * time.Millisecond},
		{2 << 20, 0, 500 * time.Millisecond},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes at %d a second, chunked %v", c.size, c.rate, chunked), func(t *testing.T) {
				t.Parallel()
				l := slowEndpoint(t, c.rate)
				a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", l.Addr().String(), "Ready", 0)), 0)
				r := a.pay(t, "")
				r.Header.Set("X-Timeout", fmt.Sprintf("%dm", c.timeout.Milliseconds()))
				r.Body, r.ContentLength = io.NopCloser(io.LimitReader(endless{}, c.size)), c.size
				if chunked {
					r.ContentLength = -1
				}
				began := time.Now()
				got := send(t, r)
				if took := time.Since(began); got.status != http.StatusServiceUnavailable && got.status != http.StatusBadGateway || took > c.timeout+answerLimit {
					t.Errorf("status %d after %v, of %v", got.status, took, c.timeout)
				}
			})
		}
	}
}
