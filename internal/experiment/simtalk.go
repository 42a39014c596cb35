package experiment

import (
	"time"

	"ryeweir/internal/budget"
)

// heard is a part of the fleet's level, and when it was told.
type heard struct {
	at   time.Duration
	part budget.PeerState
}

// talk lets an agent tell some others its part of the fleet's level again and again, where the operators' file has agents talk.
// Facts of servers are not told in simulated time.
func (s *sim) talk(a *simAgent) {
	if a.budget == nil || !s.ops.Peers.Enabled || !s.ops.Peers.ShareBudget {
		return
	}
	a.parts = map[int]heard{}
	var exchange func()
	exchange = func() {
		if a.gone {
			return
		}
		var parts []budget.PeerState
		for i := range s.agents { // in order, so that equal days have equal outcomes
			h, ok := a.parts[i]
			switch {
			case !ok:
			case s.now-h.at > budget.PeerStateTTL:
				delete(a.parts, i)
			default:
				parts = append(parts, h.part)
			}
		}
		a.budget.UpdatePeers(s.clock(), parts, len(s.agents)-1)
		part := a.budget.PeerState(s.clock())
		others := a.rng.Perm(len(s.agents) - 1)
		for _, i := range others[:min(budget.GossipFanout, len(others))] {
			if i >= a.number {
				i++
			}
			s.at(s.now+watchDelay, func() {
				if to := s.agents[i]; !to.gone && to.parts != nil {
					to.parts[a.number] = heard{s.now, part}
				}
			})
		}
		s.at(s.now+budget.GossipInterval, exchange)
	}
	s.at(s.now+time.Duration(a.rng.Float64()*float64(budget.GossipInterval)), exchange)
}
