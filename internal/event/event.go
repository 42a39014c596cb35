// Package event records what happens to requests, attempts, connections and the list of servers: one typed record for
// each step, with the reason for every close, retry and rejection. All records are counted by kind and reason. At log level
// debug each is also written to the log, so that one request can be followed from accept to its last byte by its id.
package event

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
)

// Kind is what happened.
type Kind int

// The kinds of events.
const (
	ConnectionAccepted Kind = iota // a client's connection
	ConnectionClosed               // a client's connection; the reason says why
	RequestRead                    // a request has been read to its last byte
	RequestAnswered                // the final answer of a request is about to be written; the reason says which and why
	RequestWritten                 // the last byte of an answer has been handed to the client's connection
	RequestAbandoned               // a request ended without an answer; the reason says why
	AttemptDecided                 // an attempt was decided on; the reason says whether it is a first one, a retry or a hedge
	AttemptWritten                 // the last byte of an attempt has been written
	AttemptEnded                   // the reason is its result
	UpstreamOpened                 // a connection to a server came up
	UpstreamClosed                 // a connection to a server was closed; the reason says why
	EndpointsUpdated               // the list of servers, or a change of it, took effect
	WatchEnded                     // a call to discovery ended without news; the reason says why
	PhaseChanged                   // serving, draining, ending
	ListenerFailed                 // accepting a connection failed
	kinds              int  = iota
)

var kindNames = [kinds]string{"connection_accepted", "connection_closed", "request_read", "request_answered", "request_written",
	"request_abandoned", "attempt_decided", "attempt_written", "attempt_ended", "upstream_opened", "upstream_closed", "list_applied",
	"watch_ended", "phase_changed", "listener_failed"}

// String is the kind's name in the log and in the metrics.
func (k Kind) String() string { return kindNames[k] }

// Reason is why something happened.
type Reason int

// The reasons of events.
const (
	None Reason = iota

	// Of answers.
	Served
	Overloaded           // rejected: the servers are overloaded
	NoEndpointLeft       // no server may get it
	RetryBudgetExhausted // no further attempt is within the retry budget
	NotRetryable         // what may have run must not be sent again
	DeadlineExceeded     // its time was over
	ShuttingDown         // the process ends
	TooManyOpen          // as many requests are open as may be
	BudgetShed           // rejected by the fleet's budget
	DuplicateID          // another request under its id is open
	Malformed            // the client's request is not in order
	UploadTruncated      // its body did not come whole
	AnswerTruncated      // the answer broke off on its way
	ClientStalled        // the client did not read its answer

	// Of closes and abandoned requests.
	ClientClosed   // the client closed the connection
	IdleTimeout    // no request came in time
	ReadTimeout    // a request did not come whole in time
	Draining       // the agent sends its clients elsewhere
	CapacityNeeded // another connection needed the place
	AfterAnswer    // the answer said that the connection closes
	ProcessEnd     // the process has ended
	ConnectionBad  // reading failed otherwise

	// Of attempts.
	FirstAttempt
	RetryAttempt
	HedgedAttempt
	HalfOpenAttempt // a request that tests an ejected server

	// Of results.
	OK
	ServerError
	ServerRejected
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent

	// Of connections to servers.
	AgeLimit
	StaleConnection
	SuspectConnection
	CrossedClose
	BrokenExchange
	EndpointRetired

	// Of discovery.
	WatchFailed
	WatchSilent
	WatchMoved
	WatchStopped

	reasons int = iota
)

var reasonNames = [reasons]string{"none",
	"served", "overload", "no_server", "retry_budget", "no_retry", "deadline", "shutting_down", "too_many_open", "budget_shed",
	"duplicate_id", "malformed", "broken_upload", "broken_answer", "client_stalled",
	"client_closed", "idle_timeout", "read_timeout", "draining", "room_needed", "after_answer", "process_end", "connection_bad",
	"first", "retry", "hedge", "trial",
	"ok", "server_error", "server_rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent",
	"age_limit", "stale_connection", "suspect_connection", "crossed_close", "broken_exchange", "server_retired",
	"failed", "silent", "moved", "stopped"}

// String is the reason's name in the log and in the metrics.
func (r Reason) String() string { return reasonNames[r] }

// Event is one thing that happened. Fields that do not apply keep their zero values.
type Event struct {
	Kind       Kind
	Reason     Reason
	Request    string // id of the request
	Connection uint64 // number of the client's connection
	Attempt    int    // number of the attempt, from 0, where Server is set
	Endpoint   string // id of the server
	Detail     string // free text: an address, an error, a version
}

// Recorder counts events and writes them to the log. It may be used by any goroutine. A nil Recorder records nothing.
type Recorder struct {
	log         *slog.Logger
	counts      [kinds][reasons]atomic.Int64
	connections atomic.Uint64
}

// NewRecorder returns a recorder that writes to the log at level debug.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// NextConnectionID returns a number for a client's connection, unique in this process.
func (r *Recorder) NextConnectionID() uint64 {
	if r == nil {
		return 0
	}
	return r.connections.Add(1)
}

// Verbose reports whether events are logged: only then is it worth making up a Detail that costs something.
func (r *Recorder) Verbose() bool {
	return r != nil && r.log.Enabled(context.Background(), slog.LevelDebug)
}

// Record counts the event, and logs it where the level allows.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.counts[e.Kind][e.Reason].Add(1)
	if !r.Verbose() {
		return
	}
	attrs := make([]slog.Attr, 0, 6)
	if e.Reason != None {
		attrs = append(attrs, slog.String("reason", e.Reason.String()))
	}
	if e.Request != "" {
		attrs = append(attrs, slog.String("request", e.Request))
	}
	if e.Connection != 0 {
		attrs = append(attrs, slog.Uint64("connection", e.Connection))
	}
	if e.Endpoint != "" {
		attrs = append(attrs, slog.String("server", e.Endpoint), slog.Int("attempt", e.Attempt))
	}
	if e.Detail != "" {
		attrs = append(attrs, slog.String("detail", e.Detail))
	}
	r.log.LogAttrs(context.Background(), slog.LevelDebug, e.Kind.String(), attrs...)
}

// Count is how many events of a kind with a reason were recorded.
func (r *Recorder) Count(k Kind, why Reason) int64 {
	if r == nil {
		return 0
	}
	return r.counts[k][why].Load()
}

// MarshalJSON gives the counts that are above 0, by kind and reason.
func (r *Recorder) MarshalJSON() ([]byte, error) {
	all := map[string]map[string]int64{}
	for kind := range r.counts {
		for reason := range r.counts[kind] {
			count := r.counts[kind][reason].Load()
			if count == 0 {
				continue
			}
			name := Kind(kind).String()
			if all[name] == nil {
				all[name] = map[string]int64{}
			}
			all[name][Reason(reason).String()] = count
		}
	}
	return json.Marshal(all)
}
