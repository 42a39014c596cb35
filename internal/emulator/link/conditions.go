package link

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Conditions are what one direction of a path does to what passes. The zero value does nothing to it.
type Conditions struct {
	Delay     time.Duration
	Jitter    time.Duration // up to this much more, drawn evenly; a stream stays in order
	Bandwidth float64       // bytes a second; 0 for no limit
	Loss      float64       // share of packets lost: a stream stalls and resends, a datagram is gone
	Resend    time.Duration // the first stall after a loss, doubled with each loss of the same packet; 0 for 200 ms
	Cut       bool          // nothing passes, without an error; what a stream holds passes when the cut is over
}

// Check returns what is wrong with conditions.
func (c Conditions) Check() error {
	if c.Delay < 0 || c.Jitter < 0 || c.Bandwidth < 0 || c.Resend < 0 {
		return fmt.Errorf("delay, jitter, bandwidth and resend must not be below 0: %+v", c)
	}
	if c.Loss < 0 || c.Loss >= 1 {
		return fmt.Errorf("loss must be from 0 to below 1, not %v", c.Loss)
	}
	return nil
}

const (
	packetSize    = 1460 // bytes of a stream in a packet: Ethernet's 1500 less the headers of IP and TCP
	defaultResend = 200 * time.Millisecond
	maxResends    = 6 // of one packet
)

// shaper decides when what is written to one direction of a path arrives. Its owner guards it. The order in which it takes
// random numbers is part of the contract: equal seeds give equal faults.
type shaper struct {
	rng         *rand.Rand
	lineFreeAt  time.Time // when the line has sent all that it was given
	lastArrival time.Time // of a stream's bytes: none may overtake them
}

// streamArrival returns when n bytes of a stream arrive that are written now.
func (s *shaper) streamArrival(now time.Time, n int, c Conditions) time.Time {
	at := s.sendComplete(now, n, c).Add(c.Delay + s.jitter(c))
	for range (n + packetSize - 1) / packetSize {
		at = at.Add(s.packetStall(c))
	}
	if at.Before(s.lastArrival) {
		at = s.lastArrival
	}
	s.lastArrival = at
	return at
}

// packetStall draws how long a stream stalls until one packet has come through.
func (s *shaper) packetStall(c Conditions) (stall time.Duration) {
	resend := c.Resend
	if resend == 0 {
		resend = defaultResend
	}
	for range maxResends {
		if c.Loss == 0 || s.rng.Float64() >= c.Loss {
			break
		}
		stall, resend = stall+resend, 2*resend
	}
	return stall
}

// datagramArrival returns when a datagram arrives that is written now; false when it never does.
func (s *shaper) datagramArrival(now time.Time, n int, c Conditions) (time.Time, bool) {
	at := s.sendComplete(now, n, c).Add(c.Delay + s.jitter(c))
	return at, !c.Cut && (c.Loss == 0 || s.rng.Float64() >= c.Loss)
}

// sendComplete returns when the line has sent n more bytes.
func (s *shaper) sendComplete(now time.Time, n int, c Conditions) time.Time {
	if s.lineFreeAt.Before(now) {
		s.lineFreeAt = now
	}
	if c.Bandwidth > 0 {
		s.lineFreeAt = s.lineFreeAt.Add(time.Duration(float64(n) / c.Bandwidth * float64(time.Second)))
	}
	return s.lineFreeAt
}

func (s *shaper) jitter(c Conditions) time.Duration {
	if c.Jitter == 0 {
		return 0
	}
	return time.Duration(s.rng.Float64() * float64(c.Jitter))
}
