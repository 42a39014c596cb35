package event

// Kind is what happened.
type Kind int

// The kinds of events.
const (
	ConnectionAccepted Kind = iota // a client's connection
	ConnectionClosed               // a client's connection; the reason says why
	RequestRead                    // a request has been read to its last byte
	RequestAnswered                // the final answer of a request is about to be written; the reason says which and why
	AnswerWritten                  // the last byte of an answer has been written to the client's connection
	RequestAbandoned               // a request ended without an answer; the reason says why
	AttemptDecided                 // an attempt was decided on; the reason says whether it is a first one, a retry or hedged
	AttemptWritten                 // the last byte of an attempt has been written
	AttemptEnded                   // the reason is its result
	UpstreamOpened                 // a connection to an endpoint was established
	UpstreamClosed                 // a connection to an endpoint was closed; the reason says why
	EndpointsUpdated               // a full endpoint list, or a change of it, took effect
	WatchEnded                     // a request to discovery ended without an update; the reason says why
	PhaseChanged                   // serving, draining, ending
	ListenerFailed                 // accepting a connection failed
	kinds              int  = iota
)

// kindNames are part of the operators' interface: the log and GET /v1/metrics are searched by them. They must not change.
var kindNames = [kinds]string{
	ConnectionAccepted: "connection_accepted",
	ConnectionClosed:   "connection_closed",
	RequestRead:        "request_read",
	RequestAnswered:    "request_answered",
	AnswerWritten:      "request_written",
	RequestAbandoned:   "request_abandoned",
	AttemptDecided:     "attempt_decided",
	AttemptWritten:     "attempt_written",
	AttemptEnded:       "attempt_ended",
	UpstreamOpened:     "upstream_opened",
	UpstreamClosed:     "upstream_closed",
	EndpointsUpdated:   "list_applied",
	WatchEnded:         "watch_ended",
	PhaseChanged:       "phase_changed",
	ListenerFailed:     "listener_failed",
}

// String returns the kind's name in the log and in the metrics.
func (k Kind) String() string { return kindNames[k] }
