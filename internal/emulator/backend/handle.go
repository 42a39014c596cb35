package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ryeweir/internal/emulator/node"
)

const (
	defaultWork      = 30 * time.Millisecond // of a request that does not state its cost
	maxResponseBytes = 32 << 20
	maxCost          = 1e9  // microseconds; a cost hint of this or more is ignored
	maxAttr          = 1e12 // a number of this or more in X-Attrs is ignored

	// The keys in X-Attrs that the emulator's callers send.
	attrWork   = "work"   // microseconds on a core of speed 1
	attrAnswer = "answer" // size of the response body in bytes

	// notProcessed is a header that tells an agent that the request was not executed and may be retried.
	notProcessed = "X-Not-Processed: 1\r\n"
)

// parseAttrs parses the numbers in X-Attrs, by key. It ignores values that are not a number, negative, or maxAttr or more.
func parseAttrs(text string) map[string]float64 {
	attrs := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if x, err := strconv.ParseFloat(value, 64); ok && err == nil && x >= 0 && x < maxAttr {
			attrs[name] = x
		}
	}
	return attrs
}

// readWork reads the cost, deadline and routing key of a request from its headers, and the requested size of the response body.
func readWork(req request) (work node.Work, responseBytes int) {
	attrs := parseAttrs(req.Header.Get("X-Attrs"))
	work = node.Work{
		Key:      req.Header.Get("X-Route-Key"),
		Cost:     defaultWork,
		Deadline: readDeadline(req),
	}
	if cost, err := strconv.ParseFloat(req.Header.Get("X-Cost"), 64); err == nil && cost > 0 && cost < maxCost {
		work.Cost = microseconds(cost)
	}
	if cost, ok := attrs[attrWork]; ok {
		work.Cost = microseconds(cost)
	}
	return work, int(min(maxResponseBytes, attrs[attrAnswer]))
}

func microseconds(x float64) time.Duration { return time.Duration(x * 1e3) }

// readDeadline returns when the client stops waiting, according to X-Timeout: a number with the unit m (milliseconds) or u
// (microseconds). It returns 0 if the header is missing or invalid.
func readDeadline(req request) time.Duration {
	text := req.Header.Get("X-Timeout")
	if len(text) < 2 {
		return 0
	}
	number, unit := text[:len(text)-1], text[len(text)-1]
	timeout, err := strconv.ParseFloat(number, 64)
	if err != nil || !(timeout > 0) {
		return 0
	}
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	return req.firstByteAt + time.Duration(timeout*float64(units[unit]))
}

// handle answers a request. It returns false if the connection must be closed. ended is closed when the client has disconnected.
func (c *conn) handle(req request, ended <-chan struct{}) bool {
	if req.URL.Path == "/health" || req.URL.Path == "/status/load" {
		return c.answerHealthCheck(req)
	}
	b, observer := c.backend, c.backend.cfg.Observer
	id := req.Header.Get("X-Request-ID")
	if id == "" {
		return c.respond(http.StatusNotFound, "", "missing X-Request-ID\n")
	}
	if b.cfg.RejectUnknown && observer != nil && !observer.KnownRequest(id) {
		return c.respond(http.StatusBadRequest, "", "request ID unknown: no caller sent it\n")
	}
	if observer != nil {
		observer.RequestArrived(id, c.node.ID, req.firstByteAt)
	}
	if c.tableFull {
		c.respond(http.StatusServiceUnavailable, notProcessed+"Connection: close\r\n", "")
		return false
	}
	work, responseBytes := readWork(req)
	if b.cfg.Unnotified != nil { // the ID and start of an incarnation never change, so they can be read without the lock
		work.Unnotified = b.cfg.Unnotified(id, c.node.ID, c.node.Started)
	}
	submitted, ok := b.submit(c.node, id, work)
	if !ok {
		return false
	}
	if submitted.executed && observer != nil {
		observer.ExecutionStarted(id, c.node.ID, b.now())
	}
	if submitted.verdict != node.Accepted {
		return c.respondNotAccepted(submitted.verdict, ended)
	}
	select {
	case completion := <-submitted.done:
		return c.respondCompleted(id, completion, responseBytes, ended)
	case <-ended:
		b.cancel(c.node, submitted.ticket)
		return false
	}
}

// respondNotAccepted responds to a request that the node did not accept. It returns false if the connection must be closed.
func (c *conn) respondNotAccepted(verdict node.Verdict, ended <-chan struct{}) bool {
	switch verdict {
	case node.Rejected:
		return c.respond(http.StatusServiceUnavailable, notProcessed+c.loadHeader(), "")
	case node.FailedFast:
		return c.respond(http.StatusInternalServerError, c.loadHeader(), "an error\n")
	case node.ConnReset:
		c.reset()
		return false
	default: // node.NoResponse
		<-ended
		return false
	}
}

// respondCompleted waits until the response to a completed request is due and sends it. It returns false if the connection must be
// closed.
func (c *conn) respondCompleted(id string, completion node.Completion, responseBytes int, ended <-chan struct{}) bool {
	if wait := completion.At - c.backend.now(); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ended:
			return false
		}
	}
	switch {
	case c.unresponsive():
		<-ended
		return false
	case completion.Expired:
		return c.respond(http.StatusGatewayTimeout, notProcessed+c.loadHeader(), "")
	case !completion.OK:
		return c.respond(http.StatusInternalServerError, c.loadHeader(), "an error\n")
	case completion.Form == node.Malformed:
		_, err := io.WriteString(c, "HTTP/1.1 2\x00\x01 spoilt\r\nContent-Len")
		return err == nil
	case completion.Form == node.Oversized:
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"+strings.Repeat("x", 4096))
		return err == nil
	}
	body := responseBody(id, c.node.ID, completion.Ticket, responseBytes)
	if observer := c.backend.cfg.Observer; observer != nil {
		hash := NewBodyHash()
		io.WriteString(hash, body)
		observer.ResponseProduced(id, hash.Sum64())
	}
	return c.respond(http.StatusOK, c.loadHeader(), body)
}

func (c *conn) unresponsive() bool {
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	return c.node.Unresponsive()
}
