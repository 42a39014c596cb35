package logic

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Deadlines: each open request ends at its deadline at the latest, and all of them at shutdown.

// deadlineTimer is one timer for the deadlines of all requests. A timer for each request would wake the
// process as often as requests arrive, long after most of them are answered.
//
// Invariant: while the queue is not empty, a timer is set for its earliest deadline or an earlier time. A
// timer that is replaced can't be cancelled; it fires with the token of an earlier number and is ignored.
type deadlineTimer struct {
	queue     deadlineQueue // requests with a deadline that have not ended
	setFor    time.Duration // when the latest timer fires; 0 when none is set
	timersSet uint64        // number of timers so far, which is also that of the latest
}

func (d *deadlineTimer) latestToken() uint64 { return deadlineToken + d.timersSet }

// watchDeadline makes sure that the request ends at its deadline.
func (b *Balancer) watchDeadline(r *request) {
	heap.Push(&b.deadlines.queue, r)
	b.setDeadlineTimer()
}

// setDeadlineTimer sets the timer for the earliest deadline, unless one is set for that time or an earlier
// one.
func (b *Balancer) setDeadlineTimer() {
	d := &b.deadlines
	if len(d.queue) > 0 && (d.setFor == 0 || d.queue[0].Deadline < d.setFor) {
		d.timersSet++
		d.setFor = d.queue[0].Deadline
		b.setTimer(d.latestToken(), d.setFor-b.now)
	}
}

// expireRequests ends the requests whose deadline has passed, and sets the next timer.
func (b *Balancer) expireRequests() {
	d := &b.deadlines
	for len(d.queue) > 0 && d.queue[0].Deadline <= b.now {
		b.finish(d.queue[0], DeadlineExceeded) // which removes it from the queue
	}
	d.setFor = 0
	b.setDeadlineTimer()
}

// shutDown ends all open requests, by ID, and from now on each request that arrives.
func (b *Balancer) shutDown() {
	b.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		b.finish(b.requests[id], ShuttingDown)
	}
}

// deadlineQueue is a heap of requests by deadline, and by ID where that is equal. A request knows its
// index, so that it can be removed when it ends.
type deadlineQueue []*request

func (q deadlineQueue) Len() int { return len(q) }

func (q deadlineQueue) Less(i, j int) bool {
	return q[i].Deadline < q[j].Deadline || q[i].Deadline == q[j].Deadline && q[i].ID < q[j].ID
}

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push is for container/heap.
func (q *deadlineQueue) Push(x any) {
	r := x.(*request)
	r.queued, r.queueIndex = true, len(*q)
	*q = append(*q, r)
}

// Pop is for container/heap.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.queued = false
	return r
}
