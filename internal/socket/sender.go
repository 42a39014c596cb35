package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// ErrPeerStalled means that a write was given up because the peer took too little of what had been written. It comes with
// os.ErrDeadlineExceeded.
var ErrPeerStalled = errors.New("the peer has stalled")

// StallLimit says how long writes may wait for a peer.
type StallLimit struct {
	Timeout time.Duration // how long they may wait for a peer that takes nothing
	MinRate int64         // bytes per second that a peer must take while they wait, averaged over Timeout
}

// stallCheckInterval is the time between two checks of what the peer has taken while a write waits.
const stallCheckInterval = time.Second

// Sender writes to a connection for as long as its peer takes what is written. Only one goroutine may use it at a time.
//
// A write deadline alone does not tell whether the peer takes anything, as it measures the kernel's send buffer: the buffer grows to some
// megabytes, and a waiting writer is woken only when a third of it is free. A peer that reads slowly, but all the time, can take longer
// than the deadline for that. While a write waits, Sender therefore checks how many bytes the peer has acknowledged.
//
// The allowance for waiting is at most StallLimit.Timeout. The time for which writes wait reduces it, and each byte that the peer takes
// restores the time that a byte takes at StallLimit.MinRate. At zero the write fails with ErrPeerStalled. A peer that takes nothing is
// therefore given up after Timeout, and a peer that takes a byte now and then is given up later.
type Sender struct {
	// Interrupted returns the error with which a write must end early, or nil. It is called each time after the write deadline has been set
	// and before the write. Another goroutine can thus end a write: it makes Interrupted return an error, and then sets a write deadline in
	// the past. Interrupted may be nil.
	Interrupted func() error

	conn      net.Conn
	limit     StallLimit
	allowance time.Duration
	written   int64 // bytes that the kernel has accepted
	taken     int64 // of these, bytes that the peer had taken at the last check
}

// NewSender returns a Sender for a connection, which sets the write deadline of the connection as it needs.
func NewSender(conn net.Conn, limit StallLimit) *Sender {
	return &Sender{conn: conn, limit: limit, allowance: limit.Timeout}
}

// Write implements io.Writer. It returns an error that wraps ErrPeerStalled if the peer has stalled, otherwise that of the connection or of
// Interrupted.
func (s *Sender) Write(p []byte) (n int, err error) {
	for {
		accepted, err := s.writeOnce(p[n:])
		n += accepted
		s.written += int64(accepted)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !s.waitLonger() {
			return n, fmt.Errorf("%w: it has taken %d of %d bytes: %w", ErrPeerStalled, s.taken, s.written, err)
		}
	}
}

// writeOnce writes until the next check is due.
func (s *Sender) writeOnce(p []byte) (accepted int, err error) {
	if err := s.conn.SetWriteDeadline(time.Now().Add(stallCheckInterval)); err != nil {
		return 0, err
	}
	if s.Interrupted != nil {
		if err := s.Interrupted(); err != nil {
			return 0, err
		}
	}
	return s.conn.Write(p)
}

// waitLonger checks what the peer has taken, and reports whether a write that has waited for stallCheckInterval may go on waiting.
func (s *Sender) waitLonger() bool {
	taken := max(s.taken, s.written-int64(unacknowledged(s.conn)))
	restored := time.Duration(float64(taken-s.taken) / float64(s.limit.MinRate) * float64(time.Second))
	s.taken = taken
	s.allowance = min(s.allowance+restored, s.limit.Timeout) - stallCheckInterval
	return s.allowance > 0
}

// unacknowledged returns how many of the bytes written to a connection its peer has not acknowledged. Without a socket that can tell,
// it returns 0: then all that the connection has accepted counts as taken.
func unacknowledged(c net.Conn) (count int) {
	withDescriptor(c, func(descriptor int) {
		if queued, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	return count
}
