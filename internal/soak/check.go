package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"ryeweir/internal/httpmsg"
)

// Figures of the rules, as the protocol and the acceptance page have them.
const (
	drainGrace    = 250 * time.Millisecond // to stop sending after a notification
	socketGrace   = 50 * time.Millisecond  // more for each time limit on sockets
	leaveGrace    = 100 * time.Millisecond // for an attempt after its client left
	answerGrace   = 500 * time.Millisecond // for a final answer past its time
	deadlineSlack = 150 * time.Millisecond // of the deadline passed on
	notifiedIn    = 6 * time.Second        // a change counts as told so long after it could be had
	badClientIn   = 3 * time.Second        // for an error or a close
	fallWindow    = 2 * time.Second        // over which a server in slow start is counted
	acceptsFor    = 400 * time.Millisecond // new connections come for so long after SIGTERM
	capacityOver  = 1.2                    // of a server, over its part of all requests
	overMemory    = agentMemory << 20
)

// Violation is a broken rule.
type Violation struct {
	Rule    string
	At      time.Duration // since the play began
	Request string
	Agent   int
	Text    string
}

// String tells it in a line.
func (v Violation) String() string {
	line := fmt.Sprintf("%-18s at %6.2fs", v.Rule, v.At.Seconds())
	if v.Request != "" {
		line += fmt.Sprintf(" request %s of agent n%d:", v.Request, v.Agent)
	}
	return line + " " + v.Text
}

// account is all that was noted in a play, for the checks.
type account struct {
	*play
	slack    time.Duration // no time is more exact than that
	attempts map[string][]Attempt
	server   map[string]int
	found    []Violation
}

// result checks what was noted.
func (p *play) result() Result {
	a := &account{play: p, attempts: map[string][]Attempt{}, server: map[string]int{}}
	a.slack = 60*time.Millisecond + 3*time.Duration(p.lag.Load()) // where this process is late, the others are
	r := Result{Plan: p.plan, Lag: time.Duration(p.lag.Load())}
	for i, s := range p.servers {
		s.mu.Lock()
		a.server[s.id] = i
		r.Attempts += len(s.attempts)
		r.Processes += s.instance
		for _, attempt := range s.attempts {
			if attempt.Request != "" {
				a.attempts[attempt.Request] = append(a.attempts[attempt.Request], attempt)
			}
		}
		s.mu.Unlock()
	}
	for _, of := range a.attempts {
		sort.Slice(of, func(i, j int) bool { return of[i].FirstByteAt < of[j].FirstByteAt })
	}
	for _, c := range p.callers {
		for _, q := range c.requests {
			r.Requests++
			if q.Complete {
				r.Answered++
			}
			if q.Complete && q.Status == 200 {
				r.Served++
			}
			a.checkRequest(q, c)
		}
	}
	for _, ag := range p.agents {
		a.checkAgent(ag)
		r.Processes += len(ag.lives)
		r.MostRSS = max(r.MostRSS, ag.mostRSS)
	}
	a.checkDrains()
	a.checkNotified()
	a.checkStarts()
	r.Violations = append(p.problems, a.found...)
	slices.SortStableFunc(r.Violations, func(x, y Violation) int { return int(x.At - y.At) })
	return r
}

func (a *account) violated(rule string, at time.Duration, q *Request, format string, args ...any) {
	v := Violation{Rule: rule, At: at - a.began, Text: fmt.Sprintf(format, args...)}
	if q != nil {
		v.Request, v.Agent = q.ID, q.Agent
	}
	a.found = append(a.found, v)
}

// lifeOf is the agent's process that a request was sent to.
func (a *account) lifeOf(q *Request) *agentLife {
	return a.agents[q.Agent].lives[max(q.Incarnation, 1)-1]
}

// stopped is for how long the agent was paused between two times.
func stopped(life *agentLife, from, to time.Duration) (sum time.Duration) {
	for _, s := range life.paused {
		sum += max(0, min(to, s.to)-max(from, s.from))
	}
	return sum
}

// disturbed reports whether the agent was paused or held up, or the way to the server shaped, in a time.
func (a *account) disturbed(life *agentLife, server int, from, to time.Duration) bool {
	margin := 300 * time.Millisecond
	for _, s := range append(slices.Clone(life.paused), life.holds...) {
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
		for _, p := range way.shaped {
			if p.overlaps(from, to, margin) {
				return true
			}
		}
	}
	return false
}

