package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/node"
	"ryeweir/internal/emulator/referee"
	"ryeweir/logic"
)

type simAttempt struct {
	client      *clientAttempt
	number      int
	node        *simNode
	incarnation *node.Node
	id          string // of the node's life
	sentAt      time.Duration
	over        bool
	ticket      ticket
}

func (s *simulation) handle(a *simAgent, ev logic.Event) {
	if !a.ended {
		s.carryOut(a, a.balancer.Handle(s.clock(), ev))
	}
}

// carryOut carries out the module's actions as the real agent does.
func (s *simulation) carryOut(a *simAgent, actions []logic.Action) {
	for _, act := range slices.Clone(actions) {
		t := s.open[act.Request]
		switch act.Kind {
		case logic.Send:
			if t == nil {
				continue
			}
			to := s.byID[act.Endpoint]
			if a.budget != nil && t.sends > 0 && !a.budget.AllowRetry(s.clock()) {
				n := t.sends
				t.sends++
				t.inFlight++
				s.schedule(s.now, func() {
					s.endAttempt(&simAttempt{client: t, number: n, id: act.Endpoint, sentAt: s.now}, logic.NotSent)
				})
				continue
			}
			if to == nil { // a life that is over
				n := t.sends
				t.sends++
				t.inFlight++
				s.schedule(s.now+watchDelay, func() {
					s.endAttempt(&simAttempt{client: t, number: n, id: act.Endpoint, sentAt: s.now}, logic.ConnectFailed)
				})
				continue
			}
			s.send(t, to, act.Delay)
		case logic.Reject:
			if t != nil {
				if t.sends == 0 {
					s.judgeRejection(a)
				}
				s.answer(t, referee.Rejected, 0, act.Delay)
			}
		case logic.Fail:
			if t != nil {
				s.answer(t, referee.Failed, 0, 0)
			}
		case logic.SetTimer:
			s.schedule(s.now+act.Delay, func() { s.handle(a, logic.TimerFired{Token: act.Token}) })
		case logic.HealthCheck:
			s.healthCheck(a, act.Endpoint)
		case logic.Subscribe:
			s.subscribe(a)
		}
	}
}

// healthCheck asks a node for its load, over a connection that is there or a new one.
func (s *simulation) healthCheck(a *simAgent, id string) {
	began := s.now
	told := func(r logic.Result, report logic.LoadReport) {
		s.handle(a, logic.HealthChecked{Endpoint: id, Result: r, Latency: s.now - began, LoadReport: report})
	}
	if a.budget != nil && !a.budget.AllowHealthCheck() {
		s.schedule(s.now, func() { told(logic.NotSent, logic.NoLoadReport) })
		return
	}
	n := s.byID[id]
	if n == nil || !n.up {
		s.schedule(s.now+watchDelay, func() { told(logic.ConnectFailed, logic.NoLoadReport) })
		return
	}
	life := n.Node
	way := s.oneWay(a, n)
	s.schedule(s.now+way, func() {
		switch {
		case n.Node != life || !n.up || n.Unresponsive() || s.day.Partitioned(a.zone, n.Zone, s.now):
			s.schedule(began+emulator.HealthCheckTimeout, func() { told(logic.TimedOut, logic.NoLoadReport) })
			return
		case !n.HealthCheck(s.now):
			s.schedule(s.now+way, func() { told(logic.Rejected, logic.NoLoadReport) })
			return
		}
		report := logic.NoLoadReport
		if l, ok := n.Load(); ok {
			report.RequestRate, report.Utilization = l.Rate, l.Utilization
		}
		s.schedule(s.now+way, func() { told(logic.OK, report) })
	})
}

// send sends an attempt on its way, over a connection that is free or a new one.
func (s *simulation) send(t *clientAttempt, n *simNode, after time.Duration) {
	a := t.agent
	at := &simAttempt{client: t, number: t.sends, node: n, incarnation: n.Node, id: n.ID, sentAt: s.now}
	t.sends++
	t.inFlight++
	a.connsInUse[n.number]++
	until := t.deadline
	if after > 0 {
		until = min(until, s.now+after)
	}
	s.schedule(until, func() { s.abandon(at) })
	way := s.oneWay(a, n)
	fresh := a.connsInUse[n.number] > a.conns[n.number]
	switch {
	case !n.up:
		s.schedule(s.now+2*way, func() { s.endAttempt(at, logic.ConnectFailed) })
		return
	case fresh && (n.Unresponsive() || s.day.Partitioned(a.zone, n.Zone, s.now)):
		s.schedule(s.now+emulator.ConnectTimeout, func() { s.endAttempt(at, logic.ConnectFailed) })
		return
	}
	arrive := s.now + way
	if fresh {
		arrive += 2 * way
		s.schedule(s.now+way, func() {
			if n.Node == at.incarnation && n.up && n.Connect(s.now) == node.ConnAccepted {
				a.conns[n.number]++
			}
		})
	}
	s.schedule(arrive, func() { s.arriveAtNode(at) })
}

