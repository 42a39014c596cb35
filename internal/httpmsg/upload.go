package httpmsg

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// ErrBodyTooLarge says that a body is longer than MaxBodyBytes. Its text is sent to the client.
var ErrBodyTooLarge = errors.New("the body is over 32 MiB")

// errRequestOver says that nothing more is read of a body, as its request is over.
var errRequestOver = errors.New("the client's request is over")

// Upload reads a body from a client for as long as it makes progress.
//
// Rule: the body must come in at MinUploadRate or faster, with a head start of UploadStallTimeout, and never pause for longer than
// that.
// Inputs: the time at which its head had been read, and the bytes since.
// Guards against: clients that hold connections and memory by sending a byte now and then.
type Upload struct {
	Source          io.Reader
	SetReadDeadline func(time.Time) error // of the client's connection
	StartedAt       time.Time             // when the head had been read

	received int64       // bytes
	stopped  atomic.Bool // stop ended the reading, at least once

	mu          sync.Mutex // guards what follows, and the order of calls to SetReadDeadline
	complete    bool       // the end has been read
	interrupted bool       // no read may wait any more
}

// Read reads from the client, until a deadline that follows from the rule. It fails with ErrBodyTooLarge past MaxBodyBytes. At the
// end it clears the deadline: the next read of the connection is for another request.
func (u *Upload) Read(p []byte) (int, error) {
	if err := u.setDeadline(u.nextDeadline(time.Now())); err != nil {
		return 0, err
	}
	n, err := u.Source.Read(p)
	u.received += int64(n)
	if u.received > MaxBodyBytes {
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF {
		if clearErr := u.end(); clearErr != nil {
			return n, clearErr
		}
	}
	return n, err
}

// nextDeadline returns the time by which the next bytes must come.
func (u *Upload) nextDeadline(now time.Time) time.Time {
	byRate := u.StartedAt.Add(UploadStallTimeout + time.Duration(u.received)*time.Second/MinUploadRate)
	byStall := now.Add(UploadStallTimeout)
	if byStall.Before(byRate) {
		return byStall
	}
	return byRate
}

// setDeadline sets the deadline of the next read, unless reading was interrupted: it would undo the deadline that did so.
func (u *Upload) setDeadline(deadline time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.interrupted {
		return errRequestOver
	}
	if err := u.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("setting the read deadline: %w", err)
	}
	return nil
}

// end notes that the end has been read, and clears the deadline.
func (u *Upload) end() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = true
	if err := u.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clearing the read deadline: %w", err)
	}
	return nil
}

// stop ends a read that waits, and lets none begin until resume. It does nothing when the end has been read.
func (u *Upload) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete {
		return
	}
	u.stopped.Store(true) // first: a read that is interrupted asks for it
	u.interrupted = true
	u.SetReadDeadline(time.Now()) // fails only where there is no connection any more
}

// resume lets reads begin again after stop.
func (u *Upload) resume() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.interrupted = false
}
