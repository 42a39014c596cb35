package bodybuffer

import (
	"errors"
	"io"
	"sync"
)

// ErrClosed means that the pipe was closed.
var ErrClosed = errors.New("body pipe closed")

// Pipe is a ring buffer between one goroutine that calls Fill and one that calls WriteTo. Fill blocks while the buffer is full, WriteTo
// while it is empty. Neither may be called by two goroutines at a time; all methods other than these two are safe for concurrent use.
type Pipe struct {
	budget *Budget
	buf    []byte

	mu       sync.Mutex
	changed  *sync.Cond
	start    int   // index in buf of the first buffered byte
	buffered int   // number of buffered bytes; they may wrap around the end of buf
	fillErr  error // why no more data will arrive; io.EOF after all data has arrived
	closed   bool
}

// NewPipe returns a pipe that can hold want bytes, or fewer if the budget does not suffice. The caller must close it.
func NewPipe(b *Budget, want int) *Pipe {
	p := &Pipe{budget: b, buf: make([]byte, b.Reserve(max(want, 1)))}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// Size returns the capacity of the pipe in bytes.
func (p *Pipe) Size() int { return len(p.buf) }

// Fill reads r to its end into the pipe. It calls onFull once, before it first waits for free space, and onData after each read
// that returned data; both may be nil. It returns nil at the end of r. Otherwise it returns the error of r, which WriteTo returns
// after the buffered data, or ErrClosed.
func (p *Pipe) Fill(r io.Reader, onFull, onData func()) error {
	for {
		free, err := p.awaitSpace(onFull)
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		p.commit(n, err)
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

// awaitSpace waits for free space and returns a contiguous part of it.
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

func (p *Pipe) commit(n int, fillErr error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buffered += n
	p.fillErr = fillErr
	p.changed.Broadcast()
}

// WriteTo writes the data to w as it arrives, until all of it has been written. It implements io.WriterTo. The error is that of w,
// the one with which Fill ended, or ErrClosed.
func (p *Pipe) WriteTo(w io.Writer) (written int64, err error) {
	for {
		piece, err := p.awaitContent()
		if len(piece) == 0 {
			return written, err
		}
		n, err := w.Write(piece)
		written += int64(n)
		p.consume(n)
		if err != nil {
			return written, err
		}
	}
}

// awaitContent waits for data and returns a contiguous part of it. At the end it returns no data and no error.
func (p *Pipe) awaitContent() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffered == 0 && p.fillErr == nil && !p.closed {
		p.changed.Wait()
	}
	switch {
	case p.closed:
		return nil, ErrClosed
	case p.buffered > 0:
		return p.buf[p.start:min(len(p.buf), p.start+p.buffered)], nil
	case p.fillErr == io.EOF:
		return nil, nil
	}
	return nil, p.fillErr
}

func (p *Pipe) consume(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start = (p.start + n) % len(p.buf)
	p.buffered -= n
	p.changed.Broadcast()
}

// Complete returns the number of buffered bytes and reports whether all data has arrived.
func (p *Pipe) Complete() (buffered int, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffered, p.fillErr == io.EOF
}

// Close ends Fill and WriteTo and returns the buffer to the budget. It may be called more than once.
func (p *Pipe) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.budget.Release(len(p.buf))
		p.changed.Broadcast()
	}
}
