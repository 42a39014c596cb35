package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"
)

// newID returns a new request ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call is one request of a client on a connection of its own, and what became of it.
type call struct {
	id      string
	class   class
	sentAt  time.Time // when its last byte had been written
	written bool      // all of it was written
	status  int       // 0 without the head of an answer
	read    int       // bytes of the body
	whole   bool      // the answer came to its end
	right   bool      // the body is the one that a server made for this request
	endedAt time.Time
	err     error
	held    time.Duration // longest time between two pieces of the body
}

// class is a class of the settings with its method.
type class struct {
	name, method string
	timeout      time.Duration
}

var (
	priceBasket = class{"price-basket", http.MethodGet, 2 * time.Second}
	placeOrder  = class{"place-order", http.MethodPost, 800 * time.Millisecond}
)

// head returns a request without a body, as the protocol page words it.
func (c class) head(id, query string) string {
	text := fmt.Sprintf("%s /%s%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Tenant-Id: ranmuthu-eats\r\nX-Route-Key: %s\r\nX-Timeout: %dm\r\n",
		c.method, c.name, query, id, id[:8], c.timeout.Milliseconds())
	if c.method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

// upload makes a request with a body in chunks of 4 KiB, which it writes at once, and reads its answer.
func (r *run) upload(addr string, c class, query string, bytes int, patience time.Duration) *call {
	result := &call{id: newID(), class: c}
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		result.err, result.endedAt = err, time.Now()
		return result
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	var request strings.Builder
	request.WriteString(strings.Replace(c.head(result.id, query), "Content-Length: 0", "Transfer-Encoding: chunked", 1))
	chunks := httputil.NewChunkedWriter(&request)
	for range bytes / chunkBytes {
		io.WriteString(chunks, strings.Repeat("x", chunkBytes))
	}
	chunks.Close()
	request.WriteString("\r\n")
	began := time.Now()
	_, err = io.WriteString(conn, request.String())
	result.sentAt, result.written = time.Now(), err == nil
	r.note("client", "%s wrote %d bytes in %v, error %v", result.id, request.Len(), result.sentAt.Sub(began).Round(time.Millisecond), err)
	if err == nil {
		err = result.receive(conn, 2)
	}
	result.err, result.endedAt = err, time.Now()
	return result
}

// chunkBytes is the length of the chunks of a client's body.
const chunkBytes = 4 << 10

// send makes a request on a new connection and reads its answer until it ends or patience has passed.
func (r *run) send(addr string, c class, query string, size int, patience time.Duration) *call {
	result := &call{id: newID(), class: c}
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		result.err, result.endedAt = err, time.Now()
		return result
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	_, err = io.WriteString(conn, c.head(result.id, query))
	result.sentAt, result.written = time.Now(), err == nil
	if err == nil {
		err = result.receive(conn, size)
	}
	result.err, result.endedAt = err, time.Now()
	return result
}

// receive reads the answer.
func (c *call) receive(conn net.Conn, size int) error {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	c.status = answer.StatusCode
	defer answer.Body.Close()
	expected := bodyOf(c.id, size)
	c.right = true
	buffer := make([]byte, 32<<10)
	for last := time.Now(); ; {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			c.held = max(c.held, time.Since(last))
			last = time.Now()
			c.right = c.right && c.read+n <= len(expected) && string(buffer[:n]) == expected[c.read:c.read+n]
			c.read += n
		}
		if errors.Is(err, io.EOF) {
			c.whole = true
			c.right = c.right && c.read == len(expected)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// String describes the call for the record.
func (c *call) String() string {
	return fmt.Sprintf("%s %s status %d, %d bytes, whole %v, right %v, %v after it was sent, longest pause %v, error %v",
		c.id, c.class.name, c.status, c.read, c.whole, c.right, c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.held.Round(time.Millisecond), c.err)
}
