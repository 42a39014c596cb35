package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Limits of the rules, as the protocol and the acceptance page define them.
const (
	drainGrace          = 250 * time.Millisecond // to stop sending to a server after a notification
	socketGrace         = 50 * time.Millisecond  // added to each time limit that is measured at a socket
	clientCloseGrace    = 100 * time.Millisecond // for an attempt to begin after its client closed the connection
	responseGrace       = 500 * time.Millisecond // for a final response after the request's timeout
	deadlineSlack       = 150 * time.Millisecond // by which the timeout passed to a server may exceed the time left
	notificationBound   = 6 * time.Second        // after which an agent is presumed to be notified of a change
	badClientBound      = 3 * time.Second        // for an error or a close after a bad request
	slowStartRateWindow = 2 * time.Second        // over which the requests to a server in slow start are counted
	acceptsAfterTerm    = 400 * time.Millisecond // for which an agent accepts new connections after SIGTERM
	capacityMargin      = 1.2                    // capacity of a server, relative to its share of all requests
	holdBound           = 2 * time.Second        // for which a part of an answer may be held back
	killMargin          = 700 * time.Millisecond // from the longest deadline to the SIGKILL that follows a SIGTERM
)

// Violation is an observation that breaks a rule.
type Violation struct {
	Rule    string        // the kind of violation
	At      time.Duration // since the run began
	Request string        // the ID of the request; empty: none
	Agent   int           // the number of the agent that got the request
	Text    string
}

// String returns the violation as one line of text.
func (v Violation) String() string {
	line := fmt.Sprintf("%-18s at %6.2fs", v.Rule, v.At.Seconds())
	if v.Request != "" {
		line += fmt.Sprintf(" request %s of agent n%d:", v.Request, v.Agent)
	}
	return line + " " + v.Text
}

// checker holds everything that was recorded in a run, and the violations that the checks found in it.
type checker struct {
	*soakRun
	tolerance   time.Duration        // the uncertainty of each recorded time
	attempts    map[string][]Attempt // by request ID, in the order of arrival
	serverIndex map[string]int       // by server ID
	violations  []Violation
}

// result runs all checks on the recorded events and returns the outcome of the run.
func (r *soakRun) result() Result {
	check := &checker{soakRun: r, attempts: map[string][]Attempt{}, serverIndex: map[string]int{}}
	check.tolerance = 60*time.Millisecond + 3*time.Duration(r.lag.Load()) // when this process is scheduled late, so are the others
	result := Result{Plan: r.plan, Lag: time.Duration(r.lag.Load())}
	for i, s := range r.servers {
		s.mu.Lock()
		for _, id := range s.ids {
			check.serverIndex[id] = i
		}
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
	for _, c := range r.clients {
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
	for _, ag := range r.agents {
		check.checkAgent(ag)
		result.Processes += len(ag.incarnations)
		result.MaxRSS = max(result.MaxRSS, ag.maxRSS)
	}
	check.checkDrains()
	check.checkNotified()
	check.checkSlowStarts()
	result.Violations = append(r.violations, check.violations...)
	slices.SortStableFunc(result.Violations, func(x, y Violation) int { return int(x.At - y.At) })
	return result
}

// report adds a violation at a time of the monotonic clock. request is nil if the violation concerns no single request.
func (check *checker) report(rule string, at time.Duration, request *Request, format string, args ...any) {
	violation := Violation{Rule: rule, At: at - check.startedAt, Text: fmt.Sprintf(format, args...)}
	if request != nil {
		violation.Request, violation.Agent = request.ID, request.Agent
	}
	check.violations = append(check.violations, violation)
}

// incarnationOf returns the process of the agent that a request was sent to.
func (check *checker) incarnationOf(request *Request) *agentIncarnation {
	return check.agents[request.Agent].incarnations[max(request.Incarnation, 1)-1]
}

// pausedWithin returns how long the agent was paused between two times.
func pausedWithin(incarnation *agentIncarnation, from, to time.Duration) (sum time.Duration) {
	for _, s := range incarnation.paused {
		sum += max(0, min(to, s.to)-max(from, s.from))
	}
	return sum
}

// disturbed reports whether, between two times, the agent was paused or stalled, the server was paused, or a fault affected the path to
// the server.
func (check *checker) disturbed(incarnation *agentIncarnation, server int, from, to time.Duration) bool {
	margin := 300 * time.Millisecond
	for _, s := range append(slices.Clone(incarnation.paused), incarnation.stalls...) {
		if s.overlaps(from, to, margin) {
			return true
		}
	}
	s := check.servers[server]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.paused { // a paused server reads late what arrived in time
		if p.overlaps(from, to, margin) {
			return true
		}
	}
	if path := check.relayPaths[server]; path != nil {
		path.mu.Lock()
		defer path.mu.Unlock()
		for _, p := range path.disturbed {
			if p.overlaps(from, to, margin) {
				return true
			}
		}
	}
	return false
}
