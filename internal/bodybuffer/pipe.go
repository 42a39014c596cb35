// Package bodybuffer carries bodies from a reader to a writer through buffers of bounded size, which all share one budget.
package bodybuffer

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Budget is the room for buffers that all exchanges share.
type Budget struct{ left atomic.Int64 }

// least is granted also when the budget is used up, so that nothing waits for buffers that others hold.
const least = 4 << 10

// NewBudget returns a budget of so many bytes.
func NewBudget(size int64) *Budget {
	b := &Budget{}
	b.left.Store(size)
	return b
}

// Reserve grants what is wanted as far as the rest reaches, but a little always. The grant goes back with Give.
func (b *Budget) Reserve(want int) (grant int) {
	for {
		left := b.left.Load()
		grant = min(want, max(least, int(left)))
		if b.left.CompareAndSwap(left, left-int64(grant)) {
			return grant
		}
	}
}

// Release gives back a grant.
func (b *Budget) Release(grant int) { b.left.Add(int64(grant)) }

// ErrClosed says that nobody reads from the pipe any more.
var ErrClosed = errors.New("the pipe is closed")

// Pipe is a buffer between one goroutine that fills it and one that empties it. Each waits for the other.
type Pipe struct {
	budget *Budget
	buf    []byte

	mu          sync.Mutex
	changed     *sync.Cond
	start, held int   // where in buf the content begins, and how much it is
	end         error // why no more comes; io.EOF when all has come
	closed      bool
}

// NewPipe returns a pipe that holds as much as wanted, or less where the budget does not reach. It must be closed.
func NewPipe(b *Budget, want int) *Pipe {
	p := &Pipe{budget: b, buf: make([]byte, b.Reserve(max(want, 1)))}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// Size is how many bytes it can hold.
func (p *Pipe) Size() int { return len(p.buf) }

// Fill reads all of r into the pipe. When it first has to wait for room it calls full, and after each piece that has come added;
// both may be nil. The error says why all has not come; the other side gets it behind what has.
func (p *Pipe) Fill(r io.Reader, full, added func()) error {
	for {
		free, err := p.room(full)
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		p.add(n, err)
		if n > 0 && added != nil {
			added()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// room waits for room and returns a piece of it.
func (p *Pipe) room(full func()) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held == len(p.buf) && !p.closed {
		if full != nil {
			p.mu.Unlock()
			full()
			full = nil
			p.mu.Lock()
			continue
		}
		p.changed.Wait()
	}
	if p.closed {
		return nil, ErrClosed
	}
	from := (p.start + p.held) % len(p.buf)
	return p.buf[from:min(len(p.buf), from+len(p.buf)-p.held)], nil
}

func (p *Pipe) add(n int, end error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.end = p.held+n, end
	p.changed.Broadcast()
}

// WriteTo writes what comes through the pipe until all has come. It implements io.WriterTo.
func (p *Pipe) WriteTo(w io.Writer) (written int64, err error) {
	for {
		piece, err := p.next()
		if len(piece) == 0 {
			return written, err
		}
		n, err := w.Write(piece)
		written += int64(n)
		p.remove(n)
		if err != nil {
			return written, err
		}
	}
}

// next waits for content and returns a piece of it, or none and the reason.
func (p *Pipe) next() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held == 0 && p.end == nil && !p.closed {
		p.changed.Wait()
	}
	switch {
	case p.closed:
		return nil, ErrClosed
	case p.held > 0:
		return p.buf[p.start:min(len(p.buf), p.start+p.held)], nil
	case p.end == io.EOF:
		return nil, nil
	}
	return nil, p.end
}

func (p *Pipe) remove(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start, p.held = (p.start+n)%len(p.buf), p.held-n
	p.changed.Broadcast()
}

// Complete reports whether all has come, and how much of it is in the pipe.
func (p *Pipe) Complete() (length int, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, p.end == io.EOF
}

// Close ends both sides and gives the buffer back. It may be called more than once, and by anybody.
func (p *Pipe) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.budget.Release(len(p.buf))
		p.changed.Broadcast()
	}
}
