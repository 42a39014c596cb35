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

// MisbehavingFigures count how misbehaving clients were answered.
type MisbehavingFigures struct {
	Clients int `json:"clients"`
	Served  int `json:"served"`  // got a 2xx response to an invalid request
	Ignored int `json:"ignored"` // got neither an error response nor a close within misbehavingTimeout
}

// malformedRequests are the texts that misbehaving clients send, in turn, each on a connection of its own.
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

// misbehavingTimeout is how long an agent may take to answer with an error or to close the connection.
const misbehavingTimeout = 3 * time.Second

// RunMisbehaving opens connections to an address at a rate per second until the context ends. On each it sends an invalid request.
// When all connections have ended, it returns how they were answered.
func RunMisbehaving(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), addr string, rate float64) MisbehavingFigures {
	var mu sync.Mutex
	var figures MisbehavingFigures
	var clients sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	for n := 0; Sleep(ctx, interval); n++ {
		text := malformedRequests[n%len(malformedRequests)]
		clients.Go(func() {
			status, closed := sendMalformed(dial, addr, text)
			mu.Lock()
			defer mu.Unlock()
			figures.add(status, closed)
		})
	}
	clients.Wait()
	return figures
}

func (f *MisbehavingFigures) add(status int, closed bool) {
	f.Clients++
	switch {
	case status >= 200 && status < 300:
		f.Served++
	case status < 400 && !closed:
		f.Ignored++
	}
}

// sendMalformed sends a text on a new connection and waits for a response or a close. status is 0 if there is no valid response.
// closed reports whether the agent responded, closed or refused the connection in time.
func sendMalformed(dial func(context.Context, string, string) (net.Conn, error), addr, text string) (status int, closed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), misbehavingTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return 0, ctx.Err() == nil
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	io.WriteString(conn, text)
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		return 0, time.Now().Before(deadline)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, time.Now().Before(deadline)
	}
	resp.Body.Close()
	return resp.StatusCode, true
}