// checkRequest holds one request against the rules.
func (a *account) checkRequest(q *Request, c *callers) {
	i := slices.IndexFunc(a.plan.Classes, func(cl class) bool { return cl.name == q.Class })
	cl := a.plan.Classes[i]
	of := a.attempts[q.ID]
	a.checkRepeats(q, cl, of)
	switch {
	case q.ConnectErr:
		a.checkRefused(q)
	case q.Behavior == malformed || q.StoppedAt > 0:
		a.checkBadClient(q, of)
	case q.ClosedAt > 0:
		a.checkLeft(q, of)
	case q.SentAt > 0:
		a.checkAnswer(q, of)
		a.checkStated(q, of)
	}
}

// checkAnswer: a request that was sent whole gets its one final answer in its time, and nothing but what a server made for it.
func (a *account) checkAnswer(q *Request, of []Attempt) {
	life := a.lifeOf(q)
	if life.killed > 0 && life.killed <= q.EndedAt+a.slack {
		return
	}
	for _, f := range life.faults { // for the agent the client's connection broke
		if q.Status == 0 && f.overlaps(q.SentAt-time.Second, q.EndedAt, 0) {
			return
		}
	}
	end := q.EndedAt
	if flows := q.BodyBytes > httpmsg.MaxBufferedBytes || !q.Complete; flows && q.AnswerStartedAt > 0 {
		end = q.AnswerStartedAt // what has begun in time may go on for as long as its server gives it, and fail with it
	}
	late := end - stopped(life, q.SentAt, end) - q.SentAt - q.Timeout
	switch {
	case q.Err == lateAnswer && late <= answerGrace+a.slack: // its client gave up while the agent was paused
	case late > answerGrace+a.slack: // a client that got none gives up long after that
		a.violated("late", q.EndedAt, q, "%s: %v after its time of %v (%s)", q.Behavior, late.Round(time.Millisecond), q.Timeout, q.outcome())
	case q.Status == 200 && q.Complete:
		if !slices.ContainsFunc(of, func(at Attempt) bool { return at.Answer == q.Body }) {
			a.violated("wrong answer", q.EndedAt, q, "served %q, which no server made for it", q.Body)
		}
	case q.Complete:
	case q.Status > 0:
		if !slices.ContainsFunc(of, a.brokenByServer) {
			a.violated("broken answer", q.EndedAt, q, "%s: answer %d broke off after %d bytes: %s", q.Behavior, q.Status, q.BodyBytes, q.Err)
		}
	case life.term > 0 && q.ConnectionUses == 0 && q.SentAt > life.term+acceptsFor:
	case q.ConnectionUses > 0 && !q.Resent: // the close crossed it; it was sent again
	case a.wasCrowded(q) && len(of) == 0:
	default:
		a.violated("lost", q.EndedAt, q, "%s in class %s, %d requests before it on %s: no answer (%s), %d attempts", q.Behavior, q.Class, q.ConnectionUses, q.LocalAddr, q.Err, len(of))
	}
}

func (r *Request) outcome() string {
	if r.Err != "" {
		return r.Err
	}
	return fmt.Sprintf("status %d", r.Status)
}

// brokenByServer reports whether a server or its path, and not the agent, may have broken an answer off.
func (a *account) brokenByServer(at Attempt) bool {
	switch at.Mode {
	case ResetWithin, NeverEnds, NoLength, LongAnswer, Chunked:
		return true
	}
	s := a.servers[a.server[at.Backend]]
	return s.instance > at.Instance || a.paths[a.server[at.Backend]] != nil
}

func (a *account) wasCrowded(q *Request) bool {
	return slices.ContainsFunc(a.crowded[q.Agent], func(s span) bool { return s.overlaps(q.SentAt-time.Second, q.EndedAt, time.Second) })
}

// checkRefused: an agent that serves takes connections.
func (a *account) checkRefused(q *Request) {
	for _, life := range a.agents[q.Agent].lives {
		serving := life.ready > 0 && life.ready < q.EndedAt-2*time.Second
		over := life.term > 0 || life.killed > 0 || life.ended > 0
		if serving && !over && stopped(life, q.EndedAt-4*time.Second, q.EndedAt) == 0 && !a.wasCrowded(q) {
			a.violated("no connection", q.EndedAt, q, "%s", q.Err)
		}
	}
}

// checkBadClient: it gets an error or a close in time, and nothing of it runs.
func (a *account) checkBadClient(q *Request, of []Attempt) {
	from := max(q.SentAt, q.StoppedAt)
	took := q.EndedAt - from - stopped(a.lifeOf(q), from, q.EndedAt)
	if from > 0 && took > badClientIn+a.slack {
		a.violated("bad client", q.EndedAt, q, "%s waited %v (%s)", q.Behavior, took.Round(time.Millisecond), q.outcome())
	}
	if q.Status == 200 {
		a.violated("bad client", q.EndedAt, q, "%s was served", q.Behavior)
	}
	for _, at := range of {
		if at.CompleteAt > 0 {
			a.violated("bad client", at.CompleteAt, q, "%s was sent on to %s", q.Behavior, at.Backend)
		}
	}
}

