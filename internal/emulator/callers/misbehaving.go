package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// MisbehavingFigures are what came of rude clients.
type MisbehavingFigures struct {
	Clients int `json:"clients"`
	Served  int `json:"served"`  // got a 2xx for what is no request
	Ignored int `json:"ignored"` // got neither an error nor a close in time
}

// malformedRequests is what they send, each on a connection of its own.
var malformedRequests = []string{
	"",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"GET / HTTP/1.1\r\nHost: x\r\n",
	"GET /price-basket HTTP/1.1\r\nHost: x\r\nX-Timeout: soon\r\nX-Request-ID: 1\r\n\r\n",
	"POST /place-order HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
	"POST /place-order HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /no-such-class HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nX-Timeout: 100m\r\n\r\n",
	"POST /place-order HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nX-Timeout: 100m\r\nContent-Length: 100000\r\n\r\nhalf",
	"GET /" + strings.Repeat("a", 70000) + " HTTP/1.1\r\n\r\n",
}

// misbehavingTimeout is how long a rude client is owed an error or a close in.
const misbehavingTimeout = 3 * time.Second

// RunMisbehaving lets so many rude clients a second come to an address until the context ends, each with something that is no
// request, and counts what they got.
func RunMisbehaving(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), addr string, rate float64) MisbehavingFigures {
	var mu sync.Mutex
	var out MisbehavingFigures
	var all sync.WaitGroup
	for n := 0; Sleep(ctx, time.Duration(float64(time.Second)/rate)); n++ {
		text := malformedRequests[n%len(malformedRequests)]
		all.Go(func() {
			status, closed := sendMalformed(dial, addr, text)
			mu.Lock()
			defer mu.Unlock()
			out.Clients++
			switch {
			case status >= 200 && status < 300:
				out.Served++
			case status < 400 && !closed:
				out.Ignored++
			}
		})
	}
	all.Wait()
	return out
}

// sendMalformed sends a text and waits for an answer or a close.
func sendMalformed(dial func(context.Context, string, string) (net.Conn, error), addr, text string) (status int, closed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), misbehavingTimeout)
	defer cancel()
	c, err := dial(ctx, "tcp", addr)
	if err != nil {
		return 0, ctx.Err() == nil
	}
	defer c.Close()
	end, _ := ctx.Deadline()
	c.SetDeadline(end)
	io.WriteString(c, text)
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return 0, time.Now().Before(end)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, time.Now().Before(end)
	}
	resp.Body.Close()
	return resp.StatusCode, true
}
