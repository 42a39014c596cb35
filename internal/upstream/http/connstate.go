package http

import (
	"bufio"
	"io"
	"net"
	"time"
)

// maxRequestBuffer is the largest buffer, in bytes, that a connection keeps for its next request.
const maxRequestBuffer = 8 << 10

// connState is the protocol state of a connection. The pool stores it as Conn.State.
type connState struct {
	reader   *bufio.Reader
	limited  *io.LimitedReader // source of reader; limits the bytes of the response
	deadline *deadlineReader   // source of limited

	requestBuffer []byte // reused for the next request
}

// NewConnState returns the state of a new connection. It is meant for pool.Config.NewState.
func NewConnState(conn net.Conn) any {
	deadline := &deadlineReader{conn: conn}
	limited := &io.LimitedReader{R: deadline}
	return &connState{reader: bufio.NewReader(limited), limited: limited, deadline: deadline}
}

// startExchange resets the state for one exchange. readDeadline returns the deadline of a read that began at the given time. That time is
// zero while the exchange awaits a response, of which nothing has been read. expired is called when that deadline has passed.
func (s *connState) startExchange(readDeadline func(readBegan time.Time) time.Time, expired func()) {
	s.limited.N = maxHeadBytes // http.ReadResponse itself does not limit the length of a head
	s.deadline.start(readDeadline, expired)
}

// anyRead reports whether any bytes have been read in this exchange.
func (s *connState) anyRead() bool { return s.deadline.anyRead }
