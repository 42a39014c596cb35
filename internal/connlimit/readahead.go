package connlimit

// maxReadAhead is how many bytes are read ahead on a connection. A client that sends more after its request, and disconnects
// then, is noticed only when the answer is written.
const maxReadAhead = 16 << 10

// readAhead holds what a client sent after its request in flight: the next request, or an empty line.
//
// Guards against: a client that disconnects after such bytes. net/http's background read ends at the first of them, so that the
// disconnect would go unnoticed, and attempts would be sent for a client that has disconnected.
//
// The reading goroutine and the server take turns: Conn.Read stops the goroutine, and waits for its end, before it reads. So bytes
// stay in order and none is lost. The Listener's lock guards the fields.
type readAhead struct {
	onDisconnect        func()        // called when the client disconnects; nil while no request in flight watches for it
	serverReading       bool          // the server is in Conn.Read
	backgroundReadEnded bool          // the server's latest read was its background read, and brought a byte: it reads no further
	done                chan struct{} // closed when the goroutine has ended; nil without one
	buffered            []byte
	err                 error // ends the bytes that are buffered
}

// startReadAhead reads ahead in a goroutine until the bound, an error, or stopReadAhead. The lock must be held.
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
	disconnected := err != nil && !timedOut(err) // a timeout is stopReadAhead's interrupt
	if disconnected {
		c.recordReadError(err)
	}
	notify := ahead.onDisconnect // of the present request, which may have begun after the goroutine
	c.listener.mu.Unlock()
	if notify != nil && disconnected {
		notify()
	}
}

// stopReadAhead ends the goroutine, if there is one. The lock must be held; it is released while waiting.
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

// take copies to p what was read ahead. When nothing is left it returns the error that ended the reading, if one did. It reports
// false when there is neither.
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
