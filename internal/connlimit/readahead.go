package connlimit

import (
	"errors"

	"ryeweir/internal/framing"
)

// maxReadAhead is how many bytes are read ahead on a connection. If a client sends more than that after its request and then
// disconnects, the disconnect is detected only when the answer is written.
const maxReadAhead = 16 << 10

// readAhead holds the bytes that a client sent after its request in flight: the next request, or an empty line.
//
// It makes a client disconnect visible behind such bytes. net/http's background read ends at the first of them, so the disconnect
// would not be detected, and attempts would be sent for a client that is gone.
//
// The reading goroutine and the server never read at the same time: Conn.Read stops the goroutine and waits until it has ended.
// The bytes therefore stay in order and none is lost. The Listener's lock guards the fields.
type readAhead struct {
	onDisconnect        func()        // called when the client disconnects; nil if no request in flight has registered it
	serverReading       bool          // the server is in Conn.Read
	backgroundReadEnded bool          // the server's latest read was its background read and returned a byte, so it does not read again
	done                chan struct{} // closed when the goroutine has ended; nil if none was started
	buffered            []byte
	err                 error // the error that follows the buffered bytes
}

// startReadAhead starts a goroutine that reads ahead until maxReadAhead bytes are buffered, a read fails, or stopReadAhead is
// called. The lock must be held.
func (c *Conn) startReadAhead() {
	ahead := &c.readAhead
	if ahead.done != nil || ahead.err != nil || len(ahead.buffered) >= maxReadAhead {
		return
	}
	done := make(chan struct{})
	ahead.done = done
	buffer := make([]byte, maxReadAhead-len(ahead.buffered))
	go func() {
		defer close(done)
		c.runReadAhead(buffer)
	}()
}

func (c *Conn) runReadAhead(buffer []byte) {
	read, err := 0, error(nil)
	for read < len(buffer) && err == nil {
		var n int
		n, err = c.Conn.Read(buffer[read:])
		read += n
	}
	c.listener.mu.Lock()
	ahead := &c.readAhead
	ahead.buffered, ahead.err = append(ahead.buffered, buffer[:read]...), err
	// A timeout means that stopReadAhead interrupted the read, and a refused head waits for its turn.
	disconnected := err != nil && !timedOut(err) && !errors.Is(err, framing.ErrHeadRefused)
	if disconnected {
		c.recordReadError(err)
	}
	notify := ahead.onDisconnect // of the current request, which may have begun after the goroutine was started
	c.listener.mu.Unlock()
	if notify != nil && disconnected {
		notify()
	}
}

// stopReadAhead stops the goroutine, if there is one, and waits until it has ended. The lock must be held; it is released during
// the wait.
func (c *Conn) stopReadAhead() {
	ahead := &c.readAhead
	done := ahead.done
	if done == nil {
		return
	}
	c.Conn.SetReadDeadline(aLongTimeAgo)
	c.listener.mu.Unlock()
	<-done
	c.listener.mu.Lock()
	ahead.done = nil
	if timedOut(ahead.err) {
		ahead.err = nil
	}
	if !c.closePending {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// take copies bytes that were read ahead to p. When none are left, it returns the error that ended the reading, if there was one.
// ok is false if there are neither bytes nor an error.
func (a *readAhead) take(p []byte) (n int, ok bool, err error) {
	if len(a.buffered) == 0 {
		return 0, a.err != nil, a.err
	}
	n = copy(p, a.buffered)
	a.buffered = a.buffered[n:]
	if len(a.buffered) == 0 {
		a.buffered = nil
	}
	return n, true, nil
}
