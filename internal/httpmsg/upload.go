package httpmsg

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// errRequestEnded means that no more of a body is read because its request has ended.
var errRequestEnded = errors.New("the client's request has ended")

// Upload reads a body from a client as long as the upload makes progress. Only one goroutine may read it at a time.
//
// The body must arrive at MinUploadRate or faster, measured over the time for which reads have waited for the client, with
// UploadStallTimeout as a head start. It must never pause for longer than UploadStallTimeout. This guards against clients that occupy
// connections and memory by sending a byte now and then. The time between two reads does not count: the agent may have to wait for an
// endpoint then, while the client's bytes wait for the agent.
//
// The time of a request counts from its last byte, which its client may have written long before the agent reads it, when an endpoint takes the
// body slowly: see Elapsed.
type Upload struct {
	Source          io.Reader
	SetReadDeadline func(time.Time) error // of the client's connection
	Length          int64                 // of the body; negative if unknown
	ArrivedAt       time.Time             // when the latest bytes arrived before the first read

	received atomic.Int64 // bytes
	progress clientProgress

	waited  time.Duration // for which reads have waited for the client
	stopped atomic.Bool   // stop has interrupted the reading at least once; resume does not reset it

	mu          sync.Mutex // guards the fields below and the order of calls to SetReadDeadline
	complete    bool       // the end has been read
	interrupted bool       // reads fail until resume
}

// Read reads from the client, with the deadline that follows from the upload's rate and pauses. It returns ErrBodyTooLarge once
// more than MaxBodyBytes have arrived. At the end it clears the deadline, because the next read of the connection is for another
// request.
func (u *Upload) Read(p []byte) (int, error) {
	began := time.Now()
	if err := u.setDeadline(u.nextDeadline(began)); err != nil {
		return 0, err
	}
	u.progress.beginRead(began)
	n, err := u.Source.Read(p)
	waited := time.Since(began)
	u.waited += waited
	u.noteRead(n, began.Add(waited))
	if u.received.Load() > MaxBodyBytes {
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF {
		if clearErr := u.markComplete(); clearErr != nil {
			return n, clearErr
		}
	}
	return n, err
}

// nextDeadline returns the time by which more bytes must arrive for a read that begins now.
func (u *Upload) nextDeadline(now time.Time) time.Time {
	byRate := UploadStallTimeout + time.Duration(u.received.Load())*time.Second/MinUploadRate - u.waited
	return now.Add(min(byRate, UploadStallTimeout))
}

// setDeadline sets the deadline of the next read. It fails if reading has been interrupted, because the new deadline would overwrite
// the one that interrupts the read.
func (u *Upload) setDeadline(deadline time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.interrupted {
		return errRequestEnded
	}
	if err := u.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("setting the read deadline: %w", err)
	}
	return nil
}

// markComplete records that the end has been read and clears the deadline.
func (u *Upload) markComplete() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = true
	if err := u.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clearing the read deadline: %w", err)
	}
	return nil
}

// Complete reports whether the end has been read. It does not wait for a read in progress.
func (u *Upload) Complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete
}

// stop interrupts a read in progress and prevents further reads until resume. It has no effect once the end has been read.
func (u *Upload) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete {
		return
	}
	u.stopped.Store(true) // set before the deadline, because an interrupted read checks it
	u.interrupted = true
	u.SetReadDeadline(time.Now()) // fails only if the connection is already closed
}

// resume allows reads again after stop.
func (u *Upload) resume() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.interrupted = false
}
