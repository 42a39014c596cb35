package http

import (
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/httpmsg"
)

// How long a response of unknown length is held back, from its head on.
const (
	chunkedHoldTime = 100 * time.Millisecond
	// undelimitedHoldTime applies to a body that ends with its connection. It is half of the time after which what is held back counts as lost.
	undelimitedHoldTime = time.Second
)

// hold keeps a response from its client until it belongs to the client, and reports the outcome of the attempt then.
//
// Another attempt can replace a response that breaks off while it is held, and the deadline can end the wait for it. From the moment that it belongs to the
// client it is passed on for as long as its endpoint gives it. A successful response belongs to its client:
//
//   - when all of it has arrived;
//   - with its first bytes, if its length is known and above httpmsg.MaxBufferedBytes;
//   - when its pipe is full. A pipe for which the budget did not suffice is smaller than a body that would otherwise fit;
//   - if its length is unknown, when it has been held for chunkedHoldTime or undelimitedHoldTime and has begun;
//   - when the wait for it ends, at the deadline or because the process ends, if its length is unknown or above httpmsg.MaxBufferedBytes. The
//     head alone is passed on if no more has arrived.
//
// A response of known length up to httpmsg.MaxBufferedBytes is timed by its last byte, so that the end of the wait ends it.
//
// A hold is a core.PendingResponse. Its methods are called by the exchange, the core and a timer.
type hold struct {
	exchange *exchange
	// waitEndedAt is when the wait for the response ended, as time.Duration on the agent's clock; 0 before that.
	waitEndedAt atomic.Int64

	mu       sync.Mutex
	content  *httpmsg.Content // nil until the head of a successful response has arrived
	begunAt  time.Duration    // when that head arrived, on the agent's clock
	released bool             // the body belongs to the client once part of it has arrived
	timer    *time.Timer      // releases the response; nil if nothing does after a time
	// ended is set when the exchange has ended. After that the hold must not change the deadline of the connection, which may carry another
	// exchange by then.
	ended bool
}

// begin starts to hold a successful response whose head has arrived.
func (h *hold) begin(content *httpmsg.Content, chunked bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.content, h.begunAt = content, h.exchange.Clock.Now()
	switch {
	case content.Length > httpmsg.MaxBufferedBytes:
		h.released = true
	case content.Length >= 0:
	case chunked:
		h.timer = time.AfterFunc(chunkedHoldTime, h.release)
	default:
		h.timer = time.AfterFunc(undelimitedHoldTime, h.release)
	}
	h.noteArrival()
	if h.waitEndedAt.Load() != 0 {
		h.forwardUnfinished()
	}
}

// mayForwardUnfinished reports whether the response may go to its client before all of it has arrived. The caller holds h.mu.
func (h *hold) mayForwardUnfinished() bool {
	return h.content != nil && (h.content.Length < 0 || h.content.Length > httpmsg.MaxBufferedBytes)
}

// release gives the response to the client as soon as part of its body has arrived. Before that nothing would be sent to the client, so that
// another attempt can still replace a response that breaks off after its head.
func (h *hold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	if buffered, _ := h.content.Pipe.Complete(); buffered > 0 {
		h.forward()
	}
}

// dataArrived is called when more of the body has been added to the pipe.
func (h *hold) dataArrived() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteArrival()
	if h.released {
		h.forward()
	}
}

// noteArrival tells the core that the endpoint is giving a response that the deadline will not end. The caller holds h.mu.
func (h *hold) noteArrival() {
	if h.mayForwardUnfinished() && !h.exchange.reported.Load() {
		h.exchange.attempt.ResponseArriving(h.exchange.Clock.Now())
	}
}

// Begun implements core.PendingResponse.
func (h *hold) Begun() bool { return h.exchange.state.deadline.responseBegun() }

// EndWait implements core.PendingResponse.
func (h *hold) EndWait() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.waitEndedAt.CompareAndSwap(0, int64(h.exchange.Clock.Now())) {
		return
	}
	h.forwardUnfinished()
	h.exchange.state.deadline.refresh() // a connection that can't set it fails the read as well
}

// expired ends the wait for the response when the exchange itself finds that its time is over, before the core does.
func (h *hold) expired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.exchange
	if !x.attempt.Call.Finished() && x.readCutoff.Load() == 0 && x.Clock.Now() >= x.attempt.Deadline() {
		h.forwardUnfinished()
	}
}

// forwardUnfinished gives the response to the client although its end has not arrived, if that is allowed. The caller holds h.mu.
func (h *hold) forwardUnfinished() {
	if h.mayForwardUnfinished() {
		h.forward()
	}
}

// forward reports the outcome, which makes the frontend answer the client. The caller holds h.mu.
func (h *hold) forward() {
	x := h.exchange
	if !h.ended && x.reported.CompareAndSwap(false, true) {
		x.outcome.BegunAt = h.begunAt
		buffered, complete := h.content.Pipe.Complete()
		h.content.HeadFirst = buffered == 0 && !complete
		x.state.deadline.refresh()
		x.attempt.Report(x.outcome)
	}
}

// end is called when the exchange has ended.
func (h *hold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.timer != nil {
		h.timer.Stop()
	}
}
