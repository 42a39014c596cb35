package httpmsg

import (
	"io"
	"sync"

	"ryeweir/internal/bodybuffer"
)

// Remainder is the part of a body that is not buffered. It can be read only once. Its methods are safe for concurrent use. The
// exported fields must be set before the first Read.
type Remainder struct {
	Upload     *Upload
	Budget     *bodybuffer.Budget // for ReadAhead, which does nothing without it
	BeforeRead func()             // called before each read of the upload; may be nil
	OnComplete func() error       // called once, by the goroutine that reads the end, whose read fails with the error

	reading sync.Mutex // held while the upload is read; locked before mu

	mu       sync.Mutex // guards the fields below
	ahead    readAhead
	consumed bool  // an attempt has read part of it
	err      error // why no more can be read of the upload; io.EOF at the end
	closed   bool
}

// Read reads what was read ahead, and then from the client. After Stop or Close it returns an error that is not the client's fault and that Err
// does not report.
func (r *Remainder) Read(p []byte) (int, error) {
	if n, err, ok := r.take(p); ok {
		return n, err
	}
	r.reading.Lock()
	defer r.reading.Unlock()
	if n, err, ok := r.take(p); ok { // it was read ahead meanwhile
		return n, err
	}
	return r.readUpload(p, false)
}

// take returns what was read ahead or, behind that, the error that ended the upload. ok is false if the upload has to be read.
func (r *Remainder) take(p []byte) (n int, err error, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.Stopped() {
		return 0, errRequestEnded, true
	}
	r.consumed = true
	if n = r.ahead.take(p, r.Budget); n > 0 {
		return n, nil, true
	}
	return 0, r.err, r.err != nil
}

// readUpload reads from the client, for an attempt or ahead of it. The lock reading must be held.
func (r *Remainder) readUpload(p []byte, ahead bool) (int, error) {
	r.prepare()
	n, err := r.Upload.Read(p)
	if err != nil && err != io.EOF && r.Stopped() {
		err = errRequestEnded
	}
	if err == io.EOF {
		if invalid := r.OnComplete(); invalid != nil {
			n, err = 0, invalid
		}
	}
	r.record(p[:n], err, ahead)
	return n, err
}

// record stores the result of a read: its bytes, if it was ahead of the attempt, together with the error that follows them. What Stop has interrupted
// can be read on, by Drain.
func (r *Remainder) record(p []byte, err error, ahead bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ahead {
		r.keep(p)
	}
	if err != errRequestEnded {
		r.err = err
	}
}

// prepare calls BeforeRead.
func (r *Remainder) prepare() {
	if r.BeforeRead != nil {
		r.BeforeRead()
	}
}

// Consumed reports whether part of the remainder has been read by an attempt, so that the body can no longer be sent from its beginning.
func (r *Remainder) Consumed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.consumed
}

// Complete reports whether the remainder has been read to its end.
func (r *Remainder) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == io.EOF
}

// Err returns the error on the client's side, or nil if there is none: the client aborted the upload, was too slow or sent too
// much.
func (r *Remainder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == io.EOF {
		return nil
	}
	return r.err
}

// Stop ends the reading of the remainder, including a read in progress, because the endpoint has answered and needs no more of it.
//
// Stop has no effect once the end has been read. From then on net/http reads the connection in the background, and would take the
// deadline that Stop sets for a client that has disconnected; the answer would be lost.
func (r *Remainder) Stop() { r.Upload.stop() }

// Stopped reports whether Stop ended the reading.
func (r *Remainder) Stopped() bool { return r.Upload.stopped.Load() }

// Close prevents further reads, for attempts that notice late that their request has ended. It waits for a read in progress.
func (r *Remainder) Close() {
	r.reading.Lock()
	defer r.reading.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.ahead.discard(r.Budget)
}

// Discard frees what was read ahead and not taken. The request has ended then, and nothing is read any more.
func (r *Remainder) Discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.ahead.discard(r.Budget)
}

// Drain closes the remainder and discards what the client still sends, as long as the upload makes progress. Without it a client
// that sends its whole body before it reads would find its connection closed instead of the answer.
func (r *Remainder) Drain() {
	r.Close()
	r.prepare()
	r.Upload.resume()
	io.Copy(io.Discard, r.Upload)
}
