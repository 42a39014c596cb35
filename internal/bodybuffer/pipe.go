package bodybuffer

import (
	"errors"
	"io"
	"sync"
)

// ErrClosed says that the pipe was closed.
var ErrClosed = errors.New("the pipe is closed")

// Pipe is a ring buffer between one goroutine that fills it and one that empties it. Each waits for the other. Its other methods may
// be called by any goroutine.
type Pipe struct {
	budget *Budget
	buf    []byte

	mu       sync.Mutex
	changed  *sync.Cond
	start    int   // index in buf of the first byte that is buffered
	buffered int   // bytes, which may go on at the beginning of buf
	end      error // why no more comes; io.EOF when all has come
	closed   bool
}

// NewPipe returns a pipe that can hold as many bytes as wanted, or fewer where the budget does not reach. It must be closed.
func NewPipe(b *Budget, want int) *Pipe {
	p := &Pipe{budget: b, buf: make([]byte, b.Reserve(max(want, 1)))}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// Size returns how many bytes the pipe can hold.
func (p *Pipe) Size() int { return len(p.buf) }

// Fill reads r to its end into the pipe. It calls onFull once, before it first waits for free space, and onData after each piece
// that was read; both may be nil. The error says why not all has come: that of r, which WriteTo returns after what has come, or
// ErrClosed.
func (p *Pipe) Fill(r io.Reader, onFull, onData func()) error {
	for {
		free, err := p.awaitSpace(onFull)
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		p.add(n, err)
		if n > 0 && onData != nil {
			onData()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// awaitSpace waits for free space and returns a contiguous piece of it.
func (p *Pipe) awaitSpace(onFull func()) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffered == len(p.buf) && !p.closed {
		if onFull != nil {
			p.mu.Unlock()
			onFull()
			onFull = nil
			p.mu.Lock()
			continue
		}
		p.changed.Wait()
	}
	if p.closed {
		return nil, ErrClosed
	}
	from := (p.start + p.buffered) % len(p.buf)
	to := min(len(p.buf), from+len(p.buf)-p.buffered)
	return p.buf[from:to], nil
}

func (p *Pipe) add(n int, end error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buffered += n
	p.end = end
	p.changed.Broadcast()
}

// WriteTo writes what comes through the pipe to w until all has come. It implements io.WriterTo. The error is that of w, that of
// the reader that fills the pipe, or ErrClosed.
func (p *Pipe) WriteTo(w io.Writer) (written int64, err error) {
	for {
		piece, err := p.awaitContent()
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

// awaitContent waits for content and returns a contiguous piece of it. At the end it returns none and no error.
func (p *Pipe) awaitContent() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffered == 0 && p.end == nil && !p.closed {
		p.changed.Wait()
	}
	switch {
	case p.closed:
		return nil, ErrClosed
	case p.buffered > 0:
		return p.buf[p.start:min(len(p.buf), p.start+p.buffered)], nil
	case p.end == io.EOF:
		return nil, nil
	}
	return nil, p.end
}

func (p *Pipe) remove(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start = (p.start + n) % len(p.buf)
	p.buffered -= n
	p.changed.Broadcast()
}

// Complete reports whether all content has come, and how many bytes of it are buffered.
func (p *Pipe) Complete() (buffered int, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffered, p.end == io.EOF
}

// Close ends both sides and gives the buffer back to the budget. It may be called more than once.
func (p *Pipe) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.budget.Release(len(p.buf))
		p.changed.Broadcast()
	}
}
