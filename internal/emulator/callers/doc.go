// Package callers generates the load of a run. The requests and their times are drawn in advance, without I/O. They are then sent
// at those times whether or not earlier responses have arrived (open loop), so a slow service does not reduce its own load.
//
// Plan draws the customers' requests: the time, class, tenant, routing key, agent and cost of each. A Call tracks one request
// through the attempts of its client. It does no I/O and reads no clock: its caller reports how an attempt ended, and the Call
// returns when the next one begins. Run sends the planned requests over the clients that a Route chooses, and reports each attempt
// to the referee. The simulation of internal/experiment uses Plan and Call with a network of its own.
//
// RunMisbehaving adds clients that send invalid requests.
package callers
