package connlimit

import (
	"errors"
	"io"
	"net"
	"time"

	"ryeweir/internal/framing"
)

// maxReadAhead is how many bytes are kept that a client sends after its request in flight.
const maxReadAhead = 4 << 10

// discardTurnBytes is how much of what follows maxReadAhead is discarded in one turn, in bytes. A turn keeps a client that goes on sending from
// taking the processor; the rate of all turns is well over what a client that has left can have in its kernel's buffer.
const discardTurnBytes = 64 << 10

// readAhead holds the bytes that a client sent after its request in flight: the next request, or an empty line.
//
// It makes a client disconnect visible behind such bytes. net/http's background read ends at the first of them, so the disconnect
// would not be detected, and attempts would be sent for a client that is gone. The end of a connection arrives behind all bytes that were sent
// before it; what does not fit is therefore discarded, and the connection is closed after the answer (overrun).
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
	overrun             bool  // bytes were discarded, so nothing that follows the request can be read
}

// startReadAhead starts a goroutine that reads ahead until a read fails or stopReadAhead is called. The lock must be held.
func (c *Conn) startReadAhead() {
	ahead := &c.readAhead
	if ahead.done != nil || ahead.err != nil {
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
	if err == nil || errors.Is(err, framing.ErrHeadRefused) {
		c.keepReadAhead(nil, nil, true)
		read, err = 0, c.discardInput()
	}
	disconnected := err != nil && !timedOut(err) // a timeout means that stopReadAhead interrupted the read
	notify := c.keepReadAhead(buffer[:read], err, false)
	if notify != nil && disconnected {
		notify()
	}
}

// keepReadAhead stores what was read ahead, and returns the function to call if the client has disconnected: that of the current request, which
// may have begun after the goroutine was started.
func (c *Conn) keepReadAhead(read []byte, err error, overrun bool) (notify func()) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	ahead := &c.readAhead
	if ahead.overrun = ahead.overrun || overrun; ahead.overrun {
		ahead.buffered = nil
	} else {
		ahead.buffered = append(ahead.buffered, read...)
	}
	ahead.err = err
	if err != nil && !timedOut(err) {
		c.recordReadError(err)
	}
	return ahead.onDisconnect
}

// discardInput reads and discards until a read fails, in turns with other connections. It reads below framing, to which these bytes mean
// nothing.
func (c *Conn) discardInput() error {
	source := c.belowFraming()
	scratch := make([]byte, maxReadAhead)
	for discarded := 0; ; {
		n, err := source.Read(scratch)
		if err != nil {
			return err
		}
		if discarded += n; discarded >= discardTurnBytes {
			discarded = 0
			c.awaitDiscardTurn()
		}
	}
}

// belowFraming returns the connection that framing watches, for bytes that are discarded. Unlike framing's, its Read may run beside another one
// that is about to end.
func (c *Conn) belowFraming() net.Conn {
	if watched, ok := c.Conn.(*framing.Conn); ok {
		return watched.NetConn()
	}
	return c.Conn
}

// awaitDiscardTurn waits for the next turn of a connection whose input is discarded.
func (c *Conn) awaitDiscardTurn() {
	c.listener.mu.Lock()
	delay := c.listener.discards.take(time.Now(), discardTurnRate)
	c.listener.mu.Unlock()
	time.Sleep(delay)
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
	if ahead.overrun && ahead.err == nil {
		ahead.err = io.EOF // to the server, the connection ends behind the request
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
