package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
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

// startExchange resets the state for one exchange. readDeadline returns the deadline of a read, given the time of the last one.
func (s *connState) startExchange(readDeadline func(lastRead time.Time) time.Time) {
	s.limited.N = maxHeadBytes // http.ReadResponse itself does not limit the length of a head
	s.deadline.lastRead, s.deadline.deadline = time.Time{}, readDeadline
}

// anyRead reports whether any bytes have been read in this exchange.
func (s *connState) anyRead() bool { return !s.deadline.lastRead.IsZero() }

// deadlineReader reads from a connection with a deadline that may be postponed while a read is in progress.
type deadlineReader struct {
	conn     net.Conn
	lastRead time.Time                          // last read with data in this exchange; zero before the first
	deadline func(lastRead time.Time) time.Time // returns when the next read must have returned
	applied  time.Time                          // deadline that is set on the connection
}

// deadlineSlack is the remaining time below which a connection's deadline is renewed. Setting a deadline has a cost, while one that
// is earlier than required only costs another iteration of the loop in Read.
const deadlineSlack = 100 * time.Millisecond

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	for {
		if err := r.applyDeadline(); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 {
			r.lastRead = time.Now()
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.applied = time.Time{}
			if time.Now().Before(r.deadline(r.lastRead)) {
				continue // the deadline has been postponed
			}
		}
		return n, err
	}
}

// applyDeadline sets the connection's deadline if the current one is too late, or if less than deadlineSlack of it remains.
func (r *deadlineReader) applyDeadline() error {
	deadline := r.deadline(r.lastRead)
	if !r.applied.After(deadline) && time.Until(r.applied) >= deadlineSlack {
		return nil
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	r.applied = deadline
	return nil
}
