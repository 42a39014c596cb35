package experiment

import (
	"slices"

	"ryeweir/logic"
)

// GroundTruth compares agents' decisions with the true state of the nodes at that time, which is known in simulated time only.
type GroundTruth struct {
	Rejected             int `json:"refused"`       // requests rejected without an attempt
	RejectedWithCapacity int `json:"refused_room"`  // those of Rejected while a ready node of the endpoint list had a free core
	RejectedNearCapacity int `json:"refused_near"`  // those of RejectedWithCapacity while a node in the agent's subset had a free core
	RejectedInSlowStart  int `json:"refused_cold"`  // those of RejectedNearCapacity while all such nodes were in slow start
	Sent                 int `json:"sent"`          // attempts that arrived at a node
	SentIntoOverload     int `json:"sent_into_jam"` // those of Sent that arrived at a node that was full or whose backlog exceeded their latency objective
	SentDespiteCapacity  int `json:"sent_aside"`    // those of SentIntoOverload while another ready node had a free core
	ToUnresponsive       int `json:"to_dead"`       // those of Sent that arrived at an unresponsive node
	AgentNotRunning      int `json:"unheard"`       // connections of clients that failed because no process of the agent listened
}

// idle reports whether a node would start a request at once and fail none.
func (n *simNode) idle() bool {
	return n.up && !n.Unresponsive() && n.FailureFraction() == 0 && n.InFlight() < n.Cores
}

// idleCore reports whether a ready node of the endpoint list is idle.
func (s *simulation) idleCore() bool {
	return slices.ContainsFunc(s.list.entries, func(e logic.Endpoint) bool {
		n := s.byID[e.ID]
		return e.State == logic.Ready && n != nil && n.idle()
	})
}

// classifyRejection counts a request that was rejected without an attempt, by the true state of the nodes.
func (s *simulation) classifyRejection(agent *simAgent) {
	s.groundTruth.Rejected++
	if !s.idleCore() {
		return
	}
	s.groundTruth.RejectedWithCapacity++
	near, slowStart := false, true
	for _, id := range agent.balancer.SubsetIDs() {
		if n := s.byID[id]; n != nil && n.idle() && !s.scenario.Partitioned(agent.zone, n.Zone, s.now) {
			near, slowStart = true, slowStart && n.SlowStartFraction() < 1
		}
	}
	if near {
		s.groundTruth.RejectedNearCapacity++
		if slowStart {
			s.groundTruth.RejectedInSlowStart++
		}
	}
}

// classifySend counts an attempt that has arrived at a node, by the true state of the node.
func (s *simulation) classifySend(attempt *simAttempt) {
	n := attempt.node
	s.groundTruth.Sent++
	if n.Unresponsive() {
		s.groundTruth.ToUnresponsive++
		return
	}
	if n.HasCapacity() && n.Backlog() <= attempt.request.call.Class.LatencyObjective {
		return
	}
	s.groundTruth.SentIntoOverload++
	if s.idleCore() {
		s.groundTruth.SentDespiteCapacity++
	}
}
