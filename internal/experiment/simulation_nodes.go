package experiment

import (
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/node"
	"ryeweir/logic"
)

// ticket identifies an attempt that has arrived at a node.
type ticket struct {
	node   int // number of the node
	number uint64
}

// simNode is a node with the model of its current incarnation.
type simNode struct {
	*node.Node
	number              int
	up                  bool
	nextAdvance         time.Duration // when it is advanced next; below 0: not scheduled
	earlierIncarnations node.Figures
	overloadReported    bool          // the overload of this incarnation was reported to the referee
	offeredBefore       int           // requests offered until the last sample
	workBefore          time.Duration // work done until the last sample
}

// entry returns the entry of the i-th node in the endpoint list.
func (s *simulation) entry(i int, state logic.EndpointState) logic.Endpoint {
	spec := s.nodes[i].Spec
	e := logic.Endpoint{ID: spec.ID, State: state, Zone: slices.Index(s.scenario.Spec.Zones, spec.Zone), Cell: i / 8, Weight: 1}
	if spec.Started >= 0 {
		e.StartedAt = spec.Started + moduleStart
	}
	return e
}

// scheduleFault schedules the beginning and the end of a node's fault.
func (s *simulation) scheduleFault(fault emulator.NodeFault) {
	discovery := s.scenario.Spec.Discovery
	target := s.nodes[fault.Node]
	name := target.ID
	s.schedule(fault.From, func() {
		s.faultEvents = append(s.faultEvents, emulator.Event{At: fault.From, To: fault.To, Node: name, Text: string(fault.Kind)})
		switch fault.Kind {
		case node.Drain:
			target.AddFault(fault.Fault)
			s.changeEndpoint(discovery.RemovalDelay.D(), s.entry(fault.Node, logic.Draining))
		case node.Restart, node.Replace:
			s.killNode(target)
			if fault.Kind == node.Replace || discovery.RemovalDelay.D() < fault.To-fault.From+discovery.AdditionDelay.D() {
				s.changeEndpoint(discovery.RemovalDelay.D(), s.entry(fault.Node, logic.Removed))
			}
		default:
			target.AddFault(fault.Fault)
			s.advanceNode(target)
		}
	})
	s.schedule(fault.To, func() {
		switch fault.Kind {
		case node.Drain:
			s.killNode(target)
			s.changeEndpoint(discovery.RemovalDelay.D(), s.entry(fault.Node, logic.Removed))
		case node.Restart, node.Replace:
			spec := target.Spec
			s.incarnations++
			if fault.Kind == node.Replace {
				spec.ID = fmt.Sprintf("%s-%d", spec.ID, s.incarnations)
			}
			spec.Started = s.now
			target.earlierIncarnations = target.earlierIncarnations.Add(target.Figures())
			delete(s.byID, target.ID)
			target.Node, target.up, target.overloadReported, target.offeredBefore, target.workBefore = node.New(spec, s.scenario.Seed*1000+uint64(len(s.nodes)+target.number)), true, false, 0, 0
			s.byID[target.ID] = target
			target.Advance(s.now)
			s.advanceNode(target)
			s.changeEndpoint(discovery.AdditionDelay.D(), s.entry(fault.Node, logic.Ready))
		}
	})
}

// killNode ends a node's process, which resets its connections.
func (s *simulation) killNode(target *simNode) {
	target.up = false
	var waiting []*simAttempt
	for _, attempt := range s.waiting {
		if attempt.node == target {
			waiting = append(waiting, attempt)
		}
	}
	slices.SortFunc(waiting, func(a, b *simAttempt) int { return int(a.ticket.number) - int(b.ticket.number) })
	for _, attempt := range waiting {
		s.sendBack(attempt, logic.Reset, 0)
	}
	for _, agent := range s.agents {
		delete(agent.conns, target.number)
	}
}

// advanceNode advances a node's model to the current time, and schedules the model's next event.
func (s *simulation) advanceNode(target *simNode) {
	s.settleNode(target)
	next := target.NextEvent()
	if target.nextAdvance >= 0 && target.nextAdvance <= next && target.nextAdvance > s.now {
		return
	}
	target.nextAdvance = next
	incarnation := target.Node
	s.schedule(next, func() {
		if target.Node == incarnation && target.nextAdvance == s.now {
			target.nextAdvance = -1
			s.advanceNode(target)
		}
	})
}

// settleNode advances a node's model to the current time, reports to the referee which requests have started, and sends back the results of
// those that have ended.
func (s *simulation) settleNode(target *simNode) {
	done := target.Advance(s.now)
	for _, number := range target.TakeStarted() {
		if attempt := s.waiting[ticket{target.number, number}]; attempt != nil {
			s.referee.ExecutionStarted(attempt.request.id, target.ID, s.now)
		}
	}
	if target.Overloaded() && !target.overloadReported {
		target.overloadReported = true
		if target.OverloadWasAvoidable() {
			s.referee.SlowStartOverloaded(target.ID, s.now)
		}
	}
	for _, finished := range done {
		attempt := s.waiting[ticket{target.number, finished.Ticket}]
		if attempt == nil {
			continue
		}
		delete(s.waiting, attempt.ticket)
		delay := max(0, finished.At-s.now)
		switch {
		case target.Unresponsive():
		case finished.Expired:
			s.sendBack(attempt, logic.Rejected, delay)
		case !finished.OK:
			s.sendBack(attempt, logic.Failed, delay)
		case finished.Form != node.Intact:
			s.sendBack(attempt, logic.Reset, delay)
		default:
			s.referee.ResponseProduced(attempt.request.id, finished.Ticket)
			s.sendBack(attempt, logic.OK, delay)
		}
	}
}

// oneWay draws a one-way network delay between an agent and a node.
func (s *simulation) oneWay(agent *simAgent, n *simNode) time.Duration {
	conditions := s.scenario.PathConditions(agent.zone, n.Zone)
	delay := conditions.Delay
	if conditions.Jitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(conditions.Jitter)))
	}
	return delay
}
