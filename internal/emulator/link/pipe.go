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

// maxInFlight is how many bytes may be under way in one direction of a connection: a writer waits beyond it.
const maxInFlight = 256 << 10

// pipe is one direction of a connection: what is written at one end arrives at the other when the conditions let it.
// Waiting is on channels alone, so that fake time can pass over it.
type pipe struct {
	mu            sync.Mutex
	changed       chan struct{} // closed at each change, and replaced
	shaper        shaper
	conditions    Conditions
	cutAt         time.Time // since when it is cut
	pieces        []piece
	inFlight      int       // bytes under way
	endAt         time.Time // when the end of the stream arrives; zero while there is none
	resetAt       time.Time // when a reset arrives at the reader; zero without one
	readerClosed  bool      // the reader has closed: what is written is lost
	writerClosed  bool      // the writer has closed
	writeErr      error     // what a writer gets from now on
	readDeadline  time.Time
	writeDeadline time.Time
}

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

// broadcast tells all who wait that something has changed. The lock is held.
func (p *pipe) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitForChange waits for a change, or until the first of the times that are not zero. The lock is held before and after.
func waitForChange(lock *sync.Mutex, changed <-chan struct{}, until ...time.Time) {
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

// arrivalOf is when n bytes arrive that are sent now. What is sent into a cut is later than it, also with no delay. The lock is
// held.
func (p *pipe) arrivalOf(n int) time.Time {
	at := p.shaper.streamArrival(time.Now(), n, p.conditions)
	if p.conditions.Cut && !at.After(p.cutAt) {
		at = p.cutAt.Add(1)
		p.shaper.lastArrival = at
	}
	return at
}

// setConditions changes the conditions for what is written from now on. What a cut held back passes when it is over.
func (p *pipe) setConditions(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c.Cut && !p.conditions.Cut {
		p.cutAt = now
	}
	if !c.Cut && p.conditions.Cut {
		again := now.Add(c.Delay)
		for i := range p.pieces {
			if p.pieces[i].due.After(p.cutAt) && p.pieces[i].due.Before(again) {
				p.pieces[i].due = again
			}
		}
		for _, at := range []*time.Time{&p.endAt, &p.resetAt} {
			if !at.IsZero() && at.After(p.cutAt) && at.Before(again) {
				*at = again
			}
		}
		if p.shaper.lastArrival.Before(again) {
			p.shaper.lastArrival = again
		}
	}
	p.conditions = c
	p.broadcast()
}

// arrived reports whether what is due then is there.
func (p *pipe) arrived(due, now time.Time) bool {
	return !due.IsZero() && !due.After(now) && (!p.conditions.Cut || !due.After(p.cutAt))
}

// wakeTime is the time to wait for, where waiting helps.
func (p *pipe) wakeTime(due time.Time) time.Time {
	if p.conditions.Cut && due.After(p.cutAt) {
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

// write sends all of b on its way, or says how much.
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

// closeWriter ends the stream behind what was written.
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

// reset breaks the stream for its reader, now or when the news has come through.
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

// closeReader is the reader's close. unread says that something had come, or comes, that nobody will read.
func (p *pipe) closeReader() (unread bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unread = len(p.pieces) > 0
	p.readerClosed, p.pieces, p.inFlight = true, nil, 0
	p.broadcast()
	return unread
}

// failWrites makes the writer's next write fail.
func (p *pipe) failWrites(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeErr == nil {
		p.writeErr = err
	}
	p.broadcast()
}

func (p *pipe) setDeadline(which *time.Time, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*which = t
	p.broadcast()
}

// nothingArrived reports whether nothing has arrived: no byte, no end, no reset.
func (p *pipe) nothingArrived() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return !p.readerClosed && !p.arrived(p.resetAt, now) && !p.arrived(p.endAt, now) &&
		(len(p.pieces) == 0 || !p.arrived(p.pieces[0].due, now))
}
