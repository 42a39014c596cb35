package event

// Kind is the kind of an event.
type Kind int

// The kinds of events.
const (
	ConnectionAccepted Kind = iota // a client opened a connection
	ConnectionClosed               // a client's connection was closed; the reason says why
	RequestRead                    // a request was read to its last byte
	RequestAnswered                // the final answer to a request is about to be written; the reason says which answer and why
	AnswerWritten                  // the last byte of an answer was written to the client's connection
	RequestAbandoned               // a request ended without an answer; the reason says why
	AttemptDecided                 // the balancer decided on an attempt; the reason says which: first, retry, hedged or half-open
	AttemptWritten                 // the last byte of an attempt was written to the endpoint's connection
	AnswerWaitEnded                // the wait for an answer that is under way ended, and what has arrived of it is passed on; the reason says why
	AttemptEnded                   // an attempt ended; the reason is its result
	UpstreamOpened                 // a connection to an endpoint was established
	UpstreamClosed                 // a connection to an endpoint was closed; the reason says why
	EndpointsUpdated               // a full endpoint list, or a change to it, took effect
	WatchEnded                     // a watch request to discovery ended without an update; the reason says why
	PhaseChanged                   // the agent began to serve, to drain or to exit
	ListenerFailed                 // accepting a client's connection failed
	numKinds           int  = iota
)

// kindNames are the names in the log and in GET /v1/metrics. Operators search for them, so they must not change.
var kindNames = [numKinds]string{
	ConnectionAccepted: "connection_accepted",
	ConnectionClosed:   "connection_closed",
	RequestRead:        "request_read",
	RequestAnswered:    "request_answered",
	AnswerWritten:      "request_written",
	RequestAbandoned:   "request_abandoned",
	AttemptDecided:     "attempt_decided",
	AttemptWritten:     "attempt_written",
	AnswerWaitEnded:    "answer_wait_ended",
	AttemptEnded:       "attempt_ended",
	UpstreamOpened:     "upstream_opened",
	UpstreamClosed:     "upstream_closed",
	EndpointsUpdated:   "list_applied",
	WatchEnded:         "watch_ended",
	PhaseChanged:       "phase_changed",
	ListenerFailed:     "listener_failed",
}

// String returns the name of the kind in the log and the metrics.
func (k Kind) String() string { return kindNames[k] }
