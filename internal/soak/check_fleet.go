package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// checkAgent: a process runs until it gets SIGTERM or SIGKILL, and its own counts of violated invariants are 0.
func (a *checker) checkAgent(subject *agent) {
	subject.mu.Lock()
	defer subject.mu.Unlock()
	for _, incarnation := range subject.incarnations {
		if incarnation.endedAt > 0 && incarnation.termAt == 0 && incarnation.killedAt == 0 {
			a.report("crash", incarnation.endedAt, nil, "process %d of agent %s ended by itself: %v", incarnation.number, subject.name, incarnation.exitErr)
		}
		if incarnation.endedAt > 0 && incarnation.termAt > 0 && incarnation.killedAt == 0 && incarnation.exitErr != nil {
			a.report("crash", incarnation.endedAt, nil, "process %d of agent %s after SIGTERM: %v", incarnation.number, subject.name, incarnation.exitErr)
		}
	}
	stalled := slices.ContainsFunc(subject.incarnations, func(l *agentIncarnation) bool { return len(l.stalls)+len(l.paused) > 0 })
	for what, n := range subject.invariantViolations {
		// A pause explains an overdue outcome, and no agent can see a stall between its last check and a write.
		explained := strings.Contains(what, "overdue") || stalled && (strings.Contains(what, "send_after") || strings.Contains(what, "overstated"))
		if n > 0 && !explained {
			a.report("invariant", a.startedAt, nil, "agent %s: %s, %d times", subject.name, what, n)
		}
	}
	if subject.maxRSS > maxAgentRSS {
		a.report("memory", a.startedAt, nil, "agent %s held %d MB", subject.name, subject.maxRSS>>20)
	}
}

// checkDrains: nothing new goes to a server once its agent counts as notified that it takes nothing new.
func (a *checker) checkDrains() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for _, c := range a.clients {
		for _, request := range c.requests {
			for _, attempt := range a.attempts[request.ID] {
				a.checkDrain(request, attempt)
			}
		}
	}
}

func (a *checker) checkDrain(request *Request, attempt Attempt) {
	incarnation := a.incarnationOf(request)
	notifiedAt, reason := time.Duration(0), ""
	for _, n := range a.registry.notices { // the latest notification before the attempt
		if n.agent == request.Agent && n.server == attempt.Backend && n.at <= attempt.FirstByteAt {
			notifiedAt, reason = 0, ""
			if !n.acceptsNew {
				notifiedAt, reason = n.at, "it was notified"
			}
		}
	}
	if notifiedAt == 0 {
		notifiedAt, reason = a.presumedNotified(request, attempt, incarnation)
	}
	after := attempt.FirstByteAt - notifiedAt
	if notifiedAt == 0 || after <= drainGrace+socketGrace+a.tolerance || a.disturbed(incarnation, a.serverIndex[attempt.Backend], notifiedAt, attempt.FirstByteAt) {
		return
	}
	a.report("drain", attempt.FirstByteAt, request, "sent to %s %v after %s", attempt.Backend, after.Round(time.Millisecond), reason)
}

// presumedNotified returns when an agent counts as notified of a server's change, whether or not it polled for it: notificationBound after it
// could have; 0 for never. An agent that doesn't poll must not be free to go on sending.
func (a *checker) presumedNotified(request *Request, attempt Attempt, incarnation *agentIncarnation) (time.Duration, string) {
	var change time.Duration
	for _, n := range a.registry.changes {
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
	for _, d := range a.agents[request.Agent].discoveries {
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
	return from + notificationBound, fmt.Sprintf("it counts as notified of what changed at %.2fs", (change - a.startedAt).Seconds())
}

// checkNotified: an agent that runs and can reach discovery is notified of a change within notificationBound.
func (a *checker) checkNotified() {
	end := monotonic()
	for _, subject := range a.agents {
		for _, change := range a.registry.changes {
			notified := slices.ContainsFunc(a.registry.notices, func(n notice) bool {
				return n.agent == subject.number && n.server == change.server && n.at >= change.at && n.at <= change.at+notificationBound+a.tolerance
			})
			if !notified && change.at+notificationBound+a.tolerance < end && a.couldBeNotified(subject, change.at, change.at+notificationBound) {
				a.report("not notified", change.at+notificationBound, nil, "agent %s has not polled for the change of %s at %.2fs", subject.name, change.server, (change.at - a.startedAt).Seconds())
				break // the changes that follow are of the same silence
			}
		}
	}
}

// couldBeNotified reports whether an agent ran and had discovery in all of a time, and for a watch's time before it.
func (a *checker) couldBeNotified(subject *agent, from, to time.Duration) bool {
	const margin = 4 * time.Second // how long a watch that began within a fault may last
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

// checkSlowStarts: a server in slow start gets no more than its budget from all agents together.
func (a *checker) checkSlowStarts() {
	capacity := capacityMargin * a.plan.Rate * float64(a.plan.Agents) / float64(a.plan.Servers)
	for _, s := range a.servers {
		s.mu.Lock()
		for n, started := range s.slowStarts {
			if started == 0 {
				continue
			}
			var arrivals []time.Duration
			for _, attempt := range s.attempts {
				if attempt.Instance == n+1 && attempt.FirstByteAt-started < a.plan.SlowStartWindow {
					arrivals = append(arrivals, attempt.FirstByteAt)
				}
			}
			a.checkSlowStart(s.id, started, arrivals, capacity)
		}
		s.mu.Unlock()
	}
}

func (a *checker) checkSlowStart(id string, started time.Duration, arrivals []time.Duration, capacity float64) {
	slices.Sort(arrivals)
	from := 0
	for i, at := range arrivals {
		for at-arrivals[from] > slowStartRateWindow {
			from++
		}
		age := float64(at-started) / float64(a.plan.SlowStartWindow)
		fraction := a.plan.SlowStartInitialFraction + (1-a.plan.SlowStartInitialFraction)*min(1, age)
		n := a.plan.OverloadFactor * capacity * fraction * slowStartRateWindow.Seconds()
		budget := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			budget = n + 3*math.Sqrt(n) + 3
		}
		if got := float64(i - from + 1); got > budget {
			a.report("slow start", at, nil, "%s, %.1fs after its start: %.0f requests in %v, %.1f are its budget", id, (at - started).Seconds(), got, slowStartRateWindow, budget)
			return
		}
	}
}
