package link

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Conditions describe one direction of a path. The zero value passes everything without delay.
type Conditions struct {
	Delay     time.Duration
	Jitter    time.Duration // maximum additional delay, uniformly distributed; the bytes of a stream stay in order
	Bandwidth float64       // bytes per second; 0 for no limit
	Loss      float64       // probability that a packet is lost, in [0, 1); a stream stalls and resends it, a datagram is lost for good
	Resend    time.Duration // stall after the first loss of a packet, doubled with each further loss of it; 0 for 200 ms
	Cut       bool          // nothing passes, and no error is returned; bytes of a stream are held back until the cut is over
}

// Check returns an error that describes the first invalid field.
func (c Conditions) Check() error {
	if c.Delay < 0 || c.Jitter < 0 || c.Bandwidth < 0 || c.Resend < 0 {
		return fmt.Errorf("delay (%v), jitter (%v), bandwidth (%v bytes per second) and resend (%v) must be at least 0",
			c.Delay, c.Jitter, c.Bandwidth, c.Resend)
	}
	if c.Loss < 0 || c.Loss >= 1 {
		return fmt.Errorf("loss must be at least 0 and below 1, not %v", c.Loss)
	}
	return nil
}

const (
	packetSize    = 1460 // bytes of a stream per packet: Ethernet's 1500 minus the headers of IP and TCP
	defaultResend = 200 * time.Millisecond
	maxResends    = 6 // of one packet
)

// shaper computes when bytes written to one direction of a path arrive. Its owner serializes the calls. The order in which it draws
// random numbers is part of the contract: equal seeds give equal faults.
type shaper struct {
	rng         *rand.Rand
	lineFreeAt  time.Time // when all bytes so far have been sent at the path's bandwidth
	lastArrival time.Time // of the bytes of a stream so far: later bytes may not arrive before
}

// streamArrival returns the arrival time of n bytes of a stream that are written now.
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

// packetStall draws how long a stream stalls because of losses of one packet.
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

// datagramArrival returns the arrival time of a datagram of n bytes that is written now, or false if the datagram is lost.
func (s *shaper) datagramArrival(now time.Time, n int, c Conditions) (time.Time, bool) {
	at := s.sendComplete(now, n, c).Add(c.Delay + s.jitter(c))
	return at, !c.Cut && (c.Loss == 0 || s.rng.Float64() >= c.Loss)
}

// sendComplete returns when n more bytes have been sent at the path's bandwidth.
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
