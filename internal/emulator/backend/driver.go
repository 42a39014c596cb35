package backend

import (
	"context"
	"time"

	"ryeweir/internal/emulator/node"
)

// idleSweepInterval is how often the driver looks for idle connections to close.
const idleSweepInterval = 100 * time.Millisecond

func (b *Backend) wakeDriver() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// drive advances the model's time at each of its events and after each wakeDriver, until the context ends.
func (b *Backend) drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.wake:
		}
		if span := time.Since(swept); span >= idleSweepInterval {
			swept = time.Now()
			b.closeIdleConns(span)
		}
		next := b.step()
		timer.Reset(max(0, next-b.now()))
	}
}

// step advances the model's time to the present, reports the effects, and returns the time of the next event.
func (b *Backend) step() (next time.Duration) {
	b.mu.Lock()
	started := b.advance()
	next = b.node.NextEvent()
	overloaded := b.node.OverloadWasAvoidable() && !b.overloadReported
	b.overloadReported = b.overloadReported || overloaded
	id := b.node.ID
	b.mu.Unlock()
	b.reportStarted(started)
	if overloaded && b.cfg.Observer != nil {
		b.cfg.Observer.SlowStartOverloaded(id, b.now())
	}
	return next
}

// startedExecutions lists the requests whose execution a node has started.
type startedExecutions struct {
	node     string
	requests []string // IDs
	at       time.Duration
}

// advance advances the model's time to the present and passes completions to their requests. b.mu is held. After releasing it, the
// caller must pass the result to reportStarted.
func (b *Backend) advance() startedExecutions {
	now := b.now()
	completions := b.node.Advance(now)
	started := startedExecutions{node: b.node.ID, at: now}
	for _, ticket := range b.node.TakeStarted() {
		if a := b.waiting[ticket]; a != nil {
			started.requests = append(started.requests, a.id)
		}
	}
	for _, completion := range completions {
		if a := b.waiting[completion.Ticket]; a != nil {
			delete(b.waiting, completion.Ticket)
			a.done <- completion
		}
	}
	return started
}

func (b *Backend) reportStarted(started startedExecutions) {
	if b.cfg.Observer == nil {
		return
	}
	for _, id := range started.requests {
		b.cfg.Observer.ExecutionStarted(id, started.node, started.at)
	}
}

// submit offers a request to the incarnation that accepted its connection. It returns false if that incarnation has ended.
func (b *Backend) submit(incarnation *node.Node, id string, work node.Work) (*attempt, bool) {
	b.mu.Lock()
	if incarnation != b.node || b.listener == nil {
		b.mu.Unlock()
		return nil, false
	}
	b.lastTicket++
	work.Ticket = b.lastTicket
	a := &attempt{id: id, ticket: work.Ticket, done: make(chan node.Completion, 1)}
	b.waiting[a.ticket] = a
	a.verdict, a.executed = b.node.Offer(b.now(), work)
	if a.verdict != node.Accepted {
		delete(b.waiting, a.ticket)
	}
	started := b.advance()
	b.mu.Unlock()
	b.wakeDriver()
	b.reportStarted(started)
	return a, true
}

// cancel reports to the node that the client of a request has disconnected.
func (b *Backend) cancel(incarnation *node.Node, ticket uint64) {
	b.mu.Lock()
	if incarnation == b.node {
		b.node.Cancel(b.now(), ticket)
	}
	delete(b.waiting, ticket)
	b.mu.Unlock()
	b.wakeDriver()
}

// closeIdleConns closes the connections that have been idle for IdleTimeout, and those that the fault node.IdleClose closes. span is
// the time since the last call.
func (b *Backend) closeIdleConns(span time.Duration) {
	now := time.Now()
	var idle []*conn
	b.mu.Lock()
	for c := range b.conns {
		if c.idleSince.IsZero() {
			continue
		}
		idleFor := now.Sub(c.idleSince)
		timedOut := b.cfg.IdleTimeout > 0 && idleFor >= b.cfg.IdleTimeout
		if timedOut || idleFor > 0 && b.node.CloseIdle(min(span, idleFor)) {
			idle = append(idle, c)
		}
	}
	b.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
