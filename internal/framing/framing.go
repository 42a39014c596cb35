// Package framing watches HTTP/1 connections for messages whose end two readers may see in different places. net/http
// drops the length of a message that also has a transfer encoding, unseen, so that it can't be asked afterwards.
package framing

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync/atomic"
)

// Listener is a listener whose connections are watched.
type Listener struct{ net.Listener }

// Accept takes a connection and watches it.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Conn is a watched connection. It is read by one goroutine at a time, as net/http does.
type Conn struct {
	net.Conn
	heads           scanner
	ambiguous, lost atomic.Bool // what it has found, for handlers: net/http may read on while they run
}

// Read reads, and looks at what came.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.heads.scan(p[:n])
	if c.heads.ambiguous {
		c.ambiguous.Store(true)
	}
	if c.heads.stopped {
		c.lost.Store(true)
	}
	return n, err
}

// NetConn is the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end an answer so that a client which still sends can read it.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

type key struct{}

// ConnContext lets handlers find a watched connection below others that wrap it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		switch inner := c.(type) {
		case *Conn:
			return context.WithValue(ctx, key{}, inner)
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return ctx
		}
	}
}

// Ambiguous reports whether the connection of a handler's request brought a message with both a length and a transfer
// encoding, or with an encoding in HTTP/1.0, which knows none. Nothing on that connection can be trusted.
func Ambiguous(ctx context.Context) bool {
	c, ok := ctx.Value(key{}).(*Conn)
	return ok && c.ambiguous.Load()
}

// Desynchronized reports whether the watch could not follow the connection's messages any more: nothing behind the present one must be
// read from it.
func Desynchronized(ctx context.Context) bool {
	c, ok := ctx.Value(key{}).(*Conn)
	return ok && c.lost.Load()
}

// ResetOnClose makes the close of the connection of a handler's request a reset, where its network knows that: a client of HTTP/1.0
// can't tell otherwise that an answer broke off.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(key{}).(*Conn)
	if !ok {
		return
	}
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		l.SetLinger(0) // without it the close is a plain one
	}
}

// scanner goes from head to head, past bodies with a length or in chunks (RFC 9112, section 7.1). It stops at what it can't
// read: behind that no other message must be read from the connection, which the server sees to by closing it.
type scanner struct {
	part      part
	ambiguous bool
	stopped   bool
	body      int64 // bytes of a body still to pass over
	begun     bool  // the head's first line is over
	old       bool  // it is one of HTTP/1.0
	length    bool  // a Content-Length was there
	size      int64
	encoding  bool   // a Transfer-Encoding was there
	chunked   bool   // and it is chunks alone
	line      []byte // the beginning of the line, and of the first one the end
}

// part is where in a message the scanner is.
type part int

const (
	head      part = iota
	chunkSize      // the line before a chunk
	chunkEnd       // the end of the line behind it
	trailers
)

// longestLine is kept of a line: enough for the names and the figures that matter.
const longestLine = 64

func (s *scanner) scan(p []byte) {
	for len(p) > 0 && !s.stopped {
		if s.body > 0 {
			n := min(s.body, int64(len(p)))
			s.body -= n
			p = p[n:]
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.keep(p)
			return
		}
		s.keep(p[:end])
		p = p[end+1:]
		s.lineEnds()
	}
}

// keep takes in a part of a line: its beginning counts, but of the first line, which ends in the version, the end.
func (s *scanner) keep(part []byte) {
	if s.begun {
		s.line = append(s.line, part[:min(len(part), longestLine-len(s.line))]...)
		return
	}
	s.line = append(s.line, part[max(0, len(part)-longestLine):]...)
	s.line = append(s.line[:0], s.line[max(0, len(s.line)-longestLine):]...)
}

func (s *scanner) lineEnds() {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	switch {
	case s.part != head:
		s.chunkLine(line)
	case !s.begun:
		s.begun, s.old = true, !bytes.HasSuffix(line, []byte("HTTP/1.1"))
	case len(line) == 0:
		s.headEnds()
	case bytes.IndexByte([]byte("CcTt"), line[0]) >= 0: // no other name matters
		s.field(line)
	}
}

func (s *scanner) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		size, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if s.length, s.size = true, size; err != nil || size < 0 {
			s.stopped = true // net/http refuses it, and closes
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = !s.encoding && bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
		s.encoding = true
	}
	if s.encoding && (s.length || s.old) {
		s.ambiguous = true
	}
}

func (s *scanner) headEnds() {
	next := scanner{ambiguous: s.ambiguous, stopped: s.stopped, body: s.size, line: s.line}
	if s.encoding {
		next.stopped = s.stopped || s.ambiguous || !s.chunked
		next.body, next.part, next.begun = 0, chunkSize, true // begun: of all lines the beginning counts
	}
	*s = next
}

// longestChunk is far more than any body may have.
const longestChunk = 1 << 40

// chunkLine takes in a line of a body in chunks.
func (s *scanner) chunkLine(line []byte) {
	switch s.part {
	case chunkSize:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 63)
		switch {
		case err != nil || size > longestChunk || len(line) >= longestLine: // a longer line is cut: who knows what it says
			s.stopped = true
		case size == 0:
			s.part = trailers
		default:
			s.part, s.body = chunkEnd, int64(size)
		}
	case chunkEnd:
		s.part, s.stopped = chunkSize, len(line) > 0
	case trailers:
		if len(line) == 0 {
			s.part, s.begun = head, false
		}
	}
}
