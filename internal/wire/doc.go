// Package wire implements the line protocol of the simulator and decodes the settings object. It decodes lines to the events of package
// logic, encodes its actions, and maps the platform's names to the names that the code uses. It makes no decisions.
//
// Each line is a JSON object. A batch starts with Turn, which carries the time in nanoseconds, and ends with YourTurn, after which a reply
// is expected. In between come:
//
//	Launch, Killed        an instance starts with its settings, or ends
//	Census                a numbered endpoint list that Members refers to
//	Members               a full snapshot or an update of the endpoint list, or a notice that discovery is unavailable
//	Inbound, Dropped      a request arrives, or its client disconnects
//	Answer, Established   an attempt ends, or its response starts to stream
//	Health                the result of a health check
//	TimeoutFired          a timer fires
//
// The reply contains a line for each action (Send, Shed, FinishError, Schedule, Poll, Listen) and ends with Yield.
package wire
