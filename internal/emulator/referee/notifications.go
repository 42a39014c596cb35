package referee

import "time"

// notifications are the nodes that agents know not to take new requests, by what discovery has written to each agent.
type notifications struct {
	byAgent map[agentNode]time.Duration // since when the agent knows
	first   map[string]time.Duration    // by node: since when any agent knows
}

type agentNode struct{ agent, node string }

func newNotifications() notifications {
	return notifications{map[agentNode]time.Duration{}, map[string]time.Duration{}}
}

// set records whether a node accepts new requests. Only the first of equal notifications counts.
func (n *notifications) set(agent, node string, accepts bool, at time.Duration) {
	key := agentNode{agent, node}
	if accepts {
		delete(n.byAgent, key)
		delete(n.first, node)
		return
	}
	if _, ok := n.byAgent[key]; ok {
		return
	}
	n.byAgent[key] = at
	if _, ok := n.first[node]; !ok {
		n.first[node] = at
	}
}

// forgetAgent drops what an agent was notified of: its next process knows nothing of it.
func (n *notifications) forgetAgent(agent string) {
	for key := range n.byAgent {
		if key.agent == agent {
			delete(n.byAgent, key)
		}
	}
}
