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

// startExchange resets the state for one exchange. readDeadline returns the deadline of a read that began at the given time. That time is
// zero as long as nothing has been read in the exchange.
func (s *connState) startExchange(readDeadline func(readBegan time.Time) time.Time) {
	s.limited.N = maxHeadBytes // http.ReadResponse itself does not limit the length of a head
	s.deadline.anyRead, s.deadline.deadline = false, readDeadline
}

// anyRead reports whether any bytes have been read in this exchange.
func (s *connState) anyRead() bool { return s.deadline.anyRead }

// deadlineReader reads from a connection with a deadline that may be postponed while a read is in progress.
type deadlineReader struct {
	conn     net.Conn
	anyRead  bool                                // some bytes have been read in this exchange
	deadline func(readBegan time.Time) time.Time // returns when a read that began then must have returned
	applied  time.Time                           // deadline that is set on the connection
}

// deadlineSlack is the remaining time below which a connection's deadline is renewed. Setting a deadline has a cost, while one that
// is earlier than required only costs another iteration of the loop in Read.
const deadlineSlack = 100 * time.Millisecond

// Read implements io.Reader. A pause of the endpoint is measured from the start of the read: between two reads the endpoint may have to
// wait for the agent, which does not read on until the client has taken what is buffered.
func (r *deadlineReader) Read(p []byte) (int, error) {
	var began time.Time
	if r.anyRead {
		began = time.Now()
	}
	for {
		if err := r.applyDeadline(began); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 {
			r.anyRead = true
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.applied = time.Time{}
			if time.Now().Before(r.deadline(began)) {
				continue // the deadline has been postponed
			}
		}
		return n, err
	}
}

// applyDeadline sets the connection's deadline for a read that began at the given time, if the current one is too late, or if less
// than deadlineSlack of it remains.
func (r *deadlineReader) applyDeadline(began time.Time) error {
	deadline := r.deadline(began)
	if !r.applied.After(deadline) && time.Until(r.applied) >= deadlineSlack {
		return nil
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	r.applied = deadline
	return nil
}
