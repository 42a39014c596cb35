package agent

import (
	"context"
	"errors"
	"os"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/handover"
	"ryeweir/internal/memory"
	"ryeweir/internal/socket"
)

// memoryLimit returns the limit that the platform sets on the agent's memory, in bytes.
func memoryLimit(cfg platform.Config) int64 { return int64(cfg.MemoryMB) << 20 }

// takeRole decides which part of the limits this process may take. On an inherited listener another process may serve as well; which of the
// two came first shows in the folder that they share.
func (a *agent) takeRole() memory.Role {
	if !a.env.Inherited {
		return memory.Alone
	}
	claim, err := handover.TryClaim(os.TempDir())
	switch {
	case err == nil:
		a.claim = claim
	case errors.Is(err, handover.ErrClaimed):
		return memory.Newcomer
	default:
		a.log.Warn("the other process of an upgrade can't be seen", "error", err)
	}
	return memory.Incumbent
}

// planMemory divides the limits for a role.
func planMemory(cfg platform.Config, operators operator.File, env Environment, role memory.Role) memory.Plan {
	descriptors := limitConnections(cfg.MaxDescriptors, env)
	program := env.Program
	if program == 0 {
		program = memory.ResidentProgram()
	}
	return memory.NewPlan(memory.Limits{
		Bytes:               memoryLimit(cfg),
		Program:             program,
		Role:                role,
		ClientConnections:   descriptors.fromClients,
		EndpointConnections: descriptors.toEndpoints,
		SocketBuffer:        operators.Connections.SocketBufferBytes,
	})
}

// applyPlan makes a plan the one in force and tells the owner of the process, who limits the Go runtime.
func (a *agent) applyPlan(plan memory.Plan) {
	a.plan.Store(&plan)
	socket.ShapeListener(a.env.Clients, plan.ReceiveBuffer)
	if a.env.OnPlan != nil {
		a.env.OnPlan(plan)
	}
	a.log.Info("memory planned", "clients", plan.ClientConnections, "in_flight", plan.InFlight, "endpoints", plan.EndpointConnections, "runtime", plan.Runtime,
		"elastic", plan.Elastic, "socket_buffer", plan.SocketBuffer)
}

// succeed waits until the process that served before has ended, and then takes the larger part of the limits. It holds the claim until ctx
// ends.
func (a *agent) succeed(ctx context.Context) {
	defer func() { a.claim.Release() }()
	if a.role == memory.Newcomer {
		a.claim = handover.AwaitClaim(ctx, os.TempDir())
		if a.claim == nil {
			return
		}
		before := a.plan.Load()
		a.applyPlan(planMemory(a.config, a.operators, a.env, memory.Incumbent))
		plan := a.plan.Load()
		a.bodies.Grow(plan.Elastic - before.Elastic)
		a.front.SetLimits(plan.ClientConnections, plan.InFlight)
		if err := a.pool.Configure(a.poolSettings(a.operators)); err != nil {
			a.log.Error("connection settings not applied", "error", err)
		}
	}
	<-ctx.Done()
}
