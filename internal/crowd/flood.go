package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// FloodKind is what the clients of a flood send.
type FloodKind string

// The kinds of floods.
const (
	ReadinessFlood     FloodKind = "ready"          // readiness checks
	MalformedFlood     FloodKind = "malformed"      // heads that are no HTTP
	UnknownClassFlood  FloodKind = "unknown-class"  // each time another class that does not exist
	UnknownTenantFlood FloodKind = "unknown-tenant" // each time another tenant that does not exist
	NoTimeoutFlood     FloodKind = "no-timeout"     // requests whose timeout is no number
	OrderFlood         FloodKind = "orders"         // valid requests, each with a key of its own
)

// FloodKinds lists the kinds that a flood is drawn from.
var FloodKinds = []FloodKind{ReadinessFlood, MalformedFlood, UnknownClassFlood, UnknownTenantFlood, NoTimeoutFlood, OrderFlood}

// pipelineDepth is how many requests a flooding client writes ahead of their answers.
const pipelineDepth = 64

// Flood sends requests of one kind to addr without a pause until ctx ends, on as many connections as there are clients. It returns the
// number of bytes sent. valid is the class of the valid requests.
func Flood(ctx context.Context, addr string, clients int, kind FloodKind, valid Request) (sent int64) {
	var all sync.WaitGroup
	var total atomic.Int64
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				total.Add(floodOnce(ctx, addr, kind, valid))
			}
		})
	}
	all.Wait()
	return total.Load()
}

// floodOnce floods on one connection until the agent closes it.
func floodOnce(ctx context.Context, addr string, kind FloodKind, valid Request) (sent int64) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		sleep(ctx, restBeforeNext)
		return 0
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	go io.Copy(io.Discard, conn)
	out := bufio.NewWriterSize(conn, 32<<10)
	for ctx.Err() == nil {
		for range pipelineDepth {
			n, err := out.WriteString(kind.text(valid))
			sent += int64(n)
			if err != nil {
				return sent
			}
		}
		if out.Flush() != nil {
			return sent
		}
	}
	return sent
}

// text returns the next request of a flood.
func (kind FloodKind) text(valid Request) string {
	id := NewID()
	switch kind {
	case ReadinessFlood:
		return "GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
	case MalformedFlood:
		return "G\x01T " + id + "\r\n\r\n"
	case UnknownClassFlood:
		valid.Path = "/no-such-class-" + id
	case UnknownTenantFlood:
		valid.Tenant = "no-such-tenant-" + id
	case NoTimeoutFlood:
		return strings.Replace(valid.Head(id, ""), "X-Timeout: ", "X-Timeout: soon", 1) + emptyBody(valid)
	case OrderFlood:
		return valid.Head(id, fmt.Sprintf("X-Route-Key: key-%s\r\n", id)) + emptyBody(valid)
	}
	return valid.Head(id, "") + emptyBody(valid)
}

// emptyBody returns the end of a head without a body.
func emptyBody(r Request) string {
	if r.Method == "POST" {
		return withLength(0) + "\r\n"
	}
	return "\r\n"
}
