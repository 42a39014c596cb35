package node

import (
	"slices"
	"time"
)

const (
	completionTolerance = 1e-9 // remaining work, in seconds, that counts as rounding error
	minWorkFactor       = 0.05 // WorkNoise does not reduce a request's work below this fraction of its cost
	failedAfterEffect   = 0.5  // fraction of the requests failed by FastFail or ResetConn that have taken effect
)

// Offer submits a request that has been received completely. For a request that is not accepted, executed reports whether it has
// taken effect nevertheless.
func (n *Node) Offer(now time.Duration, work Work) (verdict Verdict, executed bool) {
	n.advanceTo(now)
	n.figures.Offered++
	n.countSlowStart(work)
	switch {
	case n.Unresponsive():
		return NoResponse, false
	case n.faultActive(Drain) || work.Deadline > 0 && now >= work.Deadline || !n.HasCapacity():
		n.figures.Rejected++
		n.recentRejections = append(n.recentRejections, now)
		return Rejected, false
	case n.draw(n.faultSize(FastFail)):
		n.figures.Failed++
		return FailedFast, n.draw(failedAfterEffect)
	case n.draw(n.faultSize(ResetConn)):
		n.figures.Failed++
		return ConnReset, n.draw(failedAfterEffect)
	}
	n.queue = append(n.queue, &workItem{Work: work})
	n.startQueued()
	return Accepted, false
}

// Cancel reports that the client of a request has disconnected. A queued request is dropped. An executing one is aborted unless
// RunsCancelled is set.
func (n *Node) Cancel(now time.Duration, ticket uint64) {
	n.advanceTo(now)
	isTicket := func(item *workItem) bool { return item.Ticket == ticket }
	if i := slices.IndexFunc(n.queue, isTicket); i >= 0 {
		n.queue = slices.Delete(n.queue, i, i+1)
		n.figures.Cancelled++
		return
	}
	if i := slices.IndexFunc(n.running, isTicket); i >= 0 && !n.RunsCancelled {
		done := n.running[i].workTime()
		n.figures.Work += done
		n.figures.Wasted += done
		n.figures.Cancelled++
		n.running = slices.Delete(n.running, i, i+1)
		n.startQueued()
	}
}

// workTime returns the work done so far, as time on a core of speed 1.
func (item *workItem) workTime() time.Duration { return time.Duration(item.workDone * 1e9) }

// startQueued starts queued requests in free slots, oldest first. Requests whose deadline has passed are dropped unless
// RunsExpired is set.
func (n *Node) startQueued() {
	for len(n.running) < n.slots() && len(n.queue) > 0 {
		item := n.queue[0]
		n.queue = n.queue[1:]
		if item.Deadline > 0 && n.now >= item.Deadline && !n.RunsExpired {
			n.figures.Expired++
			n.completions = append(n.completions, Completion{Ticket: item.Ticket, At: n.now, Expired: true})
			continue
		}
		item.remaining = item.Cost.Seconds() * max(minWorkFactor, 1+n.WorkNoise*n.rng.NormFloat64())
		if n.keys.recent(item.Key, n.now) {
			item.remaining *= 1 - n.Affinity.Saving
		}
		n.running = append(n.running, item)
		n.started = append(n.started, item.Ticket)
	}
}

// completeFinished completes the requests that have no remaining work.
func (n *Node) completeFinished() {
	for i := 0; i < len(n.running); {
		item := n.running[i]
		if item.remaining > completionTolerance {
			i++
			continue
		}
		n.running = slices.Delete(n.running, i, i+1)
		n.complete(item)
	}
}

func (n *Node) complete(item *workItem) {
	done := item.workTime()
	n.figures.Work += done
	n.reports.completed++
	completion := Completion{Ticket: item.Ticket, At: n.now, OK: !n.draw(n.ErrorRate), WorkDone: done}
	if completion.OK {
		n.figures.Served++
	} else {
		n.figures.Failed++
		n.figures.Wasted += done
	}
	switch {
	case n.draw(n.faultSize(MalformedResponse)):
		completion.Form = Malformed
	case n.draw(n.faultSize(OversizedResponse)):
		completion.Form = Oversized
	}
	completion.At += time.Duration(n.faultSize(DelayedResponse) * 1e9)
	n.keys.remember(item.Key, n.now)
	n.completions = append(n.completions, completion)
}
