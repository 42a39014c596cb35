package soak

import (
	"context"
	"time"

	"ryeweir/internal/crowd"
)

// Sizes of crowds and floods.
const (
	strainingClients = 330
	floodingClients  = 6
)

// recordOverLimit records that an agent may have been at its limit of connections since a time.
func (r *soakRun) recordOverLimit(agent int, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overConnectionLimit[agent] = append(r.overConnectionLimit[agent], span{from, monotonic()})
}

// injectClientFault makes clients of the target agent misbehave, or lets a crowd or a flood of other clients come.
func (r *soakRun) injectClientFault(ctx context.Context, fault Fault) {
	c := r.clients[fault.Target]
	from := monotonic()
	switch fault.Kind {
	case IdleConnections:
		c.holdIdleConnections(ctx, r.plan.Descriptors, fault.Duration)
		r.recordOverLimit(fault.Target, from)
		return
	case StrainingCrowd:
		straining, end := context.WithTimeout(ctx, fault.Duration)
		defer end()
		crowd.Hold(straining, c.agent.listen, strainingClients, crowd.Behavior(fault.Detail), r.plan.example(idempotent), r.plan.example(nonIdempotent))
		r.recordOverLimit(fault.Target, from)
		return
	case RequestFlood:
		flooding, end := context.WithTimeout(ctx, fault.Duration)
		defer end()
		crowd.Flood(flooding, c.agent.listen, floodingClients, crowd.FloodKind(fault.Detail), r.plan.example(nonIdempotent))
		return
	}
	c.mu.Lock()
	c.burstBehavior = clientBehavior(fault.Detail)
	c.mu.Unlock()
	sleep(ctx, fault.Duration)
	c.mu.Lock()
	c.burstBehavior = ""
	c.mu.Unlock()
}