// checkLeft: nothing begins for a client that has left.
func (a *account) checkLeft(q *Request, of []Attempt) {
	life := a.lifeOf(q)
	for n, at := range of {
		if after := at.FirstByteAt - q.ClosedAt; after > leaveGrace+a.slack && !a.disturbed(life, a.server[at.Backend], q.ClosedAt, at.FirstByteAt) {
			a.violated("sent after leave", at.FirstByteAt, q, "%s: attempt %d at %s began %v after its client left", q.Behavior, n, at.Backend, after.Round(time.Millisecond))
		}
	}
}

// checkRepeats: what may have run goes out again only where its class allows.
func (a *account) checkRepeats(q *Request, cl class, of []Attempt) {
	if q.Resent && slices.ContainsFunc(a.lifeOf(q).faults, func(f span) bool { return f.overlaps(q.SentAt-2*time.Second, q.EndedAt, 0) }) {
		return // a read that was made to fail ended the connection of the first: for the agent that client had left
	}
	var first *Attempt
	for n := range of {
		at := &of[n]
		if at.CompleteAt == 0 {
			continue
		}
		if first != nil {
			after := at.FirstByteAt - first.FirstByteAt
			switch {
			case cl.effect == once:
				a.violated("duplicate", at.FirstByteAt, q, "%s: a second copy at %s %v after that at %s (%s)", q.Behavior, at.Backend, after.Round(time.Millisecond), first.Backend, first.Mode)
			case cl.effect == byKey && after > cl.window+socketGrace+a.slack && !a.disturbed(a.lifeOf(q), a.server[at.Backend], first.FirstByteAt, at.FirstByteAt):
				a.violated("duplicate", at.FirstByteAt, q, "%s: a second copy at %s %v after the first, outside the window of %v", q.Behavior, at.Backend, after.Round(time.Millisecond), cl.window)
			}
		}
		if at.Processed && first == nil {
			first = at
		}
	}
}

// checkStated: a server is told of no more time than the client has left.
func (a *account) checkStated(q *Request, of []Attempt) {
	life := a.lifeOf(q)
	for _, at := range of {
		left := q.SentAt + q.Timeout - at.FirstByteAt
		if over := at.StatedTimeout - left; at.StatedTimeout > 0 && over > deadlineSlack+a.slack && !a.disturbed(life, a.server[at.Backend], q.SentAt, at.FirstByteAt) {
			a.violated("deadline", at.FirstByteAt, q, "%s: %s was told of %v with %v left", q.Behavior, at.Backend, at.StatedTimeout, left.Round(time.Millisecond))
		}
	}
}

// checkAgent: it lives until it is told to end, and its own counts of broken rules are 0.
func (a *account) checkAgent(ag *agent) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	for _, life := range ag.lives {
		if life.ended > 0 && life.term == 0 && life.killed == 0 {
			a.violated("crash", life.ended, nil, "process %d of agent %s ended by itself: %v", life.number, ag.name, life.exit)
		}
		if life.ended > 0 && life.term > 0 && life.killed == 0 && life.exit != nil {
			a.violated("crash", life.ended, nil, "process %d of agent %s after SIGTERM: %v", life.number, ag.name, life.exit)
		}
	}
	held := slices.ContainsFunc(ag.lives, func(l *agentLife) bool { return len(l.holds)+len(l.paused) > 0 })
	for what, n := range ag.violated {
		// A pause explains an overdue outcome, and no agent can see that it is held up between its last look and a write.
		explained := strings.Contains(what, "overdue") || held && (strings.Contains(what, "send_after") || strings.Contains(what, "overstated"))
		if n > 0 && !explained {
			a.violated("invariant", a.began, nil, "agent %s: %s, %d times", ag.name, what, n)
		}
	}
	if ag.mostRSS > overMemory {
		a.violated("memory", a.began, nil, "agent %s held %d MB", ag.name, ag.mostRSS>>20)
	}
}

// checkDrains: nothing new goes to a server once its agent counts as notified that it takes nothing new.
func (a *account) checkDrains() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for _, c := range a.callers {
		for _, q := range c.requests {
			for _, at := range a.attempts[q.ID] {
				a.checkDrain(q, at)
			}
		}
	}
}

