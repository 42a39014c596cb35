package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"ryeweir/internal/emulator/backend"
	"ryeweir/internal/emulator/referee"
)

// Client sends requests to one address over connections of its own. It sends nothing again by itself, but for one case
// that the protocol names: a kept connection that closes with nothing said, before the request was read there.
type Client struct {
	Addr string
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in        *bufio.Reader
	idleSince time.Time
}

const (
	idleTimeout      = 1500 * time.Millisecond // less than agents do, so that closes rarely cross requests
	maxIdleConns     = 256
	maxResponseBytes = 64 << 20
	maxRetryAfter    = 10 * time.Second // come-back times beyond this are no use to anybody
)

// Request is a request on the wire.
type Request struct {
	ID, Class, Tenant, Key string
	NonIdempotent          bool
	Timeout                time.Duration
	CostHint, Work         time.Duration
	ResponseBytes          int           // bytes wanted
	Body                   string        // of one that must not be repeated
	WriteInterval          time.Duration // a slow caller: between pieces of the request
}

func (m Request) text(host string) string {
	var b strings.Builder
	method := http.MethodGet
	if m.NonIdempotent {
		method = http.MethodPost
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout: %du\r\n", method, m.Class, host, m.ID, m.Timeout.Microseconds())
	if m.Tenant != "" {
		b.WriteString("X-Tenant-Id: " + m.Tenant + "\r\n")
	}
	if m.Key != "" {
		b.WriteString("X-Route-Key: " + m.Key + "\r\n")
	}
	if m.CostHint > 0 {
		b.WriteString("X-Cost: " + strconv.FormatInt(m.CostHint.Microseconds(), 10) + "\r\n")
	}
	fmt.Fprintf(&b, "X-Attrs: work=%d", m.Work.Microseconds())
	if m.ResponseBytes > 0 {
		fmt.Fprintf(&b, ",answer=%d", m.ResponseBytes)
	}
	b.WriteString("\r\n")
	if m.NonIdempotent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.Body))
	}
	b.WriteString("\r\n")
	if m.NonIdempotent {
		b.WriteString(m.Body)
	}
	return b.String()
}

// Response is how a request ended.
type Response struct {
	Outcome    referee.Outcome
	Status     int
	BodyHash   uint64 // of the body of a 200
	Bytes      int64
	RetryAfter time.Duration
	Sent       time.Time // when its last byte was written
}

// Send sends a request and waits for its answer until the context ends. sentOn is asked, where a kept connection has
// closed with nothing said, whether the request went on to a node: then it had been read.
func (c *Client) Send(ctx context.Context, m Request, sentOn func() bool) Response {
	for again := false; ; again = true {
		conn, kept, err := c.acquire(ctx, again)
		if err != nil {
			return Response{Outcome: referee.NotSent}
		}
		a, keep := conn.exchange(ctx, m, c.Addr)
		if keep {
			c.release(conn)
		} else {
			conn.Close()
		}
		crossed := a.Outcome == referee.ConnectionClosed || a.Outcome == referee.NotSent
		if !crossed || !kept || again || sentOn() || ctx.Err() != nil {
			return a
		}
	}
}

func (c *Client) acquire(ctx context.Context, fresh bool) (conn *clientConn, kept bool, err error) {
	c.mu.Lock()
	for !fresh && len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.idleSince) < idleTimeout {
			c.mu.Unlock()
			return last, true, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	raw, err := c.Dial(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: raw, in: bufio.NewReader(raw)}, false, nil
}

func (c *Client) release(conn *clientConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && (len(c.idle) >= maxIdleConns || time.Since(c.idle[0].idleSince) >= idleTimeout) {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// exchange sends a request and reads its answer.
func (c *clientConn) exchange(ctx context.Context, m Request, host string) (a Response, keep bool) {
	if c.SetDeadline(time.Time{}) != nil {
		return Response{Outcome: referee.NotSent}, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { keep = stop() && keep }()
	if err := c.write(ctx, m, host); err != nil {
		// An answer may have come before all was sent.
		if ctx.Err() != nil {
			return Response{Outcome: referee.NotSent}, false
		}
	}
	a.Sent = time.Now()
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			a.Outcome = referee.TimedOut
		} else {
			a.Outcome = referee.ConnectionClosed
		}
		return a, false
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.Outcome = truncatedOutcome(err)
		return a, false
	}
	sum := backend.NewBodyHash()
	a.Bytes, err = io.Copy(sum, io.LimitReader(resp.Body, maxResponseBytes))
	a.Status = resp.StatusCode
	if err != nil {
		a.Outcome = truncatedOutcome(err)
		return a, false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		a.Outcome, a.BodyHash = referee.Served, sum.Sum64()
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.Outcome = referee.Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			a.RetryAfter = time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	default:
		a.Outcome = referee.Failed
	}
	return a, !resp.Close
}

// truncatedOutcome is the end of an answer that had begun and is not whole.
func truncatedOutcome(err error) referee.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return referee.TimedOut
	}
	return referee.Failed
}

// slowWritePieces is how many pieces a slow caller sends a request in.
const slowWritePieces = 8

func (c *clientConn) write(ctx context.Context, m Request, host string) error {
	text := m.text(host)
	if m.WriteInterval == 0 {
		_, err := io.WriteString(c, text)
		return err
	}
	for i := range slowWritePieces {
		if _, err := io.WriteString(c, text[len(text)*i/slowWritePieces:len(text)*(i+1)/slowWritePieces]); err != nil {
			return err
		}
		if i < slowWritePieces-1 && !Sleep(ctx, m.WriteInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Sleep waits; false says that the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
