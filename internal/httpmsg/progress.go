package httpmsg

import (
	"sync/atomic"
	"time"
)

// Limits of what the client may have written ahead of the agent's reads.
const (
	// clientBufferBytes is how much of a body the kernels can hold between a client that has written it and the agent: by default Linux lets a
	// send buffer grow to 4 MiB.
	clientBufferBytes = 4 << 20
	// deliveryTime is how long what the client has written may take to begin to arrive at an agent that waits for it. While the agent pauses, its
	// receive buffer fills up, and the rest of the bytes wait in the client's kernel.
	deliveryTime = 100 * time.Millisecond
	// minDeliveryRate is the rate, in bytes per second, at which they then arrive.
	minDeliveryRate = 16 << 20
	// emptyWait is the time for which a read must wait to count as one that found nothing to read.
	emptyWait = time.Millisecond
	// markBytes is how much is read between two marks of a clientProgress.
	markBytes = clientBufferBytes / 4
)

// LookAheadTime is how long a look may take whether the client of an upload still writes (see Remainder.ReadAhead).
const LookAheadTime = deliveryTime + 150*time.Millisecond

// clientProgress follows how far the client of an upload must have come. The agent sees what it reads, and not what the client has written: up to
// clientBufferBytes of that may wait in the kernels. At each of these times the client can't have written the last byte yet:
//
//   - the agent waits for the client, and has waited for longer since it last paused than the kernels can take to deliver what it has got since;
//   - more of the body is left than the kernels can hold, by its length or by what has been read since.
//
// Its writing methods are for the goroutine that reads; unfinishedAt and reading may be read by any.
type clientProgress struct {
	reading      atomic.Pointer[readInProgress] // nil if there is none
	unfinishedAt atomic.Pointer[time.Time]      // the latest of the times above; nil before the first read
	marks        []progressMark                 // the earliest one first, none older than the kernels' buffers tell of

	lastReadEnded time.Time
	sincePause    deliveries
}

// deliveries sums up the reads since the latest pause between two reads.
type deliveries struct {
	waited time.Duration
	bytes  int64
}

// delivered reports whether all that the client had written before the pause must have arrived.
func (d deliveries) delivered() bool {
	return d.waited >= deliveryTime+time.Duration(d.bytes)*time.Second/minDeliveryRate
}

// readInProgress is a read that has begun.
type readInProgress struct {
	began  time.Time
	before deliveries // by the reads since the latest pause
}

// waitsForClient reports whether the read waits for the client at a time.
func (r *readInProgress) waitsForClient(now time.Time) bool {
	waited := now.Sub(r.began)
	return waited >= emptyWait && deliveries{r.before.waited + waited, r.before.bytes}.delivered()
}

// progressMark says how many bytes had been read at a time.
type progressMark struct {
	received int64
	at       time.Time
}

// beginRead records that a read begins. If the agent has paused since the one before, bytes may wait in the client's kernel.
func (c *clientProgress) beginRead(now time.Time) {
	if now.Sub(c.lastReadEnded) >= emptyWait {
		c.sincePause = deliveries{}
	}
	c.reading.Store(&readInProgress{began: now, before: c.sincePause})
}

// noteRead records that the read in progress ended at the given time with n bytes. received is the number of bytes of all reads.
func (c *clientProgress) noteRead(u *Upload, n int, received int64, now time.Time) {
	read := c.reading.Swap(nil)
	c.sincePause.waited += now.Sub(read.began)
	c.sincePause.bytes += int64(n)
	c.lastReadEnded = now
	switch {
	case u.Length >= 0 && u.Length-received > clientBufferBytes || read.waitsForClient(now):
		c.unfinishedAt.Store(&now)
		c.marks = c.marks[:0]
	case c.unfinishedAt.Load() == nil:
		arrived := u.ArrivedAt
		if arrived.IsZero() {
			arrived = now
		}
		c.unfinishedAt.Store(&arrived)
	}
	c.passMarks(received)
	if last := len(c.marks) - 1; last < 0 || received >= c.marks[last].received+markBytes {
		c.marks = append(c.marks, progressMark{received, now})
	}
}

// passMarks removes the marks behind which more has been read than the kernels can hold: at these times the client had not written all.
func (c *clientProgress) passMarks(received int64) {
	for len(c.marks) > 0 && received > c.marks[0].received+clientBufferBytes {
		c.unfinishedAt.Store(&c.marks[0].at)
		c.marks = c.marks[1:]
	}
}

// noteRead records that the read in progress ended at the given time with n bytes.
func (u *Upload) noteRead(n int, now time.Time) {
	u.progress.noteRead(u, n, u.received.Add(int64(n)), now)
}

// UnfinishedAt returns the latest time until now at which the client is known not to have written the last byte of the body. It is the zero time
// before the first read. It may be called from any goroutine.
func (u *Upload) UnfinishedAt(now time.Time) time.Time {
	read := u.progress.reading.Load()
	if read != nil && read.waitsForClient(now) || u.Length >= 0 && u.Length-u.received.Load() > clientBufferBytes {
		return now
	}
	if at := u.progress.unfinishedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Elapsed returns how much of the request's time has passed at most: the time since UnfinishedAt, as the client may have written the last byte just
// after it. Every deadline of a request whose body is read while it is forwarded follows from this. It may be called from any goroutine.
func (u *Upload) Elapsed(now time.Time) time.Duration {
	at := u.UnfinishedAt(now)
	if at.IsZero() {
		return 0
	}
	return max(0, now.Sub(at))
}
