package http

import "sync/atomic"

// receipt counts a request as received at most once, and as finished only if it was received.
//
// Guards against: the last byte of a body that an attempt reads while the request's handler returns, in another goroutine. Counted
// then, the request would stay in the figure `pending` for good.
type receipt struct{ state atomic.Int32 }

const (
	notReceived int32 = iota
	received
	finished
)

// receive reports whether the request counts as received from now on.
func (r *receipt) receive() bool { return r.state.CompareAndSwap(notReceived, received) }

// finish ends the request; it reports whether it counted as received until now.
func (r *receipt) finish() bool { return r.state.Swap(finished) == received }
