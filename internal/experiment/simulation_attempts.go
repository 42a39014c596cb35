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

// simAttempt is one attempt of a request at a node.
type simAttempt struct {
	request     *clientRequest
	number      int      // of the request's attempts, from 0
	node        *simNode // nil if the attempt was not sent
	incarnation *node.Node
	id          string // of the node's incarnation
	sentAt      time.Duration
	ended       bool
	ticket      ticket // set when it arrives at the node
}

// handle passes an event to an agent's balancer and executes the actions, unless the agent has ended.
func (s *simulation) handle(agent *simAgent, event logic.Event) {
	if !agent.ended {
		s.apply(agent, agent.balancer.Handle(s.clock(), event))
	}
}

// apply executes the balancer's actions as the agent does.
func (s *simulation) apply(agent *simAgent, actions []logic.Action) {
	for _, action := range slices.Clone(actions) {
		request := s.open[action.Request]
		switch action.Kind {
		case logic.Send:
			if request == nil {
				continue
			}
			target := s.byID[action.Endpoint]
			if agent.budget != nil && request.sent > 0 && !agent.budget.AllowRetry(s.clock()) {
				n := request.sent
				request.sent++
				request.inFlight++
				s.schedule(s.now, func() {
					s.endAttempt(&simAttempt{request: request, number: n, id: action.Endpoint, sentAt: s.now}, logic.NotSent)
				})
				continue
			}
			if target == nil { // the node's incarnation has ended
				n := request.sent
				request.sent++
				request.inFlight++
				s.schedule(s.now+watchDelay, func() {
					s.endAttempt(&simAttempt{request: request, number: n, id: action.Endpoint, sentAt: s.now}, logic.ConnectFailed)
				})
				continue
			}
			s.send(request, target, action.Delay)
		case logic.Reject:
			if request != nil {
				if request.sent == 0 {
					s.classifyRejection(agent)
				}
				s.answer(request, referee.Rejected, 0, action.Delay)
			}
		case logic.Fail:
			if request != nil {
				s.answer(request, referee.Failed, 0, 0)
			}
		case logic.SetTimer:
			s.schedule(s.now+action.Delay, func() { s.handle(agent, logic.TimerFired{Token: action.Token}) })
		case logic.HealthCheck:
			s.healthCheck(agent, action.Endpoint)
		case logic.Subscribe:
			s.subscribe(agent)
		}
	}
}

// healthCheck sends a node a health check and reports the result to the agent's balancer, with the node's load report.
func (s *simulation) healthCheck(agent *simAgent, nodeID string) {
	began := s.now
	finish := func(result logic.Result, report logic.LoadReport) {
		s.handle(agent, logic.HealthChecked{Endpoint: nodeID, Result: result, Latency: s.now - began, LoadReport: report})
	}
	if agent.budget != nil && !agent.budget.AllowHealthCheck() {
		s.schedule(s.now, func() { finish(logic.NotSent, logic.NoLoadReport) })
		return
	}
	target := s.byID[nodeID]
	if target == nil || !target.up {
		s.schedule(s.now+watchDelay, func() { finish(logic.ConnectFailed, logic.NoLoadReport) })
		return
	}
	incarnation := target.Node
	oneWay := s.oneWay(agent, target)
	s.schedule(s.now+oneWay, func() {
		switch {
		case target.Node != incarnation || !target.up || target.Unresponsive() || s.scenario.Partitioned(agent.zone, target.Zone, s.now):
			s.schedule(began+emulator.HealthCheckTimeout, func() { finish(logic.TimedOut, logic.NoLoadReport) })
			return
		case !target.HealthCheck(s.now):
			s.schedule(s.now+oneWay, func() { finish(logic.Rejected, logic.NoLoadReport) })
			return
		}
		report := logic.NoLoadReport
		if load, ok := target.Load(); ok {
			report.RequestRate, report.Utilization = load.Rate, load.Utilization
		}
		s.schedule(s.now+oneWay, func() { finish(logic.OK, report) })
	})
}

// send sends an attempt to a node, over an idle connection if there is one or else a new one. after, if above 0, limits the time until the
// attempt is abandoned.
func (s *simulation) send(request *clientRequest, target *simNode, after time.Duration) {
	agent := request.agent
	attempt := &simAttempt{request: request, number: request.sent, node: target, incarnation: target.Node, id: target.ID, sentAt: s.now}
	request.sent++
	request.inFlight++
	agent.connsInUse[target.number]++
	until := request.deadline
	if after > 0 {
		until = min(until, s.now+after)
	}
	s.schedule(until, func() { s.abandon(attempt) })
	oneWay := s.oneWay(agent, target)
	newConnection := agent.connsInUse[target.number] > agent.conns[target.number]
	switch {
	case !target.up:
		s.schedule(s.now+2*oneWay, func() { s.endAttempt(attempt, logic.ConnectFailed) })
		return
	case newConnection && (target.Unresponsive() || s.scenario.Partitioned(agent.zone, target.Zone, s.now)):
		s.schedule(s.now+emulator.ConnectTimeout, func() { s.endAttempt(attempt, logic.ConnectFailed) })
		return
	}
	arrive := s.now + oneWay
	if newConnection {
		arrive += 2 * oneWay
		s.schedule(s.now+oneWay, func() {
			if target.Node == attempt.incarnation && target.up && target.Connect(s.now) == node.ConnAccepted {
				agent.conns[target.number]++
			}
		})
	}
	s.schedule(arrive, func() { s.arriveAtNode(attempt) })
}

