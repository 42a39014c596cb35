package connlimit

import (
	"context"
	"sync/atomic"
	"time"

	"ryeweir/internal/socket"
)

// WaitedUnread returns how long ago the last byte of a request arrived that has just been read: it may have waited in the kernel, for the accept of
// its connection or for the processor. Bytes that follow the request make it too short. It is 0 while the kernel's clock is not known to be that
// of the process, unless the listener has just held back accepts or turns.
func WaitedUnread(ctx context.Context) time.Duration {
	c, ok := fromContext(ctx)
	if !ok {
		return 0
	}
	now := time.Now()
	times := socket.ReadTimes(c.Conn)
	c.listener.clock.compare(times.SinceSent, now, c.lastWrite())
	if !c.listener.clock.trusted() && !c.listener.heldBackSince(now.Add(-heldBackMemory)) {
		return 0
	}
	return times.SinceReceived
}

// clockCheck compares the kernel's clock with that of the process: a process may run in simulated time beside a kernel that does not. Each request on
// a connection that has carried an answer tells: both know when that was sent.
type clockCheck struct{ agreed, disagreed atomic.Int64 }

// Limits of a comparison. A shorter time says little, as the kernel counts in steps of some milliseconds.
const (
	minCompared    = 50 * time.Millisecond
	clockTolerance = 20 * time.Millisecond
	minAgreed      = 3  // comparisons, before the clock is trusted
	agreedPerError = 10 // comparisons that must agree for each that does not, as when an answer was sent long after it was written
)

// compare notes whether the kernel's time since the latest bytes were sent agrees with the time since the process wrote them. wrote is the zero time
// if it has written none.
func (k *clockCheck) compare(sinceSent time.Duration, now, wrote time.Time) {
	sinceWritten := now.Sub(wrote)
	if wrote.IsZero() || sinceWritten < minCompared {
		return
	}
	if difference := (sinceSent - sinceWritten).Abs(); difference <= clockTolerance+sinceWritten/agreedPerError {
		k.agreed.Add(1)
		return
	}
	k.disagreed.Add(1)
}

// trusted reports whether the clocks have agreed often enough.
func (k *clockCheck) trusted() bool {
	agreed := k.agreed.Load()
	return agreed >= minAgreed && agreed >= agreedPerError*k.disagreed.Load()
}
