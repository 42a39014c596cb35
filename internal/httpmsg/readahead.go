package httpmsg

import (
	"time"

	"ryeweir/internal/bodybuffer"
)

const (
	aheadPieceBytes = 32 << 10 // size of a piece of what is read ahead
	// maxAheadBytes is how much one call of ReadAhead reads: enough to see that a client writes more than the kernels can hold.
	maxAheadBytes = clientBufferBytes + 2*markBytes
)

// ReadAhead finds out whether the client still writes, for a request whose time may be over: an endpoint takes its body slowly, and what the client
// has written waits unread. It reads on before the attempt asks for more, until the client is seen to be unfinished, the end has been read or the
// spare part of the budget is used up. Upload.UnfinishedAt tells the first of these. It does nothing before an attempt has begun to read. It returns
// false if another read is in progress, which tells by itself whether it waits for the client.
func (r *Remainder) ReadAhead() (looked bool) {
	if !r.reading.TryLock() {
		return false
	}
	defer r.reading.Unlock()
	if r.Budget == nil || !r.Budget.TryReserveSpare(aheadPieceBytes) {
		return true
	}
	defer r.Budget.Release(aheadPieceBytes)
	scratch := make([]byte, aheadPieceBytes)
	for total := 0; total < maxAheadBytes && r.mayReadAhead() && r.Budget.TryReserveSpare(aheadPieceBytes); {
		n, err := r.readUpload(scratch, true)
		total += n
		if err != nil || r.Upload.Elapsed(time.Now()) < emptyWait {
			return true
		}
	}
	return true
}

// mayReadAhead reports whether an attempt has begun to read and more can be read.
func (r *Remainder) mayReadAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.consumed && r.err == nil && !r.closed && !r.Stopped()
}

// keep stores what was read ahead. A piece has been reserved for it, which is returned if it is not needed. The lock mu must be held.
func (r *Remainder) keep(p []byte) {
	reserved := aheadPieceBytes
	if !r.closed {
		reserved -= r.ahead.add(p)
	}
	r.Budget.Release(reserved)
}

// readAhead holds bytes in pieces that are reserved from a budget.
type readAhead struct{ pieces [][]byte }

// add stores bytes, at most aheadPieceBytes, and returns how much of a reservation of one piece it has used.
func (a *readAhead) add(p []byte) (used int) {
	if last := len(a.pieces) - 1; last >= 0 {
		piece := a.pieces[last]
		n := min(len(p), cap(piece)-len(piece))
		a.pieces[last] = append(piece, p[:n]...)
		p = p[n:]
	}
	if len(p) == 0 {
		return 0
	}
	a.pieces = append(a.pieces, append(make([]byte, 0, aheadPieceBytes), p...))
	return aheadPieceBytes
}

// take copies bytes to p and returns the pieces that are used up to the budget.
func (a *readAhead) take(p []byte, budget *bodybuffer.Budget) (n int) {
	if len(a.pieces) == 0 {
		return 0
	}
	n = copy(p, a.pieces[0])
	a.pieces[0] = a.pieces[0][n:]
	if len(a.pieces[0]) == 0 {
		a.pieces = a.pieces[1:]
		budget.Release(aheadPieceBytes)
	}
	return n
}

// discard returns all pieces to the budget.
func (a *readAhead) discard(budget *bodybuffer.Budget) {
	for range a.pieces {
		budget.Release(aheadPieceBytes)
	}
	a.pieces = nil
}