// arriveAtNode offers an attempt to its node, unless the attempt has ended or the path is partitioned.
func (s *simulation) arriveAtNode(attempt *simAttempt) {
	request, target := attempt.request, attempt.node
	if attempt.ended || request.agent.ended || s.scenario.Partitioned(request.agent.zone, target.Zone, s.now) {
		return
	}
	if !target.up || target.Node != attempt.incarnation {
		s.sendBack(attempt, logic.Reset, 0)
		return
	}
	s.referee.RequestArrived(request.id, target.ID, s.now)
	s.classifySend(attempt)
	s.lastTicket++
	attempt.ticket = ticket{target.number, s.lastTicket}
	s.waiting[attempt.ticket] = attempt
	verdict, ran := target.Offer(s.now, node.Work{Ticket: s.lastTicket, Key: request.call.Key, Cost: request.call.Work, Deadline: request.deadline,
		Unnotified: !request.agent.notifiedOf(target)})
	if ran {
		s.referee.ExecutionStarted(request.id, target.ID, s.now)
	}
	s.advanceNode(target)
	result := map[node.Verdict]logic.Result{node.Rejected: logic.Rejected, node.FailedFast: logic.Failed, node.ConnReset: logic.Reset}
	if r, ok := result[verdict]; ok {
		delete(s.waiting, attempt.ticket)
		s.sendBack(attempt, r, 0)
	}
}

// sendBack delivers the result of an attempt to the agent, after a delay and the network delay. If the path is partitioned, the result is
// lost.
func (s *simulation) sendBack(attempt *simAttempt, result logic.Result, delay time.Duration) {
	delete(s.waiting, attempt.ticket)
	if s.scenario.Partitioned(attempt.request.agent.zone, attempt.node.Zone, s.now) {
		return // the result is lost, and the attempt ends with its timeout
	}
	s.schedule(s.now+delay+s.oneWay(attempt.request.agent, attempt.node), func() { s.endAttempt(attempt, result) })
}

// abandon ends an attempt with a timeout: it cancels it at the node and closes its connection.
func (s *simulation) abandon(attempt *simAttempt) {
	if attempt.ended {
		return
	}
	if s.waiting[attempt.ticket] == attempt {
		delete(s.waiting, attempt.ticket)
		if attempt.node.Node == attempt.incarnation {
			attempt.node.Cancel(s.now, attempt.ticket.number)
			s.advanceNode(attempt.node)
		}
	}
	// The connection of an abandoned attempt is closed rather than reused.
	if conns := attempt.request.agent.conns; conns[attempt.node.number] > 0 {
		conns[attempt.node.number]--
		if attempt.node.Node == attempt.incarnation && attempt.node.up {
			attempt.node.Disconnect(s.now)
		}
	}
	s.endAttempt(attempt, logic.TimedOut)
}

// endAttempt reports the result of an attempt to the agent's balancer or, if the client chose the node itself, to the client.
func (s *simulation) endAttempt(attempt *simAttempt, result logic.Result) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	request := attempt.request
	request.inFlight--
	if attempt.node != nil {
		request.agent.connsInUse[attempt.node.number]--
	}
	if request.agent.ended {
		s.removeIfDone(request)
		return
	}
	if request.agent.balancer == nil {
		outcomes := map[logic.Result]referee.Outcome{logic.OK: referee.Served, logic.Rejected: referee.Rejected, logic.ConnectFailed: referee.NotSent}
		outcome, ok := outcomes[result]
		if !ok {
			outcome = referee.Failed
		}
		s.answer(request, outcome, attempt.ticket.number, 0)
		s.removeIfDone(request)
		return
	}
	if result == logic.OK {
		s.answer(request, referee.Served, attempt.ticket.number, 0)
	}
	if fleetBudget := request.agent.budget; fleetBudget != nil && result != logic.NotSent {
		fleetBudget.AttemptEnded(s.clock(), budget.Outcome{Overloaded: result == logic.Rejected || result == logic.TimedOut, SentAt: attempt.sentAt + moduleStart})
	}
	s.handle(request.agent, logic.Outcome{Request: request.id, Attempt: attempt.number, Endpoint: attempt.id, Result: result, Latency: s.now - attempt.sentAt, Closed: request.ended, LoadReport: logic.NoLoadReport})
	s.removeIfDone(request)
}
