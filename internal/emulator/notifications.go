package emulator

import (
	"time"

	"ryeweir/internal/emulator/discovery"
)

// The rules on draining and slow start judge an agent by what it was notified of. Discovery reports each entry that it has
// written to an agent's connection. An entry that was written into a cut has not arrived: it counts as received when the cut is
// over, as the stream's bytes then pass.

// notified takes an entry that discovery has written to an agent.
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

// releaseNotifications records what was held up by a cut that is over. w.mu is held.
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

// recordNotified records what an agent has received. w.mu is held.
func (w *World) recordNotified(agent string, entry discovery.Entry, at time.Duration) {
	w.Referee.Notified(agent, entry.ID, entry.State == discovery.Ready, at)
	if entry.State != discovery.Removed {
		w.notifiedStarts[[2]string{agent, entry.ID}] = entry.StartedMS
	}
}

// unnotified reports whether the agent that sent a request had not been notified of the node's present incarnation, which began
// at a time of the world: then it could not know that the node is in slow start. Callers that choose nodes themselves read the
// list without delay, and are never unnotified.
func (w *World) unnotified(requestID, node string, started time.Duration) bool {
	agent := w.Referee.AgentOf(requestID)
	if agent == "" || started < 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notifiedStarts[[2]string{agent, node}] != w.Epoch.Add(started).UnixMilli()
}
