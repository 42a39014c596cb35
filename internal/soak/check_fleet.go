package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// checkAgent checks that each process of an agent runs until it gets SIGTERM or SIGKILL, that it exits without an error after SIGTERM,
// that its own counts of violated invariants are 0 and that its resident memory stays within its limit.
func (check *checker) checkAgent(subject *agent) {
	subject.mu.Lock()
	defer subject.mu.Unlock()
	for _, incarnation := range subject.incarnations {
		if incarnation.endedAt > 0 && incarnation.termAt == 0 && incarnation.killedAt == 0 {
			check.report("crash", incarnation.endedAt, nil, "process %d of agent %s exited without a SIGTERM or SIGKILL: %s", incarnation.number, subject.name, exitText(incarnation.exitErr))
		}
		if incarnation.endedAt > 0 && incarnation.termAt > 0 && incarnation.killedAt == 0 && incarnation.exitErr != nil {
			check.report("crash", incarnation.endedAt, nil, "process %d of agent %s exited with an error after SIGTERM: %v", incarnation.number, subject.name, incarnation.exitErr)
		}
	}
	stalled := slices.ContainsFunc(subject.incarnations, func(l *agentIncarnation) bool { return len(l.stalls)+len(l.paused) > 0 })
	for what, n := range subject.invariantViolations {
		// An overdue outcome is excused because a pause explains it. A send after the deadline or the client's disconnect, and an overstated
		// timeout, are excused if there were pauses or stalls: an agent cannot detect a stall between its last check and the write.
		explained := strings.Contains(what, "overdue") || stalled && (strings.Contains(what, "send_after") || strings.Contains(what, "overstated"))
		if n > 0 && !explained {
			check.report("invariant", check.startedAt, nil, "agent %s counted a violated invariant: %s, %d times", subject.name, what, n)
		}
	}
	if limit := int64(check.plan.MemoryMB) << 20; check.opts.MemoryChecked && subject.maxRSS > limit {
		check.report("memory", check.startedAt, nil, "the resident memory of agent %s reached %d MiB", subject.name, subject.maxRSS>>20)
	}
}

// checkDrains checks that an agent sends no attempt to a server that is draining or removed, once the agent was notified or is presumed
// to be notified of that and drainGrace has passed.
func (check *checker) checkDrains() {
	check.registry.mu.Lock()
	defer check.registry.mu.Unlock()
	for _, c := range check.clients {
		for _, request := range c.requests {
			for _, attempt := range check.attempts[request.ID] {
				check.checkDrain(request, attempt)
			}
		}
	}
}

// checkDrain checks the rule of checkDrains for one attempt. It excuses an attempt that a pause, a stall or a shaped path may have delayed.
func (check *checker) checkDrain(request *Request, attempt Attempt) {
	incarnation := check.incarnationOf(request)
	notifiedAt, reason := time.Duration(0), ""
	for _, n := range check.registry.notifications { // the latest notification before the attempt
		if n.agent == request.Agent && n.server == attempt.Backend && n.at <= attempt.FirstByteAt {
			notifiedAt, reason = 0, ""
			if !n.acceptsNew {
				notifiedAt, reason = n.at, "it was notified that the server takes no new requests"
			}
		}
	}
	if notifiedAt == 0 {
		notifiedAt, reason = check.presumedNotified(request, attempt, incarnation)
	}
	after := attempt.FirstByteAt - notifiedAt
	if notifiedAt == 0 || after <= drainGrace+socketGrace+check.tolerance || check.disturbed(incarnation, check.serverIndex[attempt.Backend], notifiedAt, attempt.FirstByteAt) {
		return
	}
	check.report("drain", attempt.FirstByteAt, request, "the agent sent an attempt to server %s %v after %s", attempt.Backend, after.Round(time.Millisecond), reason)
}

// presumedNotified returns the time from which an agent must know that a server takes no new requests, whether or not it has polled, with a
// text for the report. That is notificationBound after the agent could first have polled for the change. The time is 0 if it is later than
// the attempt, if the server takes new requests, or if a discovery service of the agent is faulty. Without this presumption, an agent that
// does not poll could go on sending to the server without a violation.
func (check *checker) presumedNotified(request *Request, attempt Attempt, incarnation *agentIncarnation) (time.Duration, string) {
	var change time.Duration
	for _, n := range check.registry.entryChanges {
		if n.server == attempt.Backend && n.at <= attempt.FirstByteAt {
			change = n.at
			if n.acceptsNew {
				change = 0
			}
		}
	}
	if change == 0 {
		return 0, ""
	}
	from := max(change, incarnation.startedAt)
	for _, d := range check.agents[request.Agent].discoveries {
		from = max(from, d.reachableSince)
		if d.faulty() {
			return 0, ""
		}
	}
	for _, p := range incarnation.paused {
		if p.from < attempt.FirstByteAt && p.to > from {
			from = p.to
		}
	}
	if from+notificationBound > attempt.FirstByteAt {
		return 0, ""
	}
	return from + notificationBound, fmt.Sprintf("the time by which it had to know of the server's change at %.2fs", (change - check.startedAt).Seconds())
}

