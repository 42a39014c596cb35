package logic

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Deadlines: the wait for the response to a request ends at its deadline, and for all requests at shutdown.
// A response that is under way then is forwarded. If there is none, the request ends.

// deadlineTimer is one timer for the deadlines of all requests. One timer per request would wake the
// process as often as requests arrive, mostly for requests that ended long before.
//
// Invariant: while the queue is not empty, a timer is set for its earliest deadline or an earlier time. A
// replaced timer can't be cancelled; when it fires, it is ignored because its token has a lower number.
type deadlineTimer struct {
	queue      deadlineQueue // open requests that have a deadline
	firesAt    time.Duration // when the latest timer fires; 0: no timer is set
	timerCount uint64        // timers set so far, which is also the number of the latest one
}

func (d *deadlineTimer) latestToken() uint64 { return deadlineToken + d.timerCount }

// watchDeadline adds the request to the queue, so that it ends at its deadline.
func (b *Balancer) watchDeadline(r *request) {
	heap.Push(&b.deadlines.queue, r)
	b.setDeadlineTimer()
}

// setDeadlineTimer sets the timer for the earliest deadline, unless one is set for that time or earlier.
func (b *Balancer) setDeadlineTimer() {
	d := &b.deadlines
	if len(d.queue) > 0 && (d.firesAt == 0 || d.queue[0].Deadline < d.firesAt) {
		d.timerCount++
		d.firesAt = d.queue[0].Deadline
		b.setTimer(d.latestToken(), d.firesAt-b.now)
	}
}

// expireRequests ends the requests whose deadline has passed, and sets the next timer.
func (b *Balancer) expireRequests() {
	d := &b.deadlines
	for len(d.queue) > 0 && d.queue[0].Deadline <= b.now {
		b.endWait(d.queue[0], DeadlineExceeded) // also removes it from the queue
	}
	d.firesAt = 0
	b.setDeadlineTimer()
}

// endWait ends the wait for the response to a request. A response that is under way is forwarded: the
// deadline limits the wait for it, and not the time that its endpoint takes to give it.
func (b *Balancer) endWait(r *request, reason Reason) {
	a := r.responseUnderWay()
	if r.closed || a == nil {
		b.finish(r, reason)
		return
	}
	if r.queued {
		heap.Remove(&b.deadlines.queue, r.queueIndex)
	}
	if a != r.forwarded {
		r.forwarded, r.endReason = a, reason
		number := slices.Index(r.attempts, a)
		b.emit(Action{Kind: Forward, Reason: reason, Request: r.ID, Attempt: number})
	}
}

// shutDown ends the wait of all open requests in the order of their IDs. Requests that arrive later end at
// once.
func (b *Balancer) shutDown() {
	b.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		b.endWait(b.requests[id], ShuttingDown)
	}
}

// deadlineQueue is a heap of requests, ordered by deadline and then by ID. Each request stores its index,
// so that it can be removed when it ends.
type deadlineQueue []*request

func (q deadlineQueue) Len() int { return len(q) }

func (q deadlineQueue) Less(i, j int) bool {
	return q[i].Deadline < q[j].Deadline || q[i].Deadline == q[j].Deadline && q[i].ID < q[j].ID
}

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	r := x.(*request)
	r.queued, r.queueIndex = true, len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.queued = false
	return r
}
