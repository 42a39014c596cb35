package pool

import "time"

// Quarantine: a connection carries no request for Settings.Quarantine after an answer.
//
// Failure: an endpoint sends a second answer some milliseconds after the first, which would be taken for the answer to the next
// request. With the quarantine the unexpected bytes arrive before the next request is written. The check of the socket before that
// request finds them, and the connection is closed as stale.

// inQuarantine reports whether the last answer on a slot was less than Settings.Quarantine ago.
func (t *Table) inQuarantine(now time.Duration, slot *Slot) bool {
	return slot.answeredAt > 0 && now-slot.answeredAt < t.settings.Quarantine
}

// awaitQuarantined reserves one idle slot in quarantine for each waiter that has none reserved, as far as there are any, and
// schedules the end of its quarantine. Waiting for that takes less time than a handshake and costs the endpoint nothing.
func (t *Table) awaitQuarantined(now time.Duration, endpoint *Endpoint) {
	for _, slot := range endpoint.idle {
		if endpoint.awaitedInQuarantine < len(endpoint.waiters) && !slot.awaitedInQuarantine && t.inQuarantine(now, slot) {
			slot.awaitedInQuarantine = true
			endpoint.awaitedInQuarantine++
			t.emit(Action{Kind: ScheduleQuarantineEnd, Slot: slot, Delay: slot.answeredAt + t.settings.Quarantine - now})
		}
	}
}

// QuarantineEnded is the event that the delay of a ScheduleQuarantineEnd action has passed. It has no effect if the slot has been
// granted or closed since.
func (t *Table) QuarantineEnded(now time.Duration, slot *Slot) []Action {
	t.beginEvent()
	if slot.awaitedInQuarantine {
		t.stopAwaiting(slot)
		t.grantToWaiter(now, slot)
		t.startHandshakes(now)
	}
	return t.actions
}

// stopAwaiting ends the reservation of a slot in quarantine for a waiter, if there is one.
func (t *Table) stopAwaiting(slot *Slot) {
	if slot.awaitedInQuarantine {
		slot.awaitedInQuarantine = false
		slot.Endpoint.awaitedInQuarantine--
	}
}
