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

// Stall is how long a body may pause, whatever its pace.
const Stall = 2200 * time.Millisecond

// ErrTooLong is a body over MaxBody.
var ErrTooLong = errors.New("the body is over 32 MiB")

// Inflow reads a body from a client for as long as that makes progress.
type Inflow struct {
	From  io.Reader
	Limit func(time.Time) error // sets the time by which something must come
	Began time.Time             // when its head had come

	n int64

	mu          sync.Mutex // of what follows, and of setting the limit
	whole       bool       // the end has been read
	interrupted bool       // no read waits any more
}

func (in *Inflow) Read(p []byte) (int, error) {
	now := time.Now()
	slowest := in.Began.Add(Stall + time.Duration(in.n)*time.Second/SlowestBody)
	if stall := now.Add(Stall); stall.Before(slowest) {
		slowest = stall
	}
	if err := in.limit(slowest); err != nil {
		return 0, err
	}
	n, err := in.From.Read(p)
	if in.n += int64(n); in.n > MaxBody {
		return 0, ErrTooLong
	}
	if err == io.EOF { // no read of the connection is late any more
		in.mu.Lock()
		defer in.mu.Unlock()
		in.whole = true
		if err := in.Limit(time.Time{}); err != nil {
			return n, fmt.Errorf("clearing the read deadline: %w", err)
		}
	}
	return n, err
}

func (in *Inflow) limit(t time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.interrupted { // this would undo the deadline that ends it
		return errRestClosed
	}
	if err := in.Limit(t); err != nil {
		return fmt.Errorf("setting the read deadline: %w", err)
	}
	return nil
}

// Body is a request's body: what is held of it and, where that is not all, what still comes from the client.
type Body struct {
	Held   []byte
	Length int64 // of all; -1 when not known
	Rest   *Rest // nil when all is held
}

// Rest is the part of a body that is not held. It can be read once.
type Rest struct {
	From  *Inflow
	Ended func() // called when all has been read

	stopped atomic.Bool // the server has answered before it had all
	mu      sync.Mutex
	spent   bool  // some of it has been read
	err     error // why no more can be had; io.EOF at the end
	closed  bool
}

var errRestClosed = errors.New("the client's request is over")

func (r *Rest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.stopped.Load() {
		return 0, errRestClosed
	}
	if r.err != nil {
		return 0, r.err
	}
	r.spent = true
	n, err := r.From.Read(p)
	if err != nil && err != io.EOF && r.stopped.Load() {
		return n, errRestClosed // the client did nothing wrong
	}
	if r.err = err; err == io.EOF {
		r.Ended()
	}
	return n, err
}

// State says whether some has been read, and what went wrong with the reading.
func (r *Rest) State() (spent bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != io.EOF {
		err = r.err
	}
	return r.spent, err
}

// Stop ends the reading, also a read that waits: the server wants no more. Where all has been read it does nothing: net/http reads
// on in the background from then on, and takes a deadline there for a client that has left.
func (r *Rest) Stop() {
	r.From.mu.Lock()
	defer r.From.mu.Unlock()
	if r.From.whole {
		return
	}
	r.stopped.Store(true)
	r.From.interrupted = true
	r.From.Limit(time.Now()) // fails only where there is no connection any more
}

// Drain passes over what is left, for as long as the client sends it: one that sends all before it reads would not find its
// answer on a connection that was closed under it.
func (r *Rest) Drain() {
	r.Close()
	r.From.mu.Lock()
	r.From.interrupted = false
	r.From.mu.Unlock()
	io.Copy(io.Discard, r.From)
}

// Stopped reports whether Stop was called.
func (r *Rest) Stopped() bool { return r.stopped.Load() }

// Whole reports whether all has been read.
func (r *Rest) Whole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == io.EOF
}

// Close lets no attempt read any more, also none that is late to notice. It waits for a read that is under way.
func (r *Rest) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Reader is the whole body, for one attempt.
func (b *Body) Reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Held)
	}
	return io.MultiReader(bytes.NewReader(b.Held), b.Rest)
}

// Spent reports whether the body can't be sent from its beginning any more.
func (b *Body) Spent() bool {
	if b.Rest == nil {
		return false
	}
	spent, _ := b.Rest.State()
	return spent
}

// Broken is what went wrong on the client's side.
func (b *Body) Broken() error {
	if b.Rest == nil {
		return nil
	}
	_, err := b.Rest.State()
	return err
}

// Receive reads of a body what is held. Room for it is taken from the budget and given back by release.
func Receive(r *http.Request, in *Inflow, budget *bodybuffer.Budget) (b Body, release func(), err error) {
	b.Length = r.ContentLength
	if b.Length == 0 {
		return b, func() {}, nil
	}
	want := HeldBody
	if b.Length > 0 {
		want = int(min(b.Length, HeldBody))
	}
	grant := budget.Take(want)
	release = func() { budget.Give(grant) }
	var held bytes.Buffer
	if b.Length > 0 {
		held.Grow(grant)
	}
	n, err := io.CopyN(&held, in, int64(grant))
	b.Held = held.Bytes()
	switch {
	case err == io.EOF && b.Length < 0, err == nil && n == b.Length:
		b.Length = n
	case err == nil:
		b.Rest = &Rest{From: in}
	default:
		release()
		return b, nil, err
	}
	return b, release, nil
}
