package httpmsg

import (
	"io"
	"sync"
)

// Remainder is the part of a body that is not buffered. It can be read once. Its methods may be called by any goroutine; both
// exported fields must be set before the first Read.
type Remainder struct {
	Upload     *Upload
	OnComplete func() // called once, by the goroutine that reads the end

	mu       sync.Mutex // held during a read
	consumed bool       // some of it has been read
	err      error      // why no more can be read; io.EOF at the end
	closed   bool
}

// Read reads on from the client. After Stop or Close it fails with an error that is not the client's fault: Err does not report it.
func (r *Remainder) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.Stopped() {
		return 0, errRequestOver
	}
	if r.err != nil {
		return 0, r.err
	}
	r.consumed = true
	n, err := r.Upload.Read(p)
	if err != nil && err != io.EOF && r.Stopped() {
		return n, errRequestOver
	}
	r.err = err
	if err == io.EOF {
		r.OnComplete()
	}
	return n, err
}

// Consumed reports whether some of it has been read, so that it can't be sent from its beginning any more.
func (r *Remainder) Consumed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.consumed
}

// Complete reports whether all of it has been read.
func (r *Remainder) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == io.EOF
}

// Err returns what went wrong on the client's side: it broke off, was too slow, or sent too much. It is nil otherwise.
func (r *Remainder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == io.EOF {
		return nil
	}
	return r.err
}

// Stop ends the reading, also a read that waits: the endpoint has answered and wants no more.
//
// Guard: where all has been read it does nothing. net/http reads the connection in the background from then on, and would take the
// deadline for a client that has disconnected: the answer would be lost.
func (r *Remainder) Stop() { r.Upload.stop() }

// Stopped reports whether Stop ended the reading.
func (r *Remainder) Stopped() bool { return r.Upload.stopped.Load() }

// Close lets no attempt read any more, however late it notices that its request is over. It waits for a read that is under way.
func (r *Remainder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Drain closes the remainder and discards what the client still sends, for as long as that makes progress. A client that sends its
// whole body before it reads would otherwise find its connection closed, and not the answer.
func (r *Remainder) Drain() {
	r.Close()
	r.Upload.resume()
	io.Copy(io.Discard, r.Upload)
}