func (s *simulation) arriveAtNode(at *simAttempt) {
	t, n := at.client, at.node
	if at.over || t.agent.ended || s.day.Partitioned(t.agent.zone, n.Zone, s.now) {
		return
	}
	if !n.up || n.Node != at.incarnation {
		s.sendBack(at, logic.Reset, 0)
		return
	}
	s.referee.RequestArrived(t.id, n.ID, s.now)
	s.judgeSend(at)
	s.lastTicket++
	at.ticket = ticket{n.number, s.lastTicket}
	s.waiting[at.ticket] = at
	verdict, ran := n.Offer(s.now, node.Work{Ticket: s.lastTicket, Key: t.journey.Key, Cost: t.journey.Work, Deadline: t.deadline,
		Unnotified: !t.agent.notifiedOf(n)})
	if ran {
		s.referee.ExecutionStarted(t.id, n.ID, s.now)
	}
	s.advanceNode(n)
	result := map[node.Verdict]logic.Result{node.Rejected: logic.Rejected, node.FailedFast: logic.Failed, node.ConnReset: logic.Reset}
	if r, ok := result[verdict]; ok {
		delete(s.waiting, at.ticket)
		s.sendBack(at, r, 0)
	}
}

// sendBack sends an attempt's end on its way to the agent.
func (s *simulation) sendBack(at *simAttempt, r logic.Result, late time.Duration) {
	delete(s.waiting, at.ticket)
	if s.day.Partitioned(at.client.agent.zone, at.node.Zone, s.now) {
		return // nothing comes of it: the agent gives up by itself
	}
	s.schedule(s.now+late+s.oneWay(at.client.agent, at.node), func() { s.endAttempt(at, r) })
}

// abandon stops waiting for an attempt.
func (s *simulation) abandon(at *simAttempt) {
	if at.over {
		return
	}
	if s.waiting[at.ticket] == at {
		delete(s.waiting, at.ticket)
		if at.node.Node == at.incarnation {
			at.node.Cancel(s.now, at.ticket.number)
			s.advanceNode(at.node)
		}
	}
	// A connection that is given up is closed.
	if c := at.client.agent.conns; c[at.node.number] > 0 {
		c[at.node.number]--
		if at.node.Node == at.incarnation && at.node.up {
			at.node.Disconnect(s.now)
		}
	}
	s.endAttempt(at, logic.TimedOut)
}

func (s *simulation) endAttempt(at *simAttempt, r logic.Result) {
	if at.over {
		return
	}
	at.over = true
	t := at.client
	t.inFlight--
	if at.node != nil {
		t.agent.connsInUse[at.node.number]--
	}
	if t.agent.ended {
		s.forget(t)
		return
	}
	if t.agent.balancer == nil {
		ends := map[logic.Result]referee.Outcome{logic.OK: referee.Served, logic.Rejected: referee.Rejected, logic.ConnectFailed: referee.NotSent}
		end, ok := ends[r]
		if !ok {
			end = referee.Failed
		}
		s.answer(t, end, at.ticket.number, 0)
		s.forget(t)
		return
	}
	if r == logic.OK {
		s.answer(t, referee.Served, at.ticket.number, 0)
	}
	if b := t.agent.budget; b != nil && r != logic.NotSent {
		b.AttemptEnded(s.clock(), budget.Outcome{Overloaded: r == logic.Rejected || r == logic.TimedOut, SentAt: at.sentAt + moduleStart})
	}
	s.handle(t.agent, logic.Outcome{Request: t.id, Attempt: at.number, Endpoint: at.id, Result: r, Latency: s.now - at.sentAt, Closed: t.ended, LoadReport: logic.NoLoadReport})
	s.forget(t)
}
