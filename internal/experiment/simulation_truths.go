package experiment

import (
	"slices"

	"ryeweir/logic"
)

// GroundTruth compare an agent's decisions with the true state of the nodes at the time, which only a simulation knows.
type GroundTruth struct {
	Rejected             int `json:"refused"`       // requests rejected without an attempt
	RejectedWithCapacity int `json:"refused_room"`  // of these, while a ready node of the list had a free core
	RejectedNearCapacity int `json:"refused_near"`  // of these, while a node in the agent's subset had one
	RejectedInSlowStart  int `json:"refused_cold"`  // of these, only nodes in slow start
	Sent                 int `json:"sent"`          // attempts that arrived at a node
	SentIntoOverload     int `json:"sent_into_jam"` // of these, at a node that was full or whose backlog exceeded their latency objective
	SentDespiteCapacity  int `json:"sent_aside"`    // of these, while another ready node had a free core
	ToUnresponsive       int `json:"to_dead"`       // attempts at an unresponsive node
	AgentNotRunning      int `json:"unheard"`       // connections while the agent's process was away
}

// idle reports whether a node would start a request without queueing.
func (n *simNode) idle() bool {
	return n.up && !n.Unresponsive() && n.FailureFraction() == 0 && n.InFlight() < n.Cores
}

// idleCore reports whether some ready node of the list is idle.
func (s *simulation) idleCore() bool {
	return slices.ContainsFunc(s.list.entries, func(e logic.Endpoint) bool {
		n := s.byID[e.ID]
		return e.State == logic.Ready && n != nil && n.idle()
	})
}

// classifyRejection counts a request that was rejected without an attempt, by the true state of the nodes.
func (s *simulation) classifyRejection(agent *simAgent) {
	s.truths.Rejected++
	if !s.idleCore() {
		return
	}
	s.truths.RejectedWithCapacity++
	near, slowStart := false, true
	for _, id := range agent.balancer.SubsetIDs() {
		if n := s.byID[id]; n != nil && n.idle() && !s.day.Partitioned(agent.zone, n.Zone, s.now) {
			near, slowStart = true, slowStart && n.SlowStartFraction() < 1
		}
	}
	if near {
		s.truths.RejectedNearCapacity++
		if slowStart {
			s.truths.RejectedInSlowStart++
		}
	}
}

// classifySend counts an attempt that has arrived at a node, by the true state of the node.
func (s *simulation) classifySend(attempt *simAttempt) {
	n := attempt.node
	s.truths.Sent++
	if n.Unresponsive() {
		s.truths.ToUnresponsive++
		return
	}
	if n.HasCapacity() && n.Backlog() <= attempt.request.call.Class.LatencyObjective {
		return
	}
	s.truths.SentIntoOverload++
	if s.idleCore() {
		s.truths.SentDespiteCapacity++
	}
}
