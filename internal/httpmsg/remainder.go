package httpmsg

import (
	"io"
	"sync"
)

// Remainder is the part of a body that is not buffered. It can be read only once. Its methods are safe for concurrent use. The
// exported fields must be set before the first Read.
type Remainder struct {
	Upload     *Upload
	BeforeRead func() // called before each read of the upload; may be nil
	OnComplete func() // called once, by the goroutine that reads the end

	mu       sync.Mutex // also held during a read
	consumed bool       // part of it has been read
	err      error      // why no more can be read; io.EOF at the end
	closed   bool
}

// Read reads from the client. After Stop or Close it returns an error that is not the client's fault and that Err does not report.
func (r *Remainder) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.Stopped() {
		return 0, errRequestEnded
	}
	if r.err != nil {
		return 0, r.err
	}
	r.consumed = true
	r.prepare()
	n, err := r.Upload.Read(p)
	if err != nil && err != io.EOF && r.Stopped() {
		return n, errRequestEnded
	}
	r.err = err
	if err == io.EOF {
		r.OnComplete()
	}
	return n, err
}

// prepare calls BeforeRead.
func (r *Remainder) prepare() {
	if r.BeforeRead != nil {
		r.BeforeRead()
	}
}

// Consumed reports whether part of the remainder has been read, so that the body can no longer be sent from its beginning.
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Drain closes the remainder and discards what the client still sends, as long as the upload makes progress. Without it a client
// that sends its whole body before it reads would find its connection closed instead of the answer.
func (r *Remainder) Drain() {
	r.Close()
	r.prepare()
	r.Upload.resume()
	io.Copy(io.Discard, r.Upload)
}
