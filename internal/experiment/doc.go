// Package experiment runs scenarios against one or more variants and reports how the variants differ.
//
// A variant is either the agent (a build of this program with its flags and operators' file) or a reference policy with which the callers
// choose nodes themselves: random, round-robin, two-choices, oracle (sees the true state of all nodes) and late (the oracle with a state
// that is half a second old). A scenario is drawn from a specification and a seed, so that all variants of a repeat get the same arrivals,
// work and faults. Their outcomes are compared in pairs of one seed.
//
// A scenario runs in one of two ways, and both return an Outcome:
//
//   - RunScenario starts the agent's processes, emulated nodes and callers on loopback sockets, in real time.
//   - Simulate runs the agent's decisions (package logic) on node models in simulated time. Equal scenarios and variants give equal outcomes.
//
// The entry points are:
//
//	Run            runs an experiment's file: repeats, statistics, figures.json and report.html
//	RunDrill       runs one scenario with a fleet of agent processes and checks the outcome against expectations
//	Hunt           runs random fleet scenarios in simulated time, searching for one that does not pass the gate
//	RunFleetModel  models the connections of many agents in simulated time
//	Compare        measures the CPU time of the agent and of a plain proxy
//	RunLoad        sends the requests of a scenario to agents that already run
//
// The keys of files and reports are older than the names in this package: "day" is a scenario, "arm" a variant, "trouble" a fault, "worth"
// a priority weight, "cold" slow start, "probe" a health check, "choke" the degradation of an overloaded node, "refused" rejected,
// "unheard" not notified.
package experiment
