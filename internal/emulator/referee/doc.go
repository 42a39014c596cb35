// Package referee keeps the account of a run and judges whether the rules held. It rests on what callers, nodes and discovery
// saw, each by itself, and never asks an agent: a fault of the agent could hide itself in the agent's own figures.
//
// The rules:
//
//   - Lost: an agent that has read a request must answer it with what a node made for it. A request whose connection closed
//     counts as lost only if it had reached a node, as else nobody can say that the agent had read it.
//   - Duplicate: a request that is not idempotent is executed at most once.
//   - AfterDrain: a node that an agent was notified of as draining or gone gets no new request from it, after a grace.
//   - SlowStartOverload: a node in slow start is not overloaded.
//
// Each violation names its evidence. An agent that was killed is excused for the requests that it had open.
//
// MeasureService computes from the results of calls what the customers got, weighted by priority.
package referee
