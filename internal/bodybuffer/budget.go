package bodybuffer

import "sync/atomic"

// Budget bounds the bytes of the buffers that all exchanges share. It may be used by any goroutine.
type Budget struct{ left atomic.Int64 }

// minGrant is granted also when the budget is used up.
//
// Guards against: a deadlock of exchanges that wait for buffers which others hold. The budget may be overdrawn by this much for each
// open exchange.
const minGrant = 4 << 10

// NewBudget returns a budget of this many bytes.
func NewBudget(size int64) *Budget {
	b := &Budget{}
	b.left.Store(size)
	return b
}

// Reserve grants as many of the bytes wanted as are left, but minGrant of them at least. It does not wait. The grant must be given
// back by Release.
func (b *Budget) Reserve(want int) (granted int) {
	for {
		left := b.left.Load()
		granted = min(want, max(minGrant, int(left)))
		if b.left.CompareAndSwap(left, left-int64(granted)) {
			return granted
		}
	}
}

// Release gives back a grant.
func (b *Budget) Release(granted int) { b.left.Add(int64(granted)) }
