package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/config/platform"
	"ryeweir/internal/testkit"
)

// slowClientRate is the rate, in bytes per second, of the platform's slow clients.
const slowClientRate = 64_000

// readSlowly reads at slowClientRate for the given time.
func readSlowly(r io.Reader, d time.Duration) (n int64, err error) {
	const pause = 100 * time.Millisecond
	for end := time.Now().Add(d); err == nil && time.Now().Before(end); time.Sleep(pause) {
		var read int64
		read, err = io.CopyN(io.Discard, r, slowClientRate*int64(pause)/int64(time.Second))
		n += read
	}
	return n, err
}

// Guards against an answer that is cut off while its client reads it slowly, but all the time: a deadline that measures the kernel's send
// buffer passes, because a writer that found the buffer full is woken only when a third of it is free.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		size   int64
		http10 bool // the client speaks HTTP/1.0
		ends   bool // the agent ends while the client reads
	}{
		"with a length":                  {"HTTP/1.1 200 OK\r\nContent-Length: 12582912\r\n\r\n", 12 << 20, false, false},
		"HTTP/1.0 endpoint":              {"HTTP/1.0 200 OK\r\n\r\n", 12 << 20, false, false},
		"HTTP/1.0 on both sides":         {"HTTP/1.0 200 OK\r\n\r\n", 12 << 20, true, false},
		"written before the client read": {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", 1 << 20, false, false},
		"written before the agent ends":  {"HTTP/1.0 200 OK\r\n\r\n", 1 << 20, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.head)
				io.CopyN(conn, endless{}, c.size)
				return false
			})
			a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
			client := a.dial(t)
			if c.http10 {
				writeHTTP10Request(client)
			} else {
				a.pay(t, "x").Write(client)
			}
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.ends {
				time.AfterFunc(time.Second, a.stop)
			}
			slowly, err := readSlowly(resp.Body, 8*time.Second)
			if err != nil {
				t.Fatalf("cut off after %d bytes: %v", slowly, err)
			}
			if rest, err := io.Copy(io.Discard, resp.Body); err != nil || slowly+rest != c.size {
				t.Errorf("%d of %d bytes, error %v", slowly+rest, c.size, err)
			}
		})
	}
}

// Guards against a client that holds its connection, and one to an endpoint, without taking anything of its answer: it is let go in time,
// and the log says that the client was the cause.
func TestClientThatTakesNothingIsLetGo(t *testing.T) {
	t.Parallel()
	closed := make(chan time.Time, 1)
	b := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
		io.CopyN(c, endless{}, 30000000)
		closed <- time.Now()
		return false
	})
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	c := a.dial(t)
	began := time.Now()
	a.pay(t, "x").Write(c)
	const longest = 7*time.Second + 2*time.Second // the stated time, and time for a busy machine
	if took := (<-closed).Sub(began); took > longest {
		t.Errorf("let go after %v, want %v at most", took, longest)
	}
	testkit.Eventually(t, "the request is abandoned because its client stalled", func() bool {
		f := a.readCounters(t)
		return f.Pending == 0 && f.Events["request_abandoned"]["client_stalled"] == 1
	})
}

// Guards against an upload that is cut off while the endpoint reads it slowly, but all the time, for the same reason as an answer to a slow
// client. The client has time for that: without a length nothing tells how much of a body it has written by now.
func TestUploadToASlowEndpointArrivesWhole(t *testing.T) {
	t.Parallel()
	const size = 12 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			t.Parallel()
			l := testkit.Listen(t)
			received := make(chan int64, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					t.Error(err)
					return
				}
				slowly, _ := readSlowly(r.Body, 8*time.Second)
				rest, err := io.Copy(io.Discard, r.Body)
				if err != nil {
					t.Errorf("cut off after %d bytes: %v", slowly+rest, err)
				}
				received <- slowly + rest
				io.WriteString(c, testkit.OKResponse)
			}()
			a := startAgentWith(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", l.Addr().String(), "Ready", 0)), 0, func(cfg *platform.Config) {
				for i := range cfg.Site.Logic.Classes {
					cfg.Site.Logic.Classes[i].Timeout = testkit.WaitTimeout
				}
			})
			r := a.pay(t, "")
			r.Body, r.ContentLength = io.NopCloser(io.LimitReader(endless{}, size)), size
			if chunked {
				r.ContentLength = -1
				r.Header.Set("X-Timeout", fmt.Sprintf("%dm", testkit.WaitTimeout.Milliseconds()))
			}
			if got := send(t, r); got.status != http.StatusOK || <-received != size {
				t.Errorf("status %d", got.status)
			}
		})
	}
}

// Failure: the answer to a long request came seconds after its time, as its deadline began only when the agent had read the last byte, while the
// client had written it long before and the endpoint took nothing. It must come in time, and no later than a stall of the endpoint is noticed.
func TestUploadToAnEndpointThatTakesNothingIsAnsweredInTime(t *testing.T) {
	const timeout, limit = 500 * time.Millisecond, 3 * time.Second
	for _, size := range []int64{200 << 10, 2 << 20, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			l := testkit.Listen(t) // accepts in the kernel and reads nothing
			a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", l.Addr().String(), "Ready", 0)), 0)
			r := a.pay(t, "")
			r.Header.Set("X-Timeout", fmt.Sprintf("%dm", timeout.Milliseconds()))
			r.Body, r.ContentLength = io.NopCloser(io.LimitReader(endless{}, size)), size
			began := time.Now()
			if got := send(t, r); got.status != http.StatusServiceUnavailable && got.status != http.StatusBadGateway || time.Since(began) > limit {
				t.Errorf("status %d after %v", got.status, time.Since(began))
			}
		})
	}
}
