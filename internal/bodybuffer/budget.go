package bodybuffer

import "sync/atomic"

// Budget limits the total size of the buffers that all exchanges share. It is safe for concurrent use.
type Budget struct {
	available atomic.Int64
	size      atomic.Int64
}

// minReservation is the size, in bytes, that is granted even if the budget is exhausted.
//
// It prevents a deadlock of exchanges that wait for each other's buffers. The budget can be exceeded by it for each
// buffer of an open exchange; the fixed memory of a connection (package memory) has room for that.
const minReservation = 4 << 10

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	b := &Budget{}
	b.Grow(size)
	return b
}

// Reserve reserves up to want bytes and returns how many it granted: as many as are available, but at least minReservation or want,
// whichever is less. It does not block. The caller must return the granted bytes with Release.
func (b *Budget) Reserve(want int) (granted int) {
	for {
		available := b.available.Load()
		granted = min(want, max(minReservation, int(available)))
		if b.available.CompareAndSwap(available, available-int64(granted)) {
			return granted
		}
	}
}

// Release returns granted bytes to the budget.
func (b *Budget) Release(granted int) { b.available.Add(int64(granted)) }

// TryReserve reserves want bytes if they are available, and reports whether it did. It does not block. The caller must return the bytes with
// Release.
func (b *Budget) TryReserve(want int) bool { return b.tryReserve(want, 0) }

// TryReserveSpare is TryReserve for what the process can do without: it leaves half of the budget to others.
func (b *Budget) TryReserveSpare(want int) bool { return b.tryReserve(want, b.size.Load()/2) }

// tryReserve reserves want bytes if as many as leave remain available.
func (b *Budget) tryReserve(want int, leave int64) bool {
	for {
		available := b.available.Load()
		if available-int64(want) < leave {
			return false
		}
		if b.available.CompareAndSwap(available, available-int64(want)) {
			return true
		}
	}
}

// Grow adds bytes to the budget; a negative number takes them away.
func (b *Budget) Grow(bytes int64) {
	b.size.Add(bytes)
	b.available.Add(bytes)
}
