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

// maxInFlight is the maximum number of bytes written to one direction of a connection and not yet read. A writer blocks at it.
const maxInFlight = 256 << 10

// pipe is one direction of a connection. What is written at one end can be read at the other after a delay that follows from the
// conditions. It blocks only on channels and timers, so that the fake time of testing/synctest advances meanwhile.
//
// Each segment has an arrival time (due). During a cut, segments that are due after the beginning of the cut (cutAt) are held back.
// When the cut is over, they get a new arrival time.
type pipe struct {
	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	shaper        shaper
	conditions    Conditions
	cutAt         time.Time // when the current or latest cut began
	segments      []segment // ordered by arrival time
	inFlight      int       // bytes of all segments
	endAt         time.Time // when the end of the stream arrives; zero until the writer closes
	resetAt       time.Time // when a reset arrives at the reader; zero if there is none
	readerClosed  bool      // bytes written from now on are lost
	writerClosed  bool
	writeErr      error // returned by all further writes; nil while they succeed
	readDeadline  time.Time
	writeDeadline time.Time
}

// segment holds bytes that were written together.
type segment struct {
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

// broadcast wakes all blocked readers and writers. p.mu is held.
func (p *pipe) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitForChange waits until changed is closed, or until the earliest of the times that are not zero. The caller holds lock, which
// is released while waiting.
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

// arrivalOf returns the arrival time of n bytes that are sent now. Bytes that are sent during a cut must be due after its beginning,
// even on a path without delay; otherwise they would not be held back. p.mu is held.
func (p *pipe) arrivalOf(n int) time.Time {
	at := p.shaper.streamArrival(time.Now(), n, p.conditions)
	if p.conditions.Cut && !at.After(p.cutAt) {
		at = p.cutAt.Add(1)
		p.shaper.lastArrival = at
	}
	return at
}

// setConditions changes the conditions for bytes written from now on. If that ends a cut, the bytes held back arrive after the new
// delay.
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

// resume moves the arrival times of what a cut has held back to at, unless they are later. p.mu is held.
func (p *pipe) resume(at time.Time) {
	heldBack := func(due time.Time) bool { return due.After(p.cutAt) && due.Before(at) }
	for i := range p.segments {
		if heldBack(p.segments[i].due) {
			p.segments[i].due = at
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

// arrived reports whether something with the arrival time due has arrived by now. It is false for a zero due. p.mu is held.
func (p *pipe) arrived(due, now time.Time) bool {
	return !due.IsZero() && !due.After(now) && (!p.conditions.Cut || !due.After(p.cutAt))
}

// wakeTime returns until when to wait for something with the arrival time due. It is zero if a cut holds that back, because then it
// arrives only after a change of the conditions. p.mu is held.
func (p *pipe) wakeTime(due time.Time) time.Time {
	if p.conditions.Cut && due.After(p.cutAt) {
		return time.Time{}
	}
	return due
}

// read waits until bytes have arrived and copies them to b. It returns io.EOF at the end of the stream, syscall.ECONNRESET after a
// reset, net.ErrClosed after closeReader, and os.ErrDeadlineExceeded after the read deadline.
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
		case len(p.segments) > 0 && p.arrived(p.segments[0].due, now):
			n := copy(b, p.segments[0].data)
			if p.segments[0].data = p.segments[0].data[n:]; len(p.segments[0].data) == 0 {
				p.segments = p.segments[1:]
			}
			p.inFlight -= n
			p.broadcast()
			return n, nil
		case len(p.segments) == 0 && p.arrived(p.endAt, now):
			return 0, io.EOF
		}
		next := p.endAt
		if len(p.segments) > 0 {
			next = p.segments[0].due
		}
		waitForChange(&p.mu, p.changed, p.readDeadline, p.wakeTime(next), p.wakeTime(p.resetAt))
	}
}

// write sends all of b. If it fails, it returns the number of bytes sent and the error.
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
			p.segments = append(p.segments, segment{append([]byte(nil), part...), due})
			p.inFlight += len(part)
		}
		n, b = n+len(part), b[len(part):]
		p.broadcast()
	}
	return n, nil
}

// closeWriter ends the stream after the bytes written so far.
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

// reset makes reads fail with syscall.ECONNRESET: at once if now is set, otherwise after the delay of the path.
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

// closeReader makes reads fail and drops all unread bytes. unread reports whether there were any, arrived or in flight.
func (p *pipe) closeReader() (unread bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unread = len(p.segments) > 0
	p.readerClosed, p.segments, p.inFlight = true, nil, 0
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

// nothingArrived reports whether the reader is open and neither unread bytes nor the end of the stream nor a reset has arrived.
func (p *pipe) nothingArrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return !p.readerClosed && !p.arrived(p.resetAt, now) && !p.arrived(p.endAt, now) &&
		(len(p.segments) == 0 || !p.arrived(p.segments[0].due, now))
}
