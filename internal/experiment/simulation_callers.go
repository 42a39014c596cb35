package experiment

import (
	"time"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
	"ryeweir/logic"
)

// clientRequest is one attempt of a client's call: a request to an agent, or to a node that a Chooser selects.
type clientRequest struct {
	id         string
	agent      *simAgent
	call       *callers.Call
	triedNodes []string      // ids of the nodes that the Chooser selected for earlier attempts of the call
	deadline   time.Duration // when its agent abandons it or, without an agent, its client
	ended      bool          // the client has an outcome
	sent       int           // attempts of the request so far
	inFlight   int           // attempts of the request in flight
}

// beginAttempt begins a call's next attempt, or ends the call if its deadline has passed.
func (s *simulation) beginAttempt(call *callers.Call, tried []string) {
	timeout, disconnectAfter := call.Attempt(s.now)
	if timeout == 0 {
		s.finishCall(call)
		return
	}
	agent := s.agents[call.Agent]
	if agent.unavailable { // no process listens: the connection fails at once
		s.groundTruth.AgentNotRunning++
		s.reconnectLater(call, tried)
		return
	}
	request := &clientRequest{id: callers.RequestID(s.scenario.Seed, call.Number, call.Attempts), agent: agent, call: call, triedNodes: tried, deadline: s.now + timeout}
	sent := referee.Request{ID: request.id, Agent: s.scenario.Agents[call.Agent], NonIdempotent: call.Class.NonIdempotent, At: s.now, Class: call.Class.Name}
	if agent.balancer == nil {
		sent.Agent = ""
	}
	s.referee.RequestSent(sent)
	s.open[request.id] = request
	s.schedule(s.now+disconnectAfter, func() { s.disconnectClient(request) })
	if agent.balancer == nil {
		s.choose(request)
		return
	}
	request.deadline -= min(deadlineMargin, timeout/4)
	if agent.budget != nil {
		agent.budget.SetLatencyOverload(s.clock(), agent.balancer.OverloadLevel())
		if verdict := agent.budget.Admit(s.clock(), agent.order.Priority(s.clock(), call.PlannedRequest.Class, call.Tenant)); !verdict.Admit {
			s.classifyRejection(agent)
			s.answer(request, referee.Rejected, 0, verdict.RetryAfter)
			return
		}
	}
	s.handle(agent, logic.Request{ID: request.id, Class: call.PlannedRequest.Class, Tenant: call.Tenant, Key: call.Key, Deadline: request.deadline + moduleStart})
}

// finishCall records the result of a call.
func (s *simulation) finishCall(call *callers.Call) {
	s.callsLeft--
	s.calls = append(s.calls, call.Result())
}

// disconnectClient ends a request whose client has stopped waiting, unless it has ended already.
func (s *simulation) disconnectClient(request *clientRequest) {
	if request.ended {
		return
	}
	s.answer(request, referee.TimedOut, 0, 0)
	if request.agent.balancer != nil {
		s.handle(request.agent, logic.ClientDisconnected{Request: request.id})
	} else {
		for _, inFlight := range s.waitingAttempts(request) {
			s.abandon(inFlight)
		}
	}
}

// waitingAttempts returns the attempts of a request that nodes hold.
func (s *simulation) waitingAttempts(request *clientRequest) (out []*simAttempt) {
	for _, attempt := range s.waiting {
		if attempt.request == request {
			out = append(out, attempt)
		}
	}
	return out
}

// answer ends a request with an outcome for its client, which then retries or ends the call.
func (s *simulation) answer(request *clientRequest, outcome referee.Outcome, checksum uint64, retryAfter time.Duration) {
	if request.ended {
		return
	}
	request.ended = true
	s.referee.RequestEnded(request.id, outcome, checksum, s.now)
	s.removeIfDone(request)
	next, over := request.call.Ended(s.now, outcome, retryAfter)
	if over {
		s.finishCall(request.call)
		return
	}
	s.schedule(next, func() { s.beginAttempt(request.call, request.triedNodes) })
}

// removeIfDone removes a request that has ended for its client and has no attempt in flight.
func (s *simulation) removeIfDone(request *clientRequest) {
	if request.ended && request.inFlight == 0 {
		delete(s.open, request.id)
	}
}

// choose sends a request to the node that its Chooser selects.
func (s *simulation) choose(request *clientRequest) {
	agent := request.agent
	views, candidates, truths := s.views[:0], s.viewNodes[:0], s.viewTruths[:0]
	for _, entry := range s.list.entries {
		candidate := s.byID[entry.ID]
		if entry.State != logic.Ready || candidate == nil {
			continue
		}
		view := View{ID: candidate.ID, InFlight: agent.connsInUse[candidate.number]}
		if candidate.up && !s.scenario.Partitioned(agent.zone, candidate.Zone, s.now) {
			truths = append(truths, s.visibleState(candidate))
			view.TrueState = &truths[len(truths)-1]
			view.TrueState.OneWayDelay = s.scenario.PathConditions(agent.zone, candidate.Zone).Delay
		}
		views, candidates = append(views, view), append(candidates, candidate)
	}
	s.views, s.viewNodes = views, candidates
	chosen := agent.chooser.Choose(views, request.call.PlannedRequest, request.triedNodes)
	if chosen < 0 {
		s.answer(request, referee.NotSent, 0, 0)
		return
	}
	request.triedNodes = append(request.triedNodes, views[chosen].ID)
	s.delayed.sent[candidates[chosen].number] += request.call.Work.Seconds()
	s.send(request, candidates[chosen], 0)
}
