package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"ryeweir/internal/socket"
)

// deadlineReader reads from a connection. It alone sets the connection's read deadline, from a function whose result may change while a read is in
// progress. Whoever changes what the result depends on must call refresh.
type deadlineReader struct {
	conn    net.Conn
	anyRead bool  // some bytes have been read in this exchange
	failed  error // of the first read that failed in this exchange

	mu         sync.Mutex // guards the fields below and the order of calls to SetReadDeadline
	inResponse bool       // part of a response has been read, and not all of it
	began      time.Time  // when the latest read began; the zero time while a response is awaited
	deadline   func(readBegan time.Time) time.Time
	expired    func()    // called when a read has reached its deadline; what it changes may postpone the deadline
	applied    time.Time // deadline that is set on the connection
}

// deadlineSlack is the remaining time below which a connection's deadline is renewed. Setting a deadline has a cost, while one that
// is earlier than required only costs another iteration of the loop in Read.
const deadlineSlack = 100 * time.Millisecond

// start resets the reader for one exchange.
func (r *deadlineReader) start(deadline func(readBegan time.Time) time.Time, expired func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.anyRead, r.failed, r.inResponse, r.began, r.deadline, r.expired = false, nil, false, time.Time{}, deadline, expired
}

// responseBegun reports whether part of a response has arrived: it has been read, or it waits to be read.
func (r *deadlineReader) responseBegun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inResponse || socket.InputArrived(r.conn)
}

// awaitResponse records that a response has been read to its end and that the next one is awaited. begun says that part of that one has been read.
func (r *deadlineReader) awaitResponse(begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inResponse = begun
}

// Read implements io.Reader. A pause of the endpoint is measured from the start of the read: between two reads the endpoint may have to
// wait for the agent, which does not read on until the client has taken what is buffered.
//
// After a failure all reads fail. bufio.Reader.ReadLine returns the beginning of a line without the error that cut it off, so that the parser of a
// head reads on.
func (r *deadlineReader) Read(p []byte) (n int, err error) {
	if r.failed != nil {
		return 0, r.failed
	}
	if n, err = r.read(p); err != nil {
		r.failed = err
	}
	return n, err
}

// read reads once, until the deadline that is in force at the end. What has arrived by then is read.
func (r *deadlineReader) read(p []byte) (int, error) {
	r.beginRead()
	for {
		if err := r.refresh(); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && n == 0 {
			r.expired()
			if r.postponed() {
				continue
			}
			n, err = r.readArrived(p, err)
		}
		if n > 0 {
			r.noteBytes()
		}
		return n, err
	}
}

// readArrived reads what has arrived although the deadline has passed. It returns the error of the deadline if there is nothing.
//
// Failure: a process is held up, and the deadline passes before it runs again. A read then fails without looking at what has arrived in time.
func (r *deadlineReader) readArrived(p []byte, deadlineErr error) (int, error) {
	if !socket.InputArrived(r.conn) {
		return 0, deadlineErr
	}
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

// beginRead records that a read begins.
func (r *deadlineReader) beginRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = time.Time{}
	if r.inResponse {
		r.began = time.Now()
	}
}

// noteBytes records that a read has returned bytes.
func (r *deadlineReader) noteBytes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.anyRead, r.inResponse = true, true
}

// refresh sets the connection's deadline if the one in force is too late, or if less than deadlineSlack of it remains. It also applies to a read in
// progress.
func (r *deadlineReader) refresh() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	deadline := r.deadline(r.began)
	if !r.applied.After(deadline) && time.Until(r.applied) >= deadlineSlack {
		return nil
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	r.applied = deadline
	return nil
}

// postponed reports whether the deadline that has passed on the connection is earlier than the one that the read has now.
func (r *deadlineReader) postponed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = time.Time{}
	return time.Now().Before(r.deadline(r.began))
}
