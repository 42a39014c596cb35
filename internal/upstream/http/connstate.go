package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// maxRequestBuffer is how large a buffer a connection keeps for the next request, in bytes.
const maxRequestBuffer = 8 << 10

// connState is the protocol state that the pool keeps with a connection.
type connState struct {
	reader   *bufio.Reader
	limited  *io.LimitedReader // under reader: bytes that the response may still bring
	deadline *deadlineReader   // under limited

	requestBuffer []byte // for the next request
}

// NewConnState returns the state of a new connection, for pool.Config.
func NewConnState(conn net.Conn) any {
	deadline := &deadlineReader{conn: conn}
	limited := &io.LimitedReader{R: deadline}
	return &connState{reader: bufio.NewReader(limited), limited: limited, deadline: deadline}
}

// startExchange prepares the state for one exchange.
func (s *connState) startExchange(readDeadline func(lastRead time.Time) time.Time) {
	s.limited.N = maxHeadBytes // http.ReadResponse takes a head of any length
	s.deadline.lastRead, s.deadline.deadline = time.Time{}, readDeadline
}

// anyRead reports whether anything has been read in this exchange.
func (s *connState) anyRead() bool { return !s.deadline.lastRead.IsZero() }

// deadlineReader reads from a connection under a deadline that may be postponed while a read waits.
type deadlineReader struct {
	conn     net.Conn
	lastRead time.Time                          // in this exchange; zero before the first
	deadline func(lastRead time.Time) time.Time // when the next read must have returned
	set      time.Time                          // the connection's deadline
}

// deadlineSlack is how early the connection's deadline may be. Each change of it costs a little, and one that is early only costs
// another turn of the loop.
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
			r.set = time.Time{}
			if time.Now().Before(r.deadline(r.lastRead)) {
				continue // postponed meanwhile
			}
		}
		return n, err
	}
}

// applyDeadline sets the connection's deadline if the present one is too late, or early by more than the slack allows.
func (r *deadlineReader) applyDeadline() error {
	deadline := r.deadline(r.lastRead)
	if !r.set.After(deadline) && time.Until(r.set) >= deadlineSlack {
		return nil
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	r.set = deadline
	return nil
}
