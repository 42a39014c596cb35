// Package wire is the edge to the simulator and to the settings: it reads the simulator's lines as events of the module, prints the
// module's actions, and maps the platform's words to the terms of the field. It decides nothing.
//
// A line is one JSON object. Between Turn (a batch begins, with the time in nanoseconds) and YourTurn (the reply is due) come:
//
//	Launch, Killed        an instance begins with its settings, or ends
//	Census                a numbered endpoint list, which Members refers to
//	Members               a full snapshot or a change of the endpoint list, or that discovery is unavailable
//	Inbound, Dropped      a request; its client has disconnected
//	Answer, Established   the outcome of an attempt; its response has begun to stream
//	Health                the result of a health check
//	TimeoutFired          a timer
//
// The reply holds a line for each action (Send, Shed, FinishError, Schedule, Poll, Listen) and ends with Yield.
package wire