// checkNotified checks that an agent that runs and can reach its discovery service is notified of each change within notificationBound.
func (check *checker) checkNotified() {
	end := monotonic()
	for _, subject := range check.agents {
		for _, change := range check.registry.entryChanges {
			notified := slices.ContainsFunc(check.registry.notifications, func(n notification) bool {
				return n.agent == subject.number && n.server == change.server && n.at >= change.at && n.at <= change.at+notificationBound+check.tolerance
			})
			if !notified && change.at+notificationBound+check.tolerance < end && check.couldBeNotified(subject, change.at, change.at+notificationBound) {
				check.report("not notified", change.at+notificationBound, nil, "agent %s was not sent the change of server %s at %.2fs by its discovery service in time", subject.name, change.server, (change.at - check.startedAt).Seconds())
				break // later changes are missing for the same reason
			}
		}
	}
}

// couldBeNotified reports whether one process of an agent was ready and running from the first time to the second, and was sent neither
// SIGTERM nor SIGKILL by a fault, not even later. It returns false if the agent was paused or one of its discovery services had an outage
// in that time or shortly before it.
func (check *checker) couldBeNotified(subject *agent, from, to time.Duration) bool {
	const margin = 4 * time.Second // a watch that began during a fault may last this long
	runs := false
	for _, incarnation := range subject.incarnations {
		if incarnation.readyAt > 0 && incarnation.readyAt < from && (incarnation.endedAt == 0 || incarnation.endedAt > to) && incarnation.termAt == 0 && incarnation.killedAt == 0 {
			runs = true
		}
		for _, p := range incarnation.paused {
			if p.overlaps(from-margin, to, 0) {
				return false
			}
		}
	}
	for _, d := range subject.discoveries {
		for _, s := range d.outages {
			if s.overlaps(from-margin, to, 0) {
				return false
			}
		}
	}
	return runs
}

// checkSlowStarts checks that a server in slow start receives no more requests than its budget from all agents together.
func (check *checker) checkSlowStarts() {
	capacity := capacityMargin * check.plan.Rate * float64(check.plan.Agents) / float64(check.plan.Servers)
	for _, s := range check.servers {
		s.mu.Lock()
		for n, started := range s.slowStarts {
			if started == 0 {
				continue
			}
			var arrivals []time.Duration
			for _, attempt := range s.attempts {
				if attempt.Instance == n+1 && attempt.FirstByteAt-started < check.plan.SlowStartWindow {
					arrivals = append(arrivals, attempt.FirstByteAt)
				}
			}
			check.checkSlowStart(s.ids[0], started, arrivals, capacity)
		}
		s.mu.Unlock()
	}
}

// checkSlowStart checks the arrivals at one process of a server against the budget in each slowStartRateWindow. capacity is in requests/s.
// The budget is the number of requests that slow start allows, n, plus a margin for random variation: 2√n + 2, or 3√n + 3 if n < 30.
func (check *checker) checkSlowStart(id string, started time.Duration, arrivals []time.Duration, capacity float64) {
	slices.Sort(arrivals)
	from := 0
	for i, at := range arrivals {
		for at-arrivals[from] > slowStartRateWindow {
			from++
		}
		age := float64(at-started) / float64(check.plan.SlowStartWindow)
		fraction := check.plan.SlowStartInitialFraction + (1-check.plan.SlowStartInitialFraction)*min(1, age)
		n := check.plan.OverloadFactor * capacity * fraction * slowStartRateWindow.Seconds()
		budget := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			budget = n + 3*math.Sqrt(n) + 3
		}
		if got := float64(i - from + 1); got > budget {
			check.report("slow start", at, nil, "server %s, %.1fs after its start, received %.0f requests in %v; its slow-start budget is %.1f", id, (at - started).Seconds(), got, slowStartRateWindow, budget)
			return
		}
	}
}
