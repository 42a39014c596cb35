package experiment

import (
	"time"

	"ryeweir/internal/budget"
)

// peerState is the state of a peer's budget, with the time at which it was received.
type peerState struct {
	at    time.Duration
	state budget.PeerState
}

// startGossip has an agent send the state of its budget to budget.GossipFanout random peers every budget.GossipInterval, if the operators'
// file enables this. Facts about servers are not gossiped in simulated time.
func (s *simulation) startGossip(agent *simAgent) {
	if agent.budget == nil || !s.operators.Peers.Enabled || !s.operators.Peers.ShareBudget {
		return
	}
	agent.peerStates = map[int]peerState{}
	var exchange func()
	exchange = func() {
		if agent.ended {
			return
		}
		var states []budget.PeerState
		for i := range s.agents { // in a fixed order, so that equal scenarios have equal outcomes
			received, ok := agent.peerStates[i]
			switch {
			case !ok:
			case s.now-received.at > budget.PeerStateTTL:
				delete(agent.peerStates, i)
			default:
				states = append(states, received.state)
			}
		}
		agent.budget.UpdatePeers(s.clock(), states, len(s.agents)-1)
		state := agent.budget.PeerState(s.clock())
		others := agent.rng.Perm(len(s.agents) - 1)
		for _, i := range others[:min(budget.GossipFanout, len(others))] {
			if i >= agent.number {
				i++
			}
			s.schedule(s.now+watchDelay, func() {
				if peer := s.agents[i]; !peer.ended && peer.peerStates != nil {
					peer.peerStates[agent.number] = peerState{s.now, state}
				}
			})
		}
		s.schedule(s.now+budget.GossipInterval, exchange)
	}
	s.schedule(s.now+time.Duration(agent.rng.Float64()*float64(budget.GossipInterval)), exchange)
}
