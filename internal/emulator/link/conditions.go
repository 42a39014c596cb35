// Package link is a network with faults: one in memory, which works inside testing/synctest, and a relay on loopback
// sockets. Both shape what passes in the same way: delay, jitter, bandwidth, loss, cuts that say nothing, resets, and each
// of them in one direction only.
package link

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Conditions are what one direction of a path does to what passes. The zero value does nothing to it.
type Conditions struct {
	Delay     time.Duration
	Jitter    time.Duration // up to this much more, evenly drawn; a stream stays in order
	Bandwidth float64       // bytes a second; 0 for no limit
	Loss      float64       // share of packets lost: a stream stalls and sends again, a datagram is gone
	Resend    time.Duration // the first stall after a loss, doubled with each loss of the same packet; 0 for 200 ms
	Cut       bool          // nothing passes and nobody is told; what waits passes when the cut is over
}

// Check says what is wrong with conditions.
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
	packetSize    = 1460 // bytes of a stream in a packet
	defaultResend = 200 * time.Millisecond
	maxResends    = 6
)

// shaper says when what is written to one direction of a path arrives. Its owner guards it.
type shaper struct {
	rng         *rand.Rand
	lineFreeAt  time.Time // when the line has sent what it was given
	lastArrival time.Time // when the latest arrives: a stream is in order
}

// streamArrival is when n bytes of a stream arrive that are written now.
func (s *shaper) streamArrival(now time.Time, n int, c Conditions) time.Time {
	at := s.sendComplete(now, n, c).Add(c.Delay + s.jitter(c))
	for range (n + packetSize - 1) / packetSize {
		stall := c.Resend
		if stall == 0 {
			stall = defaultResend
		}
		for range maxResends {
			if c.Loss == 0 || s.rng.Float64() >= c.Loss {
				break
			}
			at, stall = at.Add(stall), 2*stall
		}
	}
	if at.Before(s.lastArrival) {
		at = s.lastArrival
	}
	s.lastArrival = at
	return at
}

// datagramArrival is when a datagram arrives that is written now; false when it never does.
func (s *shaper) datagramArrival(now time.Time, n int, c Conditions) (time.Time, bool) {
	at := s.sendComplete(now, n, c).Add(c.Delay + s.jitter(c))
	return at, !c.Cut && (c.Loss == 0 || s.rng.Float64() >= c.Loss)
}

// sendComplete is when the line has sent n more bytes.
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
