package agent

import (
	"time"

	"ryeweir/internal/budget"
)

// receivedBudgetState is the latest budget state from a peer.
type receivedBudgetState struct {
	number     uint64 // the peer's own count of the states that it sent
	state      budget.PeerState
	receivedAt time.Time
}

// UpdatePeerState takes in a peer's budget state. One that arrives after a later one is ignored.
func (p *peers) UpdatePeerState(from string, number uint64, state budget.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest, known := p.budgetStates[from]
	if number > latest.number && (known || len(p.budgetStates) < maxPeerStates) {
		p.budgetStates[from] = receivedBudgetState{number, state, time.Now()}
	}
}

// exchangeBudgetStates hands the states of peers to the budget and sends peers this agent's own.
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

// freshBudgetStates forgets states that are too old and returns those of the peers that are present. A peer that has left no
// longer counts, however recent its state is.
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
