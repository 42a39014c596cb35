// Package experiment runs scenarios ("scenarios") against one or more variants and reports how the variants differ.
//
// A variant is either the agent (a build of this program with its flags and operators' file) or a reference policy that chooses nodes
// on the client side: random, round-robin, two-choices, oracle (sees the true state of all nodes) and late (the oracle with a state
// that is half a second old). A scenario is drawn from a specification and a seed, so that all variants of a repeat meet the same arrivals,
// work and faults; their outcomes are compared in pairs.
//
// Days run in one of two ways, with the same Outcome:
//
//   - RunScenario starts the agent's processes, emulated nodes and callers on loopback sockets, in real time.
//   - Simulate runs the agent's decisions on node models in simulated time. Equal scenarios and variants give equal outcomes.
//
// The entry points are Run (an experiment's file: repeats, statistics, figures.json and report.html), RunDrill (one scenario of a fleet of
// processes against expectations), Hunt (random fleet scenarios in simulated time, searching for one that does not pass the gate), Fleet
// (a model of many agents' connections), Compare (processor time of the agent beside a plain proxy) and Load (callers for agents that
// run already).
//
// The keys of files and reports are older than the names in this package: "arm" is a variant, "trouble" a fault, "worth" a priority
// weight, "cold" slow start, "probe" a health check, "unheard" not notified.
package experiment
