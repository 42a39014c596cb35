package httpmsg

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/bodybuffer"
)

// UploadStallTimeout is how long a body may pause, whatever its pace.
const UploadStallTimeout = 2200 * time.Millisecond

// ErrBodyTooLarge is a body over MaxBody.
var ErrBodyTooLarge = errors.New("the body is over 32 MiB")

// Upload reads a body from a client for as long as that makes progress.
type Upload struct {
	Source          io.Reader
	SetReadDeadline func(time.Time) error // sets the time by which something must come
	StartedAt       time.Time             // when its head had come

	n int64

	mu          sync.Mutex // of what follows, and of setting the limit
	whole       bool       // the end has been read
	interrupted bool       // no read waits any more
}

// Read implements io.Reader.
func (in *Upload) Read(p []byte) (int, error) {
	now := time.Now()
	slowest := in.StartedAt.Add(UploadStallTimeout + time.Duration(in.n)*time.Second/MinUploadRate)
	if stall := now.Add(UploadStallTimeout); stall.Before(slowest) {
		slowest = stall
	}
	if err := in.limit(slowest); err != nil {
		return 0, err
	}
	n, err := in.Source.Read(p)
	if in.n += int64(n); in.n > MaxBodyBytes {
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF { // no read of the connection is late any more
		in.mu.Lock()
		defer in.mu.Unlock()
		in.whole = true
		if err := in.SetReadDeadline(time.Time{}); err != nil {
			return n, fmt.Errorf("clearing the read deadline: %w", err)
		}
	}
	return n, err
}

func (in *Upload) limit(t time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.interrupted { // this would undo the deadline that ends it
		return errRestClosed
	}
	if err := in.SetReadDeadline(t); err != nil {
		return fmt.Errorf("setting the read deadline: %w", err)
	}
	return nil
}

// Body is a request's body: what is held of it and, where that is not all, what still comes from the client.
type Body struct {
	Buffered  []byte
	Length    int64      // of all; -1 when not known
	Remainder *Remainder // nil when all is held
}

// Remainder is the part of a body that is not held. It can be read once.
type Remainder struct {
	Upload     *Upload
	OnComplete func() // called when all has been read

	stopped atomic.Bool // the server has answered before it had all
	mu      sync.Mutex
	spent   bool  // some of it has been read
	err     error // why no more can be had; io.EOF at the end
	closed  bool
}

var errRestClosed = errors.New("the client's request is over")

// Read implements io.Reader.
func (r *Remainder) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.stopped.Load() {
		return 0, errRestClosed
	}
	if r.err != nil {
		return 0, r.err
	}
	r.spent = true
	n, err := r.Upload.Read(p)
	if err != nil && err != io.EOF && r.stopped.Load() {
		return n, errRestClosed // the client did nothing wrong
	}
	if r.err = err; err == io.EOF {
		r.OnComplete()
	}
	return n, err
}

// Consumed reports whether some of it has been read: it can't be sent from its beginning any more.
func (r *Remainder) Consumed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spent
}

// Err returns what went wrong on the client's side; nil at the body's end.
func (r *Remainder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == io.EOF {
		return nil
	}
	return r.err
}

// Stop ends the reading, also a read that waits: the server wants no more. Where all has been read it does nothing: net/http reads
// on in the background from then on, and takes a deadline there for a client that has left.
func (r *Remainder) Stop() {
	r.Upload.mu.Lock()
	defer r.Upload.mu.Unlock()
	if r.Upload.whole {
		return
	}
	r.stopped.Store(true)
	r.Upload.interrupted = true
	r.Upload.SetReadDeadline(time.Now()) // fails only where there is no connection any more
}

// Drain passes over what is left, for as long as the client sends it: one that sends all before it reads would not find its
// answer on a connection that was closed under it.
func (r *Remainder) Drain() {
	r.Close()
	r.Upload.mu.Lock()
	r.Upload.interrupted = false
	r.Upload.mu.Unlock()
	io.Copy(io.Discard, r.Upload)
}

// Stopped reports whether Stop was called.
func (r *Remainder) Stopped() bool { return r.stopped.Load() }

// Complete reports whether all has been read.
func (r *Remainder) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == io.EOF
}

// Close lets no attempt read any more, also none that is late to notice. It waits for a read that is under way.
func (r *Remainder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Reader is the whole body, for one attempt.
func (b *Body) Reader() io.Reader {
	if b.Remainder == nil {
		return bytes.NewReader(b.Buffered)
	}
	return io.MultiReader(bytes.NewReader(b.Buffered), b.Remainder)
}

// Consumed reports whether the body can't be sent from its beginning any more.
func (b *Body) Consumed() bool {
	if b.Remainder == nil {
		return false
	}
	return b.Remainder.Consumed()
}

// Err is what went wrong on the client's side.
func (b *Body) Err() error {
	if b.Remainder == nil {
		return nil
	}
	return b.Remainder.Err()
}

// ReceiveBody reads of a body what is held. Room for it is taken from the budget and given back by release.
func ReceiveBody(r *http.Request, in *Upload, budget *bodybuffer.Budget) (b Body, release func(), err error) {
	b.Length = r.ContentLength
	if b.Length == 0 {
		return b, func() {}, nil
	}
	want := MaxBufferedBytes
	if b.Length > 0 {
		want = int(min(b.Length, MaxBufferedBytes))
	}
	grant := budget.Reserve(want)
	release = func() { budget.Release(grant) }
	var held bytes.Buffer
	if b.Length > 0 {
		held.Grow(grant)
	}
	n, err := io.CopyN(&held, in, int64(grant))
	b.Buffered = held.Bytes()
	switch {
	case err == io.EOF && b.Length < 0, err == nil && n == b.Length:
		b.Length = n
	case err == nil:
		b.Remainder = &Remainder{Upload: in}
	default:
		release()
		return b, nil, err
	}
	return b, release, nil
}
