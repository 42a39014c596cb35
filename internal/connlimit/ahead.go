package connlimit

import (
	"errors"
	"net"
	"os"
	"syscall"

	"ryeweir/internal/socket"
)

// mostAhead is kept of what a client sends behind a request that is open: beyond it a client that leaves is not noticed.
const mostAhead = 16 << 10

// ahead is what has come behind a request that is open. A client may leave behind bytes of a next request, or an empty line:
// net/http stops to look at the first byte, so that they are read here, and kept for it. It and the server's reader go by turns:
// its goroutine has ended before the server reads again. The table's lock guards it.
type ahead struct {
	gone    func()        // is told that the client has left; nil while no request waits
	reading bool          // the server reads
	behind  bool          // the server's latest read was its look for a client that leaves, and brought a byte
	running chan struct{} // closed when the goroutine has ended; nil without one
	held    []byte
	err     error // why no more comes, behind that
}

// watch begins a watch.
func (c *Conn) watch(gone func()) (left bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	a := &c.ahead
	if a.err != nil || len(a.held) == 0 && closed(c.Conn) {
		c.clientGone = true
		return true
	}
	if a.gone = gone; a.behind && !a.reading {
		a.start(c)
	}
	return false
}

// closed reports whether the far side has closed a connection on which nothing waits to be read; false where it can't be asked.
func closed(c net.Conn) bool {
	n, err := socket.Peek(c)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// start reads on in a goroutine of its own. The lock is held.
func (a *ahead) start(c *Conn) {
	if a.running != nil || a.err != nil || len(a.held) >= mostAhead {
		return
	}
	running, buf := make(chan struct{}), make([]byte, mostAhead-len(a.held))
	a.running = running
	go func() {
		defer close(running)
		n, err := 0, error(nil)
		for n < len(buf) && err == nil {
			var more int
			more, err = c.Conn.Read(buf[n:])
			n += more
		}
		c.table.mu.Lock()
		a.held, a.err = append(a.held, buf[:n]...), err
		c.noteReadError(err)
		gone := a.gone // of the request that waits now: it may be another than at the start
		c.table.mu.Unlock()
		if gone != nil && err != nil && !timedOut(err) {
			gone()
		}
	}()
}

// stop ends the goroutine. The lock is held, but given up while that takes.
func (a *ahead) stop(c *Conn) {
	running := a.running
	if running == nil {
		return
	}
	c.Conn.SetReadDeadline(longAgo)
	c.table.mu.Unlock()
	<-running
	c.table.mu.Lock()
	a.running = nil
	if timedOut(a.err) {
		a.err = nil
	}
	if !c.retired {
		c.Conn.SetReadDeadline(c.deadline)
	}
}

// take gives what has come ahead to the server's reader, or says why there is no more; false when there is nothing of either.
func (a *ahead) take(p []byte) (n int, err error, held bool) {
	if len(a.held) == 0 {
		return 0, a.err, a.err != nil
	}
	n = copy(p, a.held)
	if a.held = a.held[n:]; len(a.held) == 0 {
		a.held = nil
	}
	return n, nil, true
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