func (a *account) checkDrain(q *Request, at Attempt) {
	life := a.lifeOf(q)
	told, by := time.Duration(0), ""
	for _, n := range a.registry.notices { // the latest word that came before the attempt
		if n.agent == q.Agent && n.server == at.Backend && n.at <= at.FirstByteAt {
			told, by = 0, ""
			if !n.takesNew {
				told, by = n.at, "it was told"
			}
		}
	}
	if told == 0 {
		told, by = a.countsAsTold(q, at, life)
	}
	after := at.FirstByteAt - told
	if told == 0 || after <= drainGrace+socketGrace+a.slack || a.disturbed(life, a.server[at.Backend], told, at.FirstByteAt) {
		return
	}
	a.violated("drain", at.FirstByteAt, q, "sent to %s %v after %s", at.Backend, after.Round(time.Millisecond), by)
}

// countsAsTold is when a change counts as told whether or not it was heard: so long after it could be had.
func (a *account) countsAsTold(q *Request, at Attempt, life *agentLife) (time.Duration, string) {
	var change time.Duration
	for _, n := range a.registry.changes {
		if n.server == at.Backend && n.at <= at.FirstByteAt {
			change = n.at
			if n.takesNew {
				change = 0
			}
		}
	}
	if change == 0 {
		return 0, ""
	}
	from := max(change, life.started)
	for _, d := range a.agents[q.Agent].discos {
		from = max(from, d.reached)
		if d.inTrouble() {
			return 0, ""
		}
	}
	for _, p := range life.paused {
		if p.from < at.FirstByteAt && p.to > from {
			from = p.to
		}
	}
	if from+notifiedIn > at.FirstByteAt {
		return 0, ""
	}
	return from + notifiedIn, fmt.Sprintf("it counts as told of what changed at %.2fs", (change - a.began).Seconds())
}

// checkNotified: an agent that runs and can reach discovery has heard of a change within 6 s.
func (a *account) checkNotified() {
	end := monotonic()
	for _, ag := range a.agents {
		for _, change := range a.registry.changes {
			heard := slices.ContainsFunc(a.registry.notices, func(n notice) bool {
				return n.agent == ag.number && n.server == change.server && n.at >= change.at && n.at <= change.at+notifiedIn+a.slack
			})
			if !heard && change.at+notifiedIn+a.slack < end && a.couldHear(ag, change.at, change.at+notifiedIn) {
				a.violated("not notified", change.at+notifiedIn, nil, "agent %s has not asked for the change of %s at %.2fs", ag.name, change.server, (change.at - a.began).Seconds())
				break // it is the same silence for those that follow
			}
		}
	}
}

// couldHear reports whether an agent ran and had discovery in all of a time, and for a watch's time before it.
func (a *account) couldHear(ag *agent, from, to time.Duration) bool {
	const before = 4 * time.Second // a watch that began in trouble may take so long to end
	runs := false
	for _, life := range ag.lives {
		if life.ready > 0 && life.ready < from && (life.ended == 0 || life.ended > to) && life.term == 0 && life.killed == 0 {
			runs = true
		}
		for _, p := range life.paused {
			if p.overlaps(from-before, to, 0) {
				return false
			}
		}
	}
	for _, d := range ag.discos {
		for _, s := range d.troubled {
			if s.overlaps(from-before, to, 0) {
				return false
			}
		}
	}
	return runs
}

// checkStarts: a server in slow start gets no more than its budget from all agents together.
func (a *account) checkStarts() {
	capacity := capacityOver * a.plan.Rate * float64(a.plan.Agents) / float64(a.plan.Servers)
	for _, s := range a.servers {
		s.mu.Lock()
		for n, started := range s.started {
			if started == 0 {
				continue
			}
			var came []time.Duration
			for _, at := range s.attempts {
				if at.Instance == n+1 && at.FirstByteAt-started < a.plan.SlowStartWindow {
					came = append(came, at.FirstByteAt)
				}
			}
			a.checkStart(s.id, started, came, capacity)
		}
		s.mu.Unlock()
	}
}

func (a *account) checkStart(id string, started time.Duration, came []time.Duration, capacity float64) {
	slices.Sort(came)
	from := 0
	for i, at := range came {
		for at-came[from] > fallWindow {
			from++
		}
		age := float64(at-started) / float64(a.plan.SlowStartWindow)
		share := a.plan.SlowStartInitialFraction + (1-a.plan.SlowStartInitialFraction)*min(1, age)
		n := a.plan.OverloadFactor * capacity * share * fallWindow.Seconds()
		budget := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			budget = n + 3*math.Sqrt(n) + 3
		}
		if got := float64(i - from + 1); got > budget {
			a.violated("slow start", at, nil, "%s, %.1fs after its start: %.0f requests in %v, %.1f are its budget", id, (at - started).Seconds(), got, fallWindow, budget)
			return
		}
	}
}
