package referee

import "time"

// notifications records which agents have been notified by discovery that a node accepts no new requests.
type notifications struct {
	byAgent map[agentNode]time.Duration // when the agent was first notified of that
	first   map[string]time.Duration    // by node: when any agent was first notified of that
}

type agentNode struct{ agent, node string }

func newNotifications() notifications {
	return notifications{map[agentNode]time.Duration{}, map[string]time.Duration{}}
}

// set records whether a node accepts new requests according to a notification. A repeated notification that it accepts none
// changes nothing. One that it accepts them ends the agent's entry, and the node's first for all agents.
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

// forgetAgent drops the notifications of an agent, since its next process has not received them.
func (n *notifications) forgetAgent(agent string) {
	for key := range n.byAgent {
		if key.agent == agent {
			delete(n.byAgent, key)
		}
	}
}
