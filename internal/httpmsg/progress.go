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
	// emptyWait is the wait of a read from which it counts as having found nothing to read.
	emptyWait = time.Millisecond
	// markBytes is how much is read between two marks of a clientProgress.
	markBytes = clientBufferBytes / 4
)

// clientProgress follows how far the client of an upload must have come. The agent sees what it reads, and not what the client has written: up to
// clientBufferBytes of that may wait in the kernels. At each of these times the client can't have written the last byte yet:
//
//   - the agent waits for the client;
//   - more of the body is left than the kernels can hold, by its length or by what has been read since.
//
// Its writing methods are for the goroutine that reads; unfinishedAt and readBegan may be read by any.
type clientProgress struct {
	readBegan    atomic.Pointer[time.Time] // when the read in progress began; nil if there is none
	unfinishedAt atomic.Pointer[time.Time] // the latest of the times above; nil before the first read
	marks        []progressMark            // the earliest one first, none older than the kernels' buffers tell of
}

// progressMark says how many bytes had been read at a time.
type progressMark struct {
	received int64
	at       time.Time
}

// noteRead records that a read ended at the given time after a wait. received is the number of bytes of all reads.
func (c *clientProgress) noteRead(u *Upload, received int64, now time.Time, waited time.Duration) {
	switch {
	case u.Length >= 0 && u.Length-received > clientBufferBytes || waited >= emptyWait:
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

// noteRead records a read of n bytes that ended at the given time after a wait.
func (u *Upload) noteRead(n int, now time.Time, waited time.Duration) {
	u.progress.noteRead(u, u.received.Add(int64(n)), now, waited)
}

// UnfinishedAt returns the latest time until now at which the client is known not to have written the last byte of the body. It is the zero time
// before the first read. It may be called from any goroutine.
func (u *Upload) UnfinishedAt(now time.Time) time.Time {
	began := u.progress.readBegan.Load()
	if began != nil && now.Sub(*began) >= emptyWait || u.Length >= 0 && u.Length-u.received.Load() > clientBufferBytes {
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
