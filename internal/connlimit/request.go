package connlimit

import (
	"context"
	"net"
	"net/http"
)

// ConnState is the http.Server's ConnState: it tracks what net/http reports of a connection.
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
	}
}

type connContextKey struct{}

// ConnContext is the http.Server's ConnContext: the functions below find the connection of a request by its context. They do
// nothing, and return zero values, for a context without one.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, raw)
}

func fromContext(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(connContextKey{}).(*Conn)
	return c, ok
}

// BeginRequest marks a request as in flight: from now on it must get an answer, and its connection is not evicted. That ends when
// net/http has written the answer.
func BeginRequest(ctx context.Context, requestID string) {
	c, ok := fromContext(ctx)
	if !ok {
		return
	}
	c.setActivity(requestInFlight)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.requestID = requestID
}

// BeginAnswer says that the answer of the request in flight has been decided on and is about to be written.
func BeginAnswer(ctx context.Context) {
	c, ok := fromContext(ctx)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.answerDecided = true
}

// MarkAnswerAborted says that the answer of the request in flight broke off: the close must not look like the answer's end.
func MarkAnswerAborted(ctx context.Context) {
	c, ok := fromContext(ctx)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.answerAborted = true
}

// ConnectionID returns the number under which events name the connection of a request; 0 for none.
func ConnectionID(ctx context.Context) uint64 {
	c, ok := fromContext(ctx)
	if !ok {
		return 0
	}
	return c.number
}

// ClientDisconnected reports whether a read showed that the client of a request has closed or reset its connection.
func ClientDisconnected(ctx context.Context) bool {
	c, ok := fromContext(ctx)
	if !ok {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.disconnected
}
