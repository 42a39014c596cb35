// Package referee counts the outcomes of the requests of a run and checks that the rules below held. It uses only what callers,
// nodes and discovery report, and nothing that an agent reports: a faulty agent could hide its fault in its own figures.
//
// The rules:
//
//   - Lost: an agent that has read a request must answer it with a response that a node produced for it. A request whose
//     connection closed counts as lost only if the request had reached a node; otherwise the agent may not have read it.
//   - Duplicate: a request that is not idempotent is executed at most once.
//   - AfterDrain: after an agent was notified that a node is draining or removed, it sends no new request to that node. Requests
//     that arrive within a grace period are allowed.
//   - SlowStartOverload: a node in slow start is not overloaded.
//
// Each violation includes its evidence. The requests that were open on an agent when it was killed are not counted as lost.
//
// MeasureService computes from the results of calls how well the customers were served, weighted by priority.
package referee
