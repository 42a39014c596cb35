package http

import "sync/atomic"

// receipt makes sure that a request is counted as received at most once, and as finished only if it was received.
//
// An attempt, in its own goroutine, may read the last byte of a body after the request's handler has returned. If the request
// were counted as received then, it would stay in the `pending` metric forever.
type receipt struct{ state atomic.Int32 }

const (
	notReceived int32 = iota
	received
	finished
)

// receive reports whether the request has to be counted as received now.
func (r *receipt) receive() bool { return r.state.CompareAndSwap(notReceived, received) }

// finish ends the request. It reports whether the request was counted as received until now.
func (r *receipt) finish() bool { return r.state.Swap(finished) == received }
