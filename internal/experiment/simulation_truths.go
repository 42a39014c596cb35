package experiment

import (
	"slices"

	"ryeweir/logic"
)

// Truths hold what an agent did against what was true at the time, which only a simulation knows.
type Truths struct {
	Rejected             int `json:"refused"`       // tries refused without having been sent anywhere
	RejectedWithCapacity int `json:"refused_room"`  // of them, while a node of the list that was ready had a core free
	RejectedNearCapacity int `json:"refused_near"`  // of them, while one of those that its agent spreads its requests over had
	RejectedInSlowStart  int `json:"refused_cold"`  // of them, a cold one
	Sent                 int `json:"sent"`          // attempts that came to a node
	SentIntoOverload     int `json:"sent_into_jam"` // of them, to a node that had to turn them away or held work for longer than their aim
	SentDespiteCapacity  int `json:"sent_aside"`    // of these, while another ready node had a core free
	ToDead               int `json:"to_dead"`       // attempts at a node that says nothing
	NotRunning           int `json:"unheard"`       // tries that came while the agent's process was away
}

// idle reports whether a node would begin a request at once.
func (n *simNode) idle() bool {
	return n.up && !n.Unresponsive() && n.FailureFraction() == 0 && n.InFlight() < n.Cores
}

// idleCore reports whether some node that the list has as ready would begin a request at once.
func (s *simulation) idleCore() bool {
	return slices.ContainsFunc(s.list.entries, func(e logic.Endpoint) bool {
		n := s.byID[e.ID]
		return e.State == logic.Ready && n != nil && n.idle()
	})
}

// classifyRejection holds a refusal of what was sent nowhere against what was true.
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

// classifySend holds an attempt that has come to a node against what was true there.
func (s *simulation) classifySend(attempt *simAttempt) {
	n := attempt.node
	s.truths.Sent++
	if n.Unresponsive() {
		s.truths.ToDead++
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
