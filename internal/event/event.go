// Package event records what happens to requests, attempts, connections and the endpoint list: one typed [Event] for each
// step, with the reason for every close, retry and rejection.
//
// A [Recorder] counts all events by kind and reason; GET /v1/metrics shows the counts. At log level debug it also writes each
// event to the log, so that one request can be followed from its connection to the last byte of its answer by its id.
//
// Reasons of the decision module and of the connection pool are mapped to those of events by tables in internal/core and
// internal/pool.
package event

// Event is one thing that happened. Fields that do not apply have their zero values.
type Event struct {
	Kind       Kind
	Reason     Reason
	Request    string // id of the request
	Connection uint64 // number of the client's connection, from Recorder.NextConnectionID
	Attempt    int    // number of the attempt, from 0; only with Endpoint
	Endpoint   string // id of the endpoint
	Detail     string // free text: an address, an error, a version
}
