package agent

import (
	"time"

	"ryeweir/internal/budget"
)

// receivedBudgetState is the latest budget state from a peer.
type receivedBudgetState struct {
	sequence   uint64 // number that the peer gave the state; a later state has a higher one
	state      budget.PeerState
	receivedAt time.Time
}

// UpdatePeerState stores a budget state that a peer has sent. A state that arrives after a later one is ignored. The member calls it.
func (p *peers) UpdatePeerState(from string, sequence uint64, state budget.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest, known := p.budgetStates[from]
	if sequence > latest.sequence && (known || len(p.budgetStates) < maxPeerStates) {
		p.budgetStates[from] = receivedBudgetState{sequence, state, time.Now()}
	}
}

// exchangeBudgetStates passes the states of peers to the budget and sends this agent's own state to peers.
func (p *peers) exchangeBudgetStates() {
	if !p.settings.ShareBudget {
		return
	}
	present := p.member.Peers()
	states := p.freshBudgetStates(present)
	if own, ok := p.core.ExchangePeerState(states, len(present)); ok {
		p.member.SendPeerState(own, budget.GossipFanout)
	}
}

// freshBudgetStates deletes states that are older than budget.PeerStateTTL and returns those of the peers that are present. The state
// of a peer that has left is not returned, however recent it is.
func (p *peers) freshBudgetStates(present []string) (states []budget.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for from, received := range p.budgetStates {
		if time.Since(received.receivedAt) > budget.PeerStateTTL {
			delete(p.budgetStates, from)
		}
	}
	for _, name := range present {
		if received, ok := p.budgetStates[name]; ok {
			states = append(states, received.state)
		}
	}
	return states
}
