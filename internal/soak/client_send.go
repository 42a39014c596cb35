package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// responseTimeout is the error of a request whose response did not come, or not completely, while its client waited.
const responseTimeout = "no complete response in time"

// responseWaitMargin is how long a client waits for the response after the request's timeout has passed.
const responseWaitMargin = 1500 * time.Millisecond

// slowAnswerWait is how long a client waits for the rest of a response whose head has arrived, beyond the request's timeout.
const slowAnswerWait = 8 * time.Second

// gapReader notes the longest time between two reads of a response.
type gapReader struct {
	source  io.Reader
	request *Request
	last    time.Duration // when the latest piece came
}

// Read implements io.Reader.
func (g *gapReader) Read(p []byte) (int, error) {
	n, err := g.source.Read(p)
	now := monotonic()
	g.request.LongestGap = max(g.request.LongestGap, now-g.last)
	g.last = now
	return n, err
}

// render returns the head and the body of a request.
func (c *clients) render(request *Request, requestClass class) (head, body string) {
	method := "POST"
	if requestClass.effect == idempotent {
		method = "GET"
	}
	size := 40
	if request.Behavior == longBody || request.Behavior == closesInLongBody {
		size = 70<<10 + int(c.randomDuration(0, 150<<10))
	}
	version := "HTTP/1.1"
	if request.HTTP10 {
		version = "HTTP/1.0"
	}
	head = fmt.Sprintf("%s /%s %s\r\nHost: soak\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n", method, requestClass.name, version, request.ID, request.Timeout.Milliseconds())
	if requestClass.effect == idempotentWithKey {
		head += "Idempotency-Key: key-" + request.ID + "\r\n"
	}
	if request.Behavior == malformed {
		head += "X-Timeout: soon\r\n"
	}
	if method == "POST" {
		body = strings.Repeat("b", size)
		head += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	return head + "\r\n", body
}

// exchange sends a request on a connection and reads the response. Then it closes the connection, or keeps it for the next request.
func (c *clients) exchange(conn *clientConn, request *Request, requestClass class) {
	head, body := c.render(request, requestClass)
	reusable := false
	defer func() {
		if request.EndedAt == 0 {
			request.EndedAt = monotonic()
		}
		if !reusable {
			conn.Close()
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = append(c.idle, conn)
	}()
	conn.SetDeadline(time.Now().Add(request.Timeout + 8*time.Second))
	if !c.send(conn, request, head, body) {
		return
	}
	stop := c.scheduleClose(conn, request)
	if request.SentAt > 0 {
		conn.SetReadDeadline(time.Now().Add(request.Timeout + responseWaitMargin))
	} else {
		conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		stop()
		request.fail(err)
		return
	}
	request.ResponseStartedAt = monotonic()
	if resp.StatusCode == http.StatusOK {
		conn.SetReadDeadline(time.Now().Add(request.Timeout + slowAnswerWait))
	}
	text, err := io.ReadAll(&gapReader{source: resp.Body, request: request, last: request.ResponseStartedAt})
	stop()
	request.ReceivedBytes = 1 + len(text)
	request.Status, request.EndedAt = resp.StatusCode, monotonic()
	request.ReceivedBody, _, _ = strings.Cut(string(text), ".....")
	if err != nil {
		request.fail(err)
		return
	}
	request.Complete = true
	conn.uses++
	conn.lastResponseAt = time.Now()
	reusable = !resp.Close && request.ClosedAt == 0 && request.StoppedAt == 0 && request.Behavior != sendsTrailingBytes && request.Behavior != leavesUnread
	conn.SetDeadline(time.Time{})
}

// fail records that reading the response failed with err.
func (r *Request) fail(err error) {
	r.Err, r.EndedAt = err.Error(), monotonic()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.Err = responseTimeout
	}
}

// send writes a request in the way of its client's behavior, and reports whether a response is to be read.
func (c *clients) send(conn *clientConn, request *Request, head, body string) bool {
	write := func(parts ...string) bool {
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				if request.Behavior == longBody || request.Behavior == closesInLongBody || request.Behavior == slowWriter || request.Behavior == timeoutEdgeWriter {
					return true // the agent may have responded before the end of the request
				}
				request.Err = err.Error()
				return false
			}
		}
		return true
	}
	switch request.Behavior {
	case slowWriter:
		for _, part := range []string{head[:10], head[10:], body[:7], body[7:]} {
			if !write(part) {
				return false
			}
			time.Sleep(c.randomDuration(0, 700*time.Millisecond))
		}
	case timeoutEdgeWriter:
		if !write(head, body[:len(body)-1]) {
			return false
		}
		time.Sleep(2200*time.Millisecond - c.randomDuration(-2*time.Millisecond, 6*time.Millisecond))
		if !write(body[len(body)-1:]) {
			return false
		}
	case stopsMidway:
		message := head + body
		if !write(message[:len(message)-1-int(c.randomDuration(0, 60))]) {
			return false
		}
		request.StoppedAt = monotonic()
		return true
	case closesInLongBody:
		write(head, body[:len(body)/2])
		time.Sleep(c.randomDuration(0, 60*time.Millisecond))
		conn.Close()
		request.ClosedAt = monotonic()
		return false
	case sendsTrailingBytes:
		if !write(head+body, "GET /", c.classes[0].name) {
			return false
		}
	case leavesUnread:
		if !write(head + body) {
			return false
		}
		request.SentAt = monotonic()
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		io.WriteString(conn, strings.Repeat("z", 17<<10+int(c.randomDuration(0, 1<<20)))) // fails if the agent has answered and closed
		return true
	default:
		if !write(head + body) {
			return false
		}
	}
	request.SentAt = monotonic()
	return true
}

// scheduleClose closes or resets the connection, or closes its sending side, after up to 60 ms if that is the client's behavior. A call of
// stop prevents that if it has not happened yet.
func (c *clients) scheduleClose(conn *clientConn, request *Request) (stop func()) {
	var closeSide func()
	raw := conn.Conn.(*net.TCPConn)
	switch request.Behavior {
	case closesEarly, sendsTrailingBytes, leavesUnread:
		closeSide = func() { raw.Close() }
	case resets:
		closeSide = func() { raw.SetLinger(0); raw.Close() }
	case halfCloses:
		closeSide = func() { raw.CloseWrite() }
	default:
		return func() {}
	}
	var mu sync.Mutex
	stopped := false
	timer := time.AfterFunc(c.randomDuration(0, 60*time.Millisecond), func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			closeSide()
			request.ClosedAt = monotonic()
		}
	})
	return func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}
}
