package requestrecord

import (
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"
)

// Size of the table.
const (
	slotCount  = 1 << 14 // a power of two
	probeCount = 32      // slots in which an ID may be
	slotWords  = 2
	keyBytes   = 16
)

// slot holds one claim. It is shared between processes and changed by atomic operations alone.
type slot struct {
	id    *atomic.Uint64 // hash of the ID; 0 for a free slot
	state *atomic.Uint64 // a claimState
}

// claimState is when the ID was claimed first, in ms of the clock shared by the processes, how often the slot has changed, and whether a process
// is working on the request. The count makes each state differ from the one before.
type claimState uint64

// Layout of a claimState, from the lowest bit: pending, the count of changes, the time.
const (
	pendingBit  = 1
	countUnit   = 1 << 1
	countMask   = 1<<24 - countUnit
	timeShift   = 24
	millisecond = time.Millisecond
)

// next returns the state that follows s.
func (s claimState) next(at time.Duration, pending bool) claimState {
	state := claimState(at/millisecond)<<timeShift | (s+countUnit)&countMask
	if pending {
		state |= pendingBit
	}
	return state
}

func (s claimState) at() time.Duration { return time.Duration(s>>timeShift) * millisecond }

func (s claimState) pending() bool { return s&pendingBit != 0 }

// Record is a table of claims. Its methods may be called from any goroutine.
type Record struct {
	words     []uint64 // slots of slotWords words each, possibly mapped from a file
	key       [keyBytes]byte
	retention time.Duration
	now       func() time.Duration
	close     func() error
}

// Claim claims an ID for a request that arrives now, and reports whether the request may be executed. It may not if a request with this ID is
// being worked on, or may have been executed: for the retention, unless the window is above 0 and has not passed since the first claim.
func (r *Record) Claim(id string, window time.Duration) bool {
	hash := r.hash(id)
	for {
		now := r.now()
		found := r.find(hash, now)
		if found.expired {
			if found.take(hash, now) {
				return true
			}
			continue
		}
		if found.state.pending() || window <= 0 || now-found.state.at() > window {
			return false
		}
		if found.change(found.state.at(), true) {
			return true
		}
	}
}

// Settle ends the work on a claimed ID. If the request may have been executed, the claim stays for the retention, otherwise it is released.
func (r *Record) Settle(id string, mayHaveExecuted bool) {
	found := r.find(r.hash(id), r.now())
	switch {
	case found.expired:
	case mayHaveExecuted:
		found.change(found.state.at(), false)
	default:
		found.slot.id.CompareAndSwap(found.id, 0)
	}
}

// Close releases the memory of the table. No other method may be called after it.
func (r *Record) Close() error { return r.close() }

// view is what a slot held when it was found.
type view struct {
	slot
	id      uint64
	state   claimState
	expired bool // the slot holds no claim on the ID that was looked for, and may be used for it
}

// find returns the slot of a hash if its claim has not expired, and otherwise the slot to use for it: a free or expired one, or else the one with
// the oldest claim.
func (r *Record) find(hash uint64, now time.Duration) view {
	var free view
	for i := range uint64(probeCount) {
		s := r.slot((hash + i) % slotCount)
		v := view{slot: s, id: s.id.Load(), state: claimState(s.state.Load())}
		v.expired = v.id == 0 || now-v.state.at() > r.retention
		switch {
		case v.id == hash && !v.expired:
			return v
		case free.slot.id == nil, v.expired && !free.expired, v.expired == free.expired && !v.expired && v.state.at() < free.state.at():
			free = v
		}
	}
	free.expired = true
	return free
}

// take claims the slot for a hash. Of several processes that take it at once, the one that changes the state first has it, if the slot is still
// that of its ID.
func (v view) take(hash uint64, now time.Duration) bool {
	return v.slot.id.CompareAndSwap(v.id, hash) && v.change(now, true) && v.slot.id.Load() == hash
}

// change replaces the state of the slot. It returns false if another process was faster.
func (v view) change(at time.Duration, pending bool) bool {
	return v.slot.state.CompareAndSwap(uint64(v.state), uint64(v.state.next(at, pending)))
}

// slot returns the slot at an index.
func (r *Record) slot(index uint64) slot {
	words := r.words[index*slotWords:]
	return slot{id: atomicWord(&words[0]), state: atomicWord(&words[1])}
}

// hash returns the hash of an ID, which is never 0. It depends on a random key, so that clients can't choose IDs that collide.
func (r *Record) hash(id string) uint64 {
	sum := sha256.Sum256(append(r.key[:len(r.key):len(r.key)], id...))
	return max(1, binary.LittleEndian.Uint64(sum[:8]))
}
