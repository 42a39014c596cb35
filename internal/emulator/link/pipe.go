package link

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is how many bytes may be under way in one direction of a connection: a writer waits beyond it.
const window = 256 << 10

// pipe is one direction of a connection: what is written at one end arrives at the other when the conditions let it.
// Waiting is on channels alone, so that fake time can pass over it.
type pipe struct {
	mu      sync.Mutex
	changed chan struct{} // closed at each change, and replaced
	shape   shaper
	cond    Conditions
	cutAt   time.Time // since when it is cut
	pieces  []piece
	under   int       // bytes under way
	end     time.Time // when the end of the stream arrives; zero while there is none
	broken  time.Time // when a reset arrives at the reader; zero without one
	gone    bool      // the reader has closed: what is written is lost
	closed  bool      // the writer has closed
	dead    error     // what a writer gets from now on
	readBy  time.Time
	writeBy time.Time
}

type piece struct {
	data []byte
	due  time.Time
}

func newPipe(rng *rand.Rand, c Conditions) *pipe {
	p := &pipe{changed: make(chan struct{}), shape: shaper{rng: rng}, cond: c}
	if c.Cut {
		p.cutAt = time.Now()
	}
	return p
}

// wake tells all who wait that something has changed. The lock is held.
func (p *pipe) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// wait waits for a change, or until the first of the times that are not zero. The lock is held before and after.
func wait(lock *sync.Mutex, changed <-chan struct{}, until ...time.Time) {
	var over <-chan time.Time
	var first time.Time
	for _, t := range until {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !first.IsZero() {
		timer := time.NewTimer(time.Until(first))
		defer timer.Stop()
		over = timer.C
	}
	lock.Unlock()
	defer lock.Lock()
	select {
	case <-changed:
	case <-over:
	}
}

// due is when n bytes arrive that are sent now. What is sent into a cut is later than it, also with no delay. The lock is
// held.
func (p *pipe) due(n int) time.Time {
	at := p.shape.stream(time.Now(), n, p.cond)
	if p.cond.Cut && !at.After(p.cutAt) {
		at = p.cutAt.Add(1)
		p.shape.last = at
	}
	return at
}

// set changes the conditions for what is written from now on. What a cut held back passes when it is over.
func (p *pipe) set(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c.Cut && !p.cond.Cut {
		p.cutAt = now
	}
	if !c.Cut && p.cond.Cut {
		again := now.Add(c.Delay)
		for i := range p.pieces {
			if p.pieces[i].due.After(p.cutAt) && p.pieces[i].due.Before(again) {
				p.pieces[i].due = again
			}
		}
		for _, at := range []*time.Time{&p.end, &p.broken} {
			if !at.IsZero() && at.After(p.cutAt) && at.Before(again) {
				*at = again
			}
		}
		if p.shape.last.Before(again) {
			p.shape.last = again
		}
	}
	p.cond = c
	p.wake()
}

// arrived reports whether what is due then is there.
func (p *pipe) arrived(due, now time.Time) bool {
	return !due.IsZero() && !due.After(now) && (!p.cond.Cut || !due.After(p.cutAt))
}

// pending is the time to wait for, where waiting helps.
func (p *pipe) pending(due time.Time) time.Time {
	if p.cond.Cut && due.After(p.cutAt) {
		return time.Time{}
	}
	return due
}

// read takes what has arrived.
func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case p.gone:
			return 0, net.ErrClosed
		case !p.readBy.IsZero() && !now.Before(p.readBy):
			return 0, os.ErrDeadlineExceeded
		case p.arrived(p.broken, now):
			return 0, syscall.ECONNRESET
		case len(b) == 0:
			return 0, nil
		case len(p.pieces) > 0 && p.arrived(p.pieces[0].due, now):
			n := copy(b, p.pieces[0].data)
			if p.pieces[0].data = p.pieces[0].data[n:]; len(p.pieces[0].data) == 0 {
				p.pieces = p.pieces[1:]
			}
			p.under -= n
			p.wake()
			return n, nil
		case len(p.pieces) == 0 && p.arrived(p.end, now):
			return 0, io.EOF
		}
		next := p.end
		if len(p.pieces) > 0 {
			next = p.pieces[0].due
		}
		wait(&p.mu, p.changed, p.readBy, p.pending(next), p.pending(p.broken))
	}
}

// write sends all of b on its way, or says how much.
func (p *pipe) write(b []byte) (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(b) > 0 {
		now := time.Now()
		switch {
		case p.closed:
			return n, net.ErrClosed
		case p.dead != nil:
			return n, p.dead
		case !p.writeBy.IsZero() && !now.Before(p.writeBy):
			return n, os.ErrDeadlineExceeded
		case p.under >= window:
			wait(&p.mu, p.changed, p.writeBy)
			continue
		}
		part := b[:min(len(b), window-p.under)]
		due := p.due(len(part))
		if !p.gone {
			p.pieces = append(p.pieces, piece{append([]byte(nil), part...), due})
			p.under += len(part)
		}
		n, b = n+len(part), b[len(part):]
		p.wake()
	}
	return n, nil
}

// finish ends the stream behind what was written.
func (p *pipe) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	p.end = p.due(0)
	p.wake()
}

// reset breaks the stream for its reader, now or when the news has come through.
func (p *pipe) reset(now bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken.IsZero() {
		p.broken = time.Now()
		if !now {
			p.broken = p.due(0)
		}
	}
	p.closed = true
	p.wake()
}

// abandon is the reader's close. unread says that something had come, or comes, that nobody will read.
func (p *pipe) abandon() (unread bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unread = len(p.pieces) > 0
	p.gone, p.pieces, p.under = true, nil, 0
	p.wake()
	return unread
}

// fail makes the writer's next write fail.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead == nil {
		p.dead = err
	}
	p.wake()
}

func (p *pipe) deadline(which *time.Time, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*which = t
	p.wake()
}

// quiet reports whether nothing has arrived: no byte, no end, no reset.
func (p *pipe) quiet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return !p.gone && !p.arrived(p.broken, now) && !p.arrived(p.end, now) &&
		(len(p.pieces) == 0 || !p.arrived(p.pieces[0].due, now))
}
