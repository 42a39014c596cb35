package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Figures of the rules, as the protocol and the acceptance page have them.
const (
	drainGrace          = 250 * time.Millisecond // to stop sending after a notification
	socketGrace         = 50 * time.Millisecond  // more for each time limit on sockets
	clientCloseGrace    = 100 * time.Millisecond // for an attempt after its client left
	answerGrace         = 500 * time.Millisecond // for a final answer past its time
	deadlineSlack       = 150 * time.Millisecond // of the deadline passed on
	notificationBound   = 6 * time.Second        // after which an agent counts as notified of a change
	badClientBound      = 3 * time.Second        // for an error or a close
	slowStartRateWindow = 2 * time.Second        // over which a server in slow start is counted
	acceptsAfterTerm    = 400 * time.Millisecond // for which new connections are accepted after SIGTERM
	capacityMargin      = 1.2                    // of a server, over its part of all requests
	maxAgentRSS         = agentMemory << 20
)

// Violation is a broken rule.
type Violation struct {
	Rule    string
	At      time.Duration // since the run began
	Request string
	Agent   int
	Text    string
}

// String returns it in a line.
func (v Violation) String() string {
	line := fmt.Sprintf("%-18s at %6.2fs", v.Rule, v.At.Seconds())
	if v.Request != "" {
		line += fmt.Sprintf(" request %s of agent n%d:", v.Request, v.Agent)
	}
	return line + " " + v.Text
}

// checker holds all that was noted in a run, and the violations found in it.
type checker struct {
	*soakRun
	tolerance   time.Duration // no time is more exact than that
	attempts    map[string][]Attempt
	serverIndex map[string]int
	violations  []Violation
}

// result checks what was noted.
func (p *soakRun) result() Result {
	check := &checker{soakRun: p, attempts: map[string][]Attempt{}, serverIndex: map[string]int{}}
	check.tolerance = 60*time.Millisecond + 3*time.Duration(p.lag.Load()) // where this process is late, the others are
	result := Result{Plan: p.plan, Lag: time.Duration(p.lag.Load())}
	for i, s := range p.servers {
		s.mu.Lock()
		check.serverIndex[s.id] = i
		result.Attempts += len(s.attempts)
		result.Processes += s.instance
		for _, attempt := range s.attempts {
			if attempt.Request != "" {
				check.attempts[attempt.Request] = append(check.attempts[attempt.Request], attempt)
			}
		}
		s.mu.Unlock()
	}
	for _, attempts := range check.attempts {
		sort.Slice(attempts, func(i, j int) bool { return attempts[i].FirstByteAt < attempts[j].FirstByteAt })
	}
	for _, c := range p.clients {
		for _, request := range c.requests {
			result.Requests++
			if request.Complete {
				result.Answered++
			}
			if request.Complete && request.Status == 200 {
				result.Served++
			}
			check.checkRequest(request, c)
		}
	}
	for _, ag := range p.agents {
		check.checkAgent(ag)
		result.Processes += len(ag.incarnations)
		result.MaxRSS = max(result.MaxRSS, ag.maxRSS)
	}
	check.checkDrains()
	check.checkNotified()
	check.checkSlowStarts()
	result.Violations = append(p.violations, check.violations...)
	slices.SortStableFunc(result.Violations, func(x, y Violation) int { return int(x.At - y.At) })
	return result
}

func (a *checker) report(rule string, at time.Duration, request *Request, format string, args ...any) {
	violation := Violation{Rule: rule, At: at - a.startedAt, Text: fmt.Sprintf(format, args...)}
	if request != nil {
		violation.Request, violation.Agent = request.ID, request.Agent
	}
	a.violations = append(a.violations, violation)
}

// incarnationOf is the agent's process that a request was sent to.
func (a *checker) incarnationOf(request *Request) *agentIncarnation {
	return a.agents[request.Agent].incarnations[max(request.Incarnation, 1)-1]
}

// pausedWithin is for how long the agent was paused between two times.
func pausedWithin(incarnation *agentIncarnation, from, to time.Duration) (sum time.Duration) {
	for _, s := range incarnation.paused {
		sum += max(0, min(to, s.to)-max(from, s.from))
	}
	return sum
}

// disturbed reports whether the agent was paused or held up, or the way to the server shaped, in a time.
func (a *checker) disturbed(incarnation *agentIncarnation, server int, from, to time.Duration) bool {
	margin := 300 * time.Millisecond
	for _, s := range append(slices.Clone(incarnation.paused), incarnation.stalls...) {
		if s.overlaps(from, to, margin) {
			return true
		}
	}
	s := a.servers[server]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.paused { // it reads late what came in time
		if p.overlaps(from, to, margin) {
			return true
		}
	}
	if way := a.paths[server]; way != nil {
		way.mu.Lock()
		defer way.mu.Unlock()
		for _, p := range way.disturbed {
			if p.overlaps(from, to, margin) {
				return true
			}
		}
	}
	return false
}
