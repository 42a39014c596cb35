package pool

import "time"

// Quarantine is the rule that a connection carries no request for Settings.Quarantine after an answer.
//
// Failure: an endpoint sends a second answer some milliseconds after the first, which would be taken for the answer to the next
// request. The guard holds because the stray bytes arrive during the quarantine: the look at the socket before the next request
// finds them and closes the connection as stale.

// inQuarantine reports whether the last answer on a slot is less than the quarantine ago.
func (t *Table) inQuarantine(now time.Duration, slot *Slot) bool {
	return slot.answeredAt > 0 && now-slot.answeredAt < t.settings.Quarantine
}

// awaitQuarantined lets each waiter that has none yet count on one idle connection in quarantine, and schedules the end of that
// quarantine. It is over sooner than a handshake, and costs the endpoint nothing.
func (t *Table) awaitQuarantined(now time.Duration, endpoint *Endpoint) {
	for _, slot := range endpoint.idle {
		if endpoint.awaitedInQuarantine < len(endpoint.waiters) && !slot.awaitedInQuarantine && t.inQuarantine(now, slot) {
			slot.awaitedInQuarantine = true
			endpoint.awaitedInQuarantine++
			t.act(Action{Kind: ScheduleQuarantineEnd, Slot: slot, Delay: slot.answeredAt + t.settings.Quarantine - now})
		}
	}
}

// QuarantineEnded is the event that the delay of a ScheduleQuarantineEnd is over. It has no effect on a slot that was granted or closed
// meanwhile.
func (t *Table) QuarantineEnded(now time.Duration, slot *Slot) []Action {
	t.begin()
	if slot.awaitedInQuarantine {
		t.stopAwaiting(slot)
		t.grantToWaiter(now, slot)
		t.startHandshakes(now)
	}
	return t.actions
}

// stopAwaiting ends that a waiter counts on the slot.
func (t *Table) stopAwaiting(slot *Slot) {
	if slot.awaitedInQuarantine {
		slot.awaitedInQuarantine = false
		slot.Endpoint.awaitedInQuarantine--
	}
}
