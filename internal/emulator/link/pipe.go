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

// maxInFlight is how many bytes may be in flight in one direction of a connection: beyond it a writer waits.
const maxInFlight = 256 << 10

// pipe is one direction of a connection: what is written at one end arrives at the other when the conditions allow it. It waits
// on channels and timers alone, so that the fake time of testing/synctest passes while it does.
//
// Each piece has the time at which it is due. A cut holds back what is due after cutAt; when the cut is over, what it held back
// becomes due anew.
type pipe struct {
	mu            sync.Mutex
	changed       chan struct{} // closed at each change, and replaced
	shaper        shaper
	conditions    Conditions
	cutAt         time.Time // when the present cut began
	pieces        []piece   // in order of arrival
	inFlight      int       // bytes of all pieces
	endAt         time.Time // when the end of the stream arrives; zero before it was sent
	resetAt       time.Time // when a reset arrives at the reader; zero without one
	readerClosed  bool      // what is written is lost
	writerClosed  bool
	writeErr      error // what all further writes return; nil while they succeed
	readDeadline  time.Time
	writeDeadline time.Time
}

// piece is bytes that were written together.
type piece struct {
	data []byte
	due  time.Time
}

func newPipe(rng *rand.Rand, c Conditions) *pipe {
	p := &pipe{changed: make(chan struct{}), shaper: shaper{rng: rng}, conditions: c}
	if c.Cut {
		p.cutAt = time.Now()
	}
	return p
}

// broadcast wakes all that wait for a change. p.mu is held.
func (p *pipe) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitForChange waits for a change, or until the first of the times that are not zero. The lock is held on entry and on return.
func waitForChange(lock *sync.Mutex, changed <-chan struct{}, until ...time.Time) {
	var timeout <-chan time.Time
	var first time.Time
	for _, t := range until {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !first.IsZero() {
		timer := time.NewTimer(time.Until(first))
		defer timer.Stop()
		timeout = timer.C
	}
	lock.Unlock()
	defer lock.Lock()
	select {
	case <-changed:
	case <-timeout:
	}
}

// arrivalOf returns when n bytes arrive that are sent now. Bytes that are sent into a cut must be due after it began, also
// without a delay, or they would pass. p.mu is held.
func (p *pipe) arrivalOf(n int) time.Time {
	at := p.shaper.streamArrival(time.Now(), n, p.conditions)
	if p.conditions.Cut && !at.After(p.cutAt) {
		at = p.cutAt.Add(1)
		p.shaper.lastArrival = at
	}
	return at
}

// setConditions changes the conditions for what is written from now on. When a cut ends, what it held back is due after the
// new delay.
func (p *pipe) setConditions(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c.Cut && !p.conditions.Cut {
		p.cutAt = now
	}
	if !c.Cut && p.conditions.Cut {
		p.resume(now.Add(c.Delay))
	}
	p.conditions = c
	p.broadcast()
}

// resume makes what a cut has held back due at a time, at the earliest. p.mu is held.
func (p *pipe) resume(at time.Time) {
	heldBack := func(due time.Time) bool { return due.After(p.cutAt) && due.Before(at) }
	for i := range p.pieces {
		if heldBack(p.pieces[i].due) {
			p.pieces[i].due = at
		}
	}
	for _, due := range []*time.Time{&p.endAt, &p.resetAt} {
		if !due.IsZero() && heldBack(*due) {
			*due = at
		}
	}
	if p.shaper.lastArrival.Before(at) {
		p.shaper.lastArrival = at
	}
}

// arrived reports whether what is due at a time has arrived. p.mu is held.
func (p *pipe) arrived(due, now time.Time) bool {
	return !due.IsZero() && !due.After(now) && (!p.conditions.Cut || !due.After(p.cutAt))
}

// wakeTime returns the time to wait for; zero where a cut holds it back, and only a change of conditions helps. p.mu is held.
func (p *pipe) wakeTime(due time.Time) time.Time {
	if p.conditions.Cut && due.After(p.cutAt) {
		return time.Time{}
	}
	return due
}

// read waits until something has arrived and copies it to b. It returns io.EOF at the stream's end, syscall.ECONNRESET after a
// reset, net.ErrClosed after closeReader and os.ErrDeadlineExceeded.
func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case p.readerClosed:
			return 0, net.ErrClosed
		case !p.readDeadline.IsZero() && !now.Before(p.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case p.arrived(p.resetAt, now):
			return 0, syscall.ECONNRESET
		case len(b) == 0:
			return 0, nil
		case len(p.pieces) > 0 && p.arrived(p.pieces[0].due, now):
			n := copy(b, p.pieces[0].data)
			if p.pieces[0].data = p.pieces[0].data[n:]; len(p.pieces[0].data) == 0 {
				p.pieces = p.pieces[1:]
			}
			p.inFlight -= n
			p.broadcast()
			return n, nil
		case len(p.pieces) == 0 && p.arrived(p.endAt, now):
			return 0, io.EOF
		}
		next := p.endAt
		if len(p.pieces) > 0 {
			next = p.pieces[0].due
		}
		waitForChange(&p.mu, p.changed, p.readDeadline, p.wakeTime(next), p.wakeTime(p.resetAt))
	}
}

// write sends all of b, or returns how much it sent with the error.
func (p *pipe) write(b []byte) (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(b) > 0 {
		now := time.Now()
		switch {
		case p.writerClosed:
			return n, net.ErrClosed
		case p.writeErr != nil:
			return n, p.writeErr
		case !p.writeDeadline.IsZero() && !now.Before(p.writeDeadline):
			return n, os.ErrDeadlineExceeded
		case p.inFlight >= maxInFlight:
			waitForChange(&p.mu, p.changed, p.writeDeadline)
			continue
		}
		part := b[:min(len(b), maxInFlight-p.inFlight)]
		due := p.arrivalOf(len(part))
		if !p.readerClosed {
			p.pieces = append(p.pieces, piece{append([]byte(nil), part...), due})
			p.inFlight += len(part)
		}
		n, b = n+len(part), b[len(part):]
		p.broadcast()
	}
	return n, nil
}

// closeWriter ends the stream after what was written.
func (p *pipe) closeWriter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writerClosed {
		return
	}
	p.writerClosed = true
	p.endAt = p.arrivalOf(0)
	p.broadcast()
}

// reset breaks the stream for its reader: now, or when the reset has travelled to it.
func (p *pipe) reset(now bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resetAt.IsZero() {
		p.resetAt = time.Now()
		if !now {
			p.resetAt = p.arrivalOf(0)
		}
	}
	p.writerClosed = true
	p.broadcast()
}

// closeReader ends reading. unread says that there were bytes, in flight or arrived, that nobody will read.
func (p *pipe) closeReader() (unread bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unread = len(p.pieces) > 0
	p.readerClosed, p.pieces, p.inFlight = true, nil, 0
	p.broadcast()
	return unread
}

// failWrites makes all further writes return err.
func (p *pipe) failWrites(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeErr == nil {
		p.writeErr = err
	}
	p.broadcast()
}

// setDeadline changes one of the pipe's deadlines.
func (p *pipe) setDeadline(which *time.Time, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*which = t
	p.broadcast()
}

// nothingArrived reports whether neither a byte nor an end nor a reset has arrived.
func (p *pipe) nothingArrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return !p.readerClosed && !p.arrived(p.resetAt, now) && !p.arrived(p.endAt, now) &&
		(len(p.pieces) == 0 || !p.arrived(p.pieces[0].due, now))
}
