// Package event records what happens to requests, attempts, connections and the endpoint list. Each step is one typed [Event].
// Every close, retry and rejection has a reason.
//
// A [Recorder] counts all events by kind and reason, and GET /v1/metrics shows the counts. At log level debug it also logs each
// event, so that a request can be traced by its id from its connection to the last byte of its answer.
//
// Tables in internal/core and internal/pool map the reasons of the balancer and of the connection pool to event reasons.
package event

// Event describes one step of a request, an attempt, a connection or the agent. Fields that do not apply are zero.
type Event struct {
	Kind       Kind
	Reason     Reason
	Request    string // the request's id
	Connection uint64 // the number of the client's connection, from Recorder.NextConnectionID
	Attempt    int    // the number of the attempt within its request, from 0; valid only if Endpoint is set
	Endpoint   string // the endpoint's id
	Detail     string // free text, such as an address, an error or a version
}
