package experiment

import (
	"time"

	"ryeweir/internal/budget"
)

// peerState is a part of the fleet's level, and when it was told.
type peerState struct {
	at    time.Duration
	state budget.PeerState
}

// startGossip lets an agent tell some others its part of the fleet's level again and again, where the operators' file has agents talk.
// Facts of servers are not told in simulated time.
func (s *simulation) startGossip(a *simAgent) {
	if a.budget == nil || !s.operators.Peers.Enabled || !s.operators.Peers.ShareBudget {
		return
	}
	a.peerStates = map[int]peerState{}
	var exchange func()
	exchange = func() {
		if a.ended {
			return
		}
		var parts []budget.PeerState
		for i := range s.agents { // in order, so that equal days have equal outcomes
			h, ok := a.peerStates[i]
			switch {
			case !ok:
			case s.now-h.at > budget.PeerStateTTL:
				delete(a.peerStates, i)
			default:
				parts = append(parts, h.state)
			}
		}
		a.budget.UpdatePeers(s.clock(), parts, len(s.agents)-1)
		part := a.budget.PeerState(s.clock())
		others := a.rng.Perm(len(s.agents) - 1)
		for _, i := range others[:min(budget.GossipFanout, len(others))] {
			if i >= a.number {
				i++
			}
			s.schedule(s.now+watchDelay, func() {
				if to := s.agents[i]; !to.ended && to.peerStates != nil {
					to.peerStates[a.number] = peerState{s.now, part}
				}
			})
		}
		s.schedule(s.now+budget.GossipInterval, exchange)
	}
	s.schedule(s.now+time.Duration(a.rng.Float64()*float64(budget.GossipInterval)), exchange)
}
