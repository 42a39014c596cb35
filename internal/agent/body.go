package agent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ryeweir/internal/flow"
)

const (
	maxBody     = 32 << 20 // the longest body of a message
	heldBody    = 64 << 10 // what is held of one; a body up to this is held whole, and can be sent again
	bodyStall   = 2200 * time.Millisecond
	slowestBody = 8 << 10 // bytes a second, from when the head was read; slower ones are given up
)

var errTooLong = errors.New("the body is over 32 MiB")

// errNotWhole is a request that never came whole, so that it was never taken.
var errNotWhole = badRequest{http.StatusBadRequest, "the body is not whole"}

// inflow reads a body from a client for as long as that makes progress.
type inflow struct {
	from  io.Reader
	limit func(time.Time) error // sets the time by which something must come
	began time.Time
	n     int64
}

func (in *inflow) Read(p []byte) (int, error) {
	now := time.Now()
	slowest := in.began.Add(bodyStall + time.Duration(in.n)*time.Second/slowestBody)
	if stall := now.Add(bodyStall); stall.Before(slowest) {
		slowest = stall
	}
	if err := in.limit(slowest); err != nil {
		return 0, fmt.Errorf("setting the read deadline: %w", err)
	}
	n, err := in.from.Read(p)
	if in.n += int64(n); in.n > maxBody {
		return 0, errTooLong
	}
	if err == io.EOF { // no read of the connection is late any more
		if err := in.limit(time.Time{}); err != nil {
			return n, fmt.Errorf("clearing the read deadline: %w", err)
		}
	}
	return n, err
}

// body is a request's body: what is held of it and, where that is not all, what still comes from the client.
type body struct {
	held   []byte
	length int64 // of all; -1 when not known
	rest   *rest // nil when all is held
}

// rest is the part of a body that is not held. It can be read once.
type rest struct {
	from  io.Reader
	ended func() // called when all has been read

	mu     sync.Mutex
	spent  bool  // some of it has been read
	err    error // why no more can be had; io.EOF at the end
	closed bool
}

var errRestClosed = errors.New("the client's request is over")

func (r *rest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return 0, errRestClosed
	}
	if r.err != nil {
		return 0, r.err
	}
	r.spent = true
	n, err := r.from.Read(p)
	if r.err = err; err == io.EOF {
		r.ended()
	}
	return n, err
}

// state says whether some has been read, and what went wrong with the reading.
func (r *rest) state() (spent bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != io.EOF {
		err = r.err
	}
	return r.spent, err
}

// close lets no attempt read any more, also none that is late to notice. It waits for a read that is under way.
func (r *rest) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// reader is the whole body, for one attempt.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.held)
	}
	return io.MultiReader(bytes.NewReader(b.held), b.rest)
}

// spent reports whether the body can't be sent from its beginning any more.
func (b *body) spent() bool {
	if b.rest == nil {
		return false
	}
	spent, _ := b.rest.state()
	return spent
}

// broken is what went wrong on the client's side.
func (b *body) broken() error {
	if b.rest == nil {
		return nil
	}
	_, err := b.rest.state()
	return err
}

// receive reads of a body what is held. Room for it is taken from the budget and given back by release.
func receive(r *http.Request, in *inflow, budget *flow.Budget) (b body, release func(), err error) {
	b.length = r.ContentLength
	if b.length == 0 {
		return b, func() {}, nil
	}
	want := heldBody
	if b.length > 0 {
		want = int(min(b.length, heldBody))
	}
	grant := budget.Take(want)
	release = func() { budget.Give(grant) }
	var held bytes.Buffer
	if b.length > 0 {
		held.Grow(grant)
	}
	n, err := io.CopyN(&held, in, int64(grant))
	b.held = held.Bytes()
	switch {
	case err == io.EOF && b.length < 0, err == nil && n == b.length:
		b.length = n
	case err == nil:
		b.rest = &rest{from: in}
	default:
		release()
		return b, nil, brokenBody(err)
	}
	return b, release, nil
}

// brokenBody is what a client is told of a body that could not be read.
func brokenBody(err error) badRequest {
	if errors.Is(err, errTooLong) {
		return badRequest{http.StatusRequestEntityTooLarge, err.Error()}
	}
	return errNotWhole
}
