package pool

import (
	"context"
	"fmt"
	"time"
)

// Request says which connection Get is to return.
type Request struct {
	Endpoint         *Endpoint
	RepeatRestricted bool            // must not be repeated: see Table.Acquire
	Deadline         time.Time       // until which to wait
	Abandoned        <-chan struct{} // closed when nobody waits for the answer any more; may be nil
}

// Get returns a connection for one request, which Put must give back. The error wraps one of the package's reasons.
func (p *Pool) Get(ctx context.Context, request Request) (*Conn, error) {
	for {
		conn, waiter, timeout := p.acquire(request.Endpoint, request.RepeatRestricted)
		if conn != nil {
			return conn, nil
		}
		slot, reason, err := p.await(ctx, waiter, timeout, request)
		switch {
		case err != nil:
			return nil, err
		case slot == nil:
			return nil, rejectError(reason, request.Endpoint)
		case slot.requests <= 1 || slot.Conn.quiet():
			return slot.Conn, nil
		}
		p.discardStale(slot)
	}
}

// GetLowPriority is Get for use that must not compete with requests, such as a health check. It returns ErrExhausted if requests
// wait, or if no connection is idle and less than a tenth of all places is free.
func (p *Pool) GetLowPriority(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	allowed := p.table.AllowsLowPriority(endpoint)
	p.mu.Unlock()
	if !allowed {
		return nil, ErrExhausted
	}
	return p.Get(ctx, Request{Endpoint: endpoint, Deadline: deadline})
}

// Put gives a connection back and says how its exchange left it.
func (p *Pool) Put(conn *Conn, outcome ReleaseOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(p.table.Release(p.cfg.Clock.Now(), conn.slot, outcome))
}

// acquire returns an open connection with nothing to read, or a waiter and how long it may wait.
func (p *Pool) acquire(endpoint *Endpoint, nonIdempotent bool) (*Conn, *Waiter, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := p.cfg.Clock.Now()
		slot, waiter, actions := p.table.Acquire(now, endpoint, nonIdempotent)
		p.execute(actions)
		if slot == nil {
			return nil, waiter, p.cfg.Settings.AcquireTimeout
		}
		if slot.Conn.quiet() {
			return slot.Conn, nil, 0
		}
		p.execute(p.table.DiscardStale(now, slot))
	}
}

func (p *Pool) discardStale(slot *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(p.table.DiscardStale(p.cfg.Clock.Now(), slot))
}

// await waits for a waiter's result: a slot, or why there is none. It returns ErrCanceled if the caller could not use a connection
// any more.
func (p *Pool) await(ctx context.Context, waiter *Waiter, timeout time.Duration, request Request) (*Slot, RejectReason, error) {
	if result, ok := waiter.poll(); ok { // rejected at once
		return result.Slot, result.RejectReason, nil
	}
	timer := time.NewTimer(min(timeout, time.Until(request.Deadline)))
	defer timer.Stop()
	abandoned := false
	select {
	case result := <-waiter.Result:
		return result.Slot, result.RejectReason, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-request.Abandoned:
		abandoned = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := waiter.poll(); ok { // it came between the end of the wait and the lock
		return result.Slot, result.RejectReason, nil
	}
	reason := p.table.Cancel(waiter)
	if abandoned || ctx.Err() != nil || !time.Now().Before(request.Deadline) {
		return nil, reason, ErrCanceled
	}
	return nil, reason, nil
}

// poll returns the waiter's result if it has one.
func (w *Waiter) poll() (result Action, ok bool) {
	select {
	case result = <-w.Result:
		return result, true
	default:
		return Action{}, false
	}
}

// rejectError is the error of a rejection.
func rejectError(reason RejectReason, endpoint *Endpoint) error {
	switch reason {
	case RejectNotReady:
		return ErrNotReady
	case RejectConnectFailed:
		return fmt.Errorf("%w to %s", ErrConnectFailed, endpoint.ID)
	}
	return ErrExhausted
}
