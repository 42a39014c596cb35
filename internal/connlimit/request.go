package connlimit

import (
	"context"
	"net"
	"net/http"
)

// ConnState is the ConnState hook of the http.Server. It tracks the state that net/http reports for a connection, and holds up connections that
// send requests at too high a rate.
func ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setActivity(readingRequest)
	case http.StateIdle:
		c.setActivity(idle)
		c.awaitTurn()
	}
}

type connContextKey struct{}

// ConnContext is the ConnContext hook of the http.Server. It lets the functions below find the connection of a request by the
// request's context. For a context without a connection they do nothing and return zero values.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, raw)
}

func fromContext(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(connContextKey{}).(*Conn)
	return c, ok
}

// update calls f with the connection of a request, with the lock held. It does nothing if the context has no connection.
func update(ctx context.Context, f func(c *Conn)) {
	c, ok := fromContext(ctx)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	f(c)
}

// BeginRequest marks a request as in flight: it must get an answer, and its connection is not evicted until net/http has written
// that answer.
func BeginRequest(ctx context.Context, requestID string) {
	if c, ok := fromContext(ctx); ok {
		c.setActivity(requestInFlight)
	}
	update(ctx, func(c *Conn) { c.requestID = requestID })
}

// BeginAnswer records that the answer to the request in flight has been decided and is about to be written.
func BeginAnswer(ctx context.Context) {
	update(ctx, func(c *Conn) { c.answerDecided = true })
}

// InputDiscarded reports whether the client of a request has sent so much behind it that bytes were discarded. The connection can carry no
// further request then.
func InputDiscarded(ctx context.Context) (discarded bool) {
	update(ctx, func(c *Conn) { discarded = c.readAhead.overrun })
	return discarded
}

// MarkServed records that an endpoint served the request in flight.
func MarkServed(ctx context.Context) {
	update(ctx, func(c *Conn) { c.served = true })
}

// BeginDiscard records that the answer to the request in flight has been written, and that what the client still sends of the request is
// read and discarded. The connection may be evicted from then on.
func BeginDiscard(ctx context.Context) {
	if c, ok := fromContext(ctx); ok {
		c.setActivity(discarding)
	}
}

// MarkAnswerAborted records that the answer to the request in flight was cut short. The connection is then closed without a
// lingering close, so that the answer does not look complete.
func MarkAnswerAborted(ctx context.Context) {
	update(ctx, func(c *Conn) { c.answerAborted = true })
}

// writeFailed records that a write failed. If an answer had been decided, it is cut short.
func (c *Conn) writeFailed() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.answerDecided {
		c.answerAborted = true
	}
}

// ConnectionID returns the ID that events use for the connection of a request, or 0 if the context has no connection.
func ConnectionID(ctx context.Context) uint64 {
	c, ok := fromContext(ctx)
	if !ok {
		return 0
	}
	return c.id
}

// ClientDisconnected reports whether a read has shown that the client of a request closed or reset its connection.
func ClientDisconnected(ctx context.Context) (disconnected bool) {
	update(ctx, func(c *Conn) { disconnected = c.disconnected })
	return disconnected
}
