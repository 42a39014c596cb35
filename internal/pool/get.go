package pool

import (
	"context"
	"fmt"
	"time"
)

// Request describes the connection that Get is to return.
type Request struct {
	Endpoint         *Endpoint
	RepeatRestricted bool            // the request must not be repeated; see Table.Acquire
	Deadline         time.Time       // limit of the wait
	Abandoned        <-chan struct{} // closed once no one waits for the answer any more; may be nil
}

// Get returns a connection for one request. The caller must return it with Put. The error wraps ErrNotReady, ErrExhausted,
// ErrCanceled or ErrConnectFailed.
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
		case slot.requests <= 1 || slot.Conn.openWithoutInput():
			return slot.Conn, nil
		}
		p.discardStale(slot)
	}
}

// GetLowPriority is like Get, for use that must not compete with requests, such as a health check. In addition to the cases
// of Get, it fails with ErrExhausted if requests wait, or if the endpoint has no idle connection and no more than a tenth of
// Settings.MaxConnections is free.
func (p *Pool) GetLowPriority(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	allowed := p.table.AllowsLowPriority(endpoint)
	p.mu.Unlock()
	if !allowed {
		return nil, withEndpoint(ErrExhausted, endpoint)
	}
	return p.Get(ctx, Request{Endpoint: endpoint, Deadline: deadline})
}

// Put returns a connection to the pool. outcome says in which state its exchange left it.
func (p *Pool) Put(conn *Conn, outcome ReleaseOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(p.table.Release(p.cfg.Clock.Now(), conn.slot, outcome))
}

// acquire returns an open connection with nothing to read, or else a waiter and the limit on its wait.
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
		if slot.Conn.openWithoutInput() {
			return slot.Conn, nil, 0
		}
		p.execute(p.table.DiscardStale(now, slot))
	}
}

// discardStale closes a slot that was granted to a waiter but was found closed, or with unexpected bytes to read.
func (p *Pool) discardStale(slot *Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(p.table.DiscardStale(p.cfg.Clock.Now(), slot))
}

// await waits for the result of a waiter: a slot, or the reason why there is none. It fails with ErrCanceled if the caller could no
// longer use a connection.
func (p *Pool) await(ctx context.Context, waiter *Waiter, timeout time.Duration, request Request) (*Slot, RejectReason, error) {
	if result, ok := waiter.poll(); ok { // rejected immediately
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
	if result, ok := waiter.poll(); ok { // the result arrived after the wait ended and before the lock was taken
		return result.Slot, result.RejectReason, nil
	}
	reason := p.table.Cancel(waiter)
	if abandoned || ctx.Err() != nil || !time.Now().Before(request.Deadline) {
		return nil, reason, withEndpoint(ErrCanceled, request.Endpoint)
	}
	return nil, reason, nil
}

// poll returns the result of the waiter if it is available, without blocking.
func (w *Waiter) poll() (result Action, ok bool) {
	select {
	case result = <-w.Result:
		return result, true
	default:
		return Action{}, false
	}
}

// rejectError returns the error for a rejection.
func rejectError(reason RejectReason, endpoint *Endpoint) error {
	switch reason {
	case RejectNotReady:
		return withEndpoint(ErrNotReady, endpoint)
	case RejectConnectFailed:
		return fmt.Errorf("%w to %s", ErrConnectFailed, endpoint.ID)
	}
	return withEndpoint(ErrExhausted, endpoint)
}

// withEndpoint adds the ID of the endpoint to an error of Get. A nil endpoint, one that is not listed, has none.
func withEndpoint(err error, endpoint *Endpoint) error {
	if endpoint == nil {
		return err
	}
	return fmt.Errorf("%w: endpoint %s", err, endpoint.ID)
}
