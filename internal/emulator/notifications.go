package emulator

import (
	"time"

	"ryeweir/internal/emulator/discovery"
)

// The rules on draining and slow start hold an agent only to notifications that it has received. Discovery reports each entry that
// it has written to an agent's connection. While the path to the agent is cut, the written bytes do not arrive, so the entry counts
// as received when the cut is over.

// notified handles an entry that discovery has written to an agent.
func (w *World) notified(agent string, entry discovery.Entry, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isCut(Discovery, agent) {
		w.recordNotified(agent, entry, at)
		return
	}
	if w.heldNotifications[agent] == nil {
		w.heldNotifications[agent] = map[string]discovery.Entry{}
	}
	w.heldNotifications[agent][entry.ID] = entry
}

// releaseNotifications records the held entries of all agents whose path from discovery is no longer cut. w.mu is held.
func (w *World) releaseNotifications() {
	for agent, entries := range w.heldNotifications {
		if w.isCut(Discovery, agent) {
			continue
		}
		for _, entry := range entries {
			w.recordNotified(agent, entry, w.Now())
		}
		delete(w.heldNotifications, agent)
	}
}

// recordNotified records that an agent has received an entry. w.mu is held.
func (w *World) recordNotified(agent string, entry discovery.Entry, at time.Duration) {
	w.Referee.Notified(agent, entry.ID, entry.State == discovery.Ready, at)
	if entry.State != discovery.Removed {
		w.notifiedStarts[[2]string{agent, entry.ID}] = entry.StartedMS
	}
}

// unnotified reports whether the agent that sent a request had not yet been notified of the node's current incarnation, which
// started at a time of the world. Such an agent cannot know that the node is in slow start. It returns false for callers that choose
// nodes themselves, as they read the endpoint list without delay.
func (w *World) unnotified(requestID, node string, started time.Duration) bool {
	agent := w.Referee.AgentOf(requestID)
	if agent == "" || started < 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notifiedStarts[[2]string{agent, node}] != w.Epoch.Add(started).UnixMilli()
}
