package pool

import (
	"time"

	"ryeweir/internal/event"
)

// execute performs the table's actions in order. The caller holds p.mu; execute does not block.
func (p *Pool) execute(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case Open:
			slot := action.Slot
			p.dials.Go(func() { p.connect(slot) })
		case Close:
			p.closeConn(action.Slot, action.CloseReason)
		case Grant, Reject:
			action.Waiter.Result <- action
		case ScheduleQuarantineEnd:
			time.AfterFunc(action.Delay, func() { p.quarantineEnded(action.Slot) })
		}
	}
}

// closeConn closes the connection of a slot and records the reason.
func (p *Pool) closeConn(slot *Slot, reason CloseReason) {
	delete(p.open, slot.Conn)
	slot.Conn.Close()
	p.cfg.Events.Record(event.Event{Kind: event.UpstreamClosed, Reason: eventReasons[reason], Endpoint: slot.Endpoint.ID})
}

// eventReasons maps the table's close reasons to the reasons in events.
var eventReasons = [closeReasons]event.Reason{
	CloseIdle:      event.IdleTimeout,
	CloseAge:       event.AgeLimit,
	CloseStale:     event.StaleConnection,
	CloseSuspected: event.SuspectConnection,
	CloseCrossed:   event.CrossedClose,
	CloseBroken:    event.BrokenExchange,
	CloseRetired:   event.EndpointRetired,
	CloseCapacity:  event.CapacityNeeded,
	CloseShutdown:  event.ProcessEnd,
}

// quarantineEnded reports the end of a scheduled quarantine to the table. After Close it has no effect, because no slot is idle
// then.
func (p *Pool) quarantineEnded(slot *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(p.table.QuarantineEnded(p.cfg.Clock.Now(), slot))
}
