// Package callers is the load of a run: what is sent when is drawn ahead, without I/O, and then sent at those times whether
// or not earlier responses have come (open loop), so that a slow service cannot slow down its own load.
//
// Plan draws the customers' requests: when each is due, for which class, tenant and key, at which agent, and its cost. A Call
// follows one of them through the attempts of its client: it has no I/O and no clock, takes how an attempt ended, and says
// when the next begins. Run sends a plan over a Client per agent and reports each attempt to the referee. The simulation of
// internal/experiment uses Plan and Call with a network of its own.
//
// RunMisbehaving adds clients that send no valid HTTP.
package callers
