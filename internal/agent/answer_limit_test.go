package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/testkit"
)

// bodyFraming is a way in which an endpoint marks the end of a body whose length it does not state.
type bodyFraming struct {
	name  string
	head  string
	chunk func(size int) (prefix, suffix string)
	end   string
	keeps bool // the connection stays open after the body
}

var bodyFramings = []bodyFraming{
	{
		name:  "chunked",
		head:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		chunk: func(size int) (string, string) { return fmt.Sprintf("%x\r\n", size), "\r\n" },
		end:   "0\r\n\r\n",
		keeps: true,
	},
	{name: "ended by a close", head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
	{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\n\r\n"},
}

// write writes a body of the given length, or one that never ends if the length is negative.
func (f bodyFraming) write(c net.Conn, length int) (open bool) {
	out := bufio.NewWriterSize(c, 1<<20)
	out.WriteString(f.head)
	piece := strings.Repeat("x", 1<<16)
	for length != 0 {
		if length > 0 {
			piece = piece[:min(len(piece), length)]
			length -= len(piece)
		}
		var prefix, suffix string
		if f.chunk != nil {
			prefix, suffix = f.chunk(len(piece))
		}
		if _, err := io.WriteString(out, prefix+piece+suffix); err != nil {
			return false
		}
	}
	out.WriteString(f.end)
	return out.Flush() == nil && f.keeps
}

// writeHTTP10Request writes a request as an HTTP/1.0 client does, which takes the end of the connection for the end of the answer, unless
// the connection is reset.
func writeHTTP10Request(c net.Conn) {
	fmt.Fprintf(c, "POST /pay HTTP/1.0\r\nX-Request-ID: %016x\r\nX-Tenant-Id: lerwick-port\r\nX-Timeout: 1999m\r\nContent-Length: 0\r\n\r\n",
		lastID.Add(1))
}

// askHTTP10 sends a request as an HTTP/1.0 client and reads the answer to its end.
func (a *testAgent) askHTTP10(t *testing.T) (length int64, err error) {
	t.Helper()
	c := a.dial(t)
	writeHTTP10Request(c)
	in := bufio.NewReader(c)
	for line := ""; line != "\r\n" && err == nil; {
		line, err = in.ReadString('\n')
	}
	if err == nil {
		length, err = io.Copy(io.Discard, in)
	}
	return length, err
}

// Guards against an answer that a shutdown cuts off and that an HTTP/1.0 client takes for complete, as its connection just ends.
func TestAnswerCutByAShutdownResetsHTTP10Client(t *testing.T) {
	t.Parallel()
	streaming := make(chan struct{})
	b := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := 0; ; n++ {
			if _, err := io.WriteString(c, "5\r\npiece\r\n"); err != nil {
				return false
			}
			if n == 5 {
				close(streaming)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0))
	operators := operator.Default()
	operators.Drain.MaxDuration = config.Duration(time.Second)
	a := launchAgentWith(t, testConfig(t, d), operators, Environment{Clients: testkit.Listen(t), Control: testkit.Listen(t)}, slog.DiscardHandler)
	go func() { <-streaming; a.stop() }()
	if n, err := a.askHTTP10(t); n == 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the answer ends after %d bytes with %v", n, err)
	}
}

// askHTTP11 sends a request as an HTTP/1.1 client and reads the answer to its end.
func (a *testAgent) askHTTP11(t *testing.T) (length int64, err error) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testkit.WaitTimeout}
	resp, err := client.Do(a.pay(t, "x"))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return io.Copy(io.Discard, resp.Body)
}

// Guards against a client that takes the first 32 MiB of an answer without end for the whole: each kind of client must see that it is
// cut, for each way in which an endpoint can leave the length open. A body of exactly the limit is passed on whole.
func TestAnswerWithoutEndNeverLooksComplete(t *testing.T) {
	for _, framing := range bodyFramings {
		for _, length := range []int{httpmsg.MaxBodyBytes, httpmsg.MaxBodyBytes + 1, -1} {
			t.Run(fmt.Sprintf("%s, %d bytes", framing.name, length), func(t *testing.T) {
				b := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, _ int) bool { return framing.write(c, length) })
				a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
				whole := length == httpmsg.MaxBodyBytes
				if n, err := a.askHTTP11(t); whole != (err == nil) || whole && n != int64(length) {
					t.Errorf("HTTP/1.1 client: %d bytes, error %v", n, err)
				}
				n, err := a.askHTTP10(t)
				if whole && (err != nil || n != int64(length)) || !whole && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("HTTP/1.0 client: %d bytes, error %v", n, err)
				}
				outcome := "failed"
				if whole {
					outcome = "completed"
				}
				testkit.Eventually(t, "both requests are counted as "+outcome, func() bool { return a.readCounters(t).Downstream["pay"][outcome] == 2 })
			})
		}
	}
}
