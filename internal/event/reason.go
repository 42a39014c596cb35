package event

// Reason is why something happened.
type Reason int

// The reasons of events.
const (
	None Reason = iota

	// Of answers.

	Served
	Overloaded           // rejected: the endpoints are overloaded
	NoEndpointLeft       // no endpoint may receive it
	RetryBudgetExhausted // the retry budget permits no further attempt
	NotRetryable         // an attempt may have run and must not be repeated
	DeadlineExceeded     // the client's time is over
	ShuttingDown         // the process ends
	TooManyOpen          // the limit on open requests is reached
	BudgetShed           // shed by the fleet's budget
	DuplicateID          // another request under its id is in progress
	Malformed            // the client's request is not valid
	UploadTruncated      // its body did not arrive to the end
	AnswerTruncated      // the answer broke off while it was passed on
	ClientStalled        // the client did not read its answer

	// Of closed connections and abandoned requests.

	ClientClosed   // the client closed the connection
	IdleTimeout    // no request arrived in time
	ReadTimeout    // a request did not arrive to its end in time
	Draining       // the agent is draining: clients connect to another
	CapacityNeeded // evicted for another connection at the limit
	AfterAnswer    // the answer announced that the connection closes
	ProcessEnd     // the process has ended
	ConnectionBad  // another read error

	// Of attempts.

	FirstAttempt
	RetryAttempt
	HedgedAttempt
	HalfOpenAttempt // tests an ejected endpoint with a request

	// Of results.

	OK
	ServerError    // an error came back; it may have run
	ServerRejected // rejected before it ran
	TimedOut       // no answer in time; it may have run
	ConnectFailed  // no connection in time
	Reset          // the connection broke; it may have run
	Cancelled      // withdrawn; it may have run
	NotSent        // nothing was written

	// Of connections to endpoints.

	AgeLimit          // reached its maximum age or number of uses
	StaleConnection   // found closed, or with data to read, before it was reused
	SuspectConnection // established before a burst of failures of its endpoint
	CrossedClose      // closed by the endpoint while a request was written to it
	BrokenExchange    // an exchange broke or did not end cleanly
	EndpointRetired   // its endpoint is draining, removed or restarted

	// Of discovery.

	WatchFailed  // with an error
	WatchSilent  // nothing arrived for too long
	WatchMoved   // discovery has another address now
	WatchStopped // the process ends

	reasons int = iota
)

// reasonNames are part of the operators' interface: the log and GET /v1/metrics are searched by them. They must not change.
var reasonNames = [reasons]string{
	None: "none",

	Served:               "served",
	Overloaded:           "overload",
	NoEndpointLeft:       "no_server",
	RetryBudgetExhausted: "retry_budget",
	NotRetryable:         "no_retry",
	DeadlineExceeded:     "deadline",
	ShuttingDown:         "shutting_down",
	TooManyOpen:          "too_many_open",
	BudgetShed:           "budget_shed",
	DuplicateID:          "duplicate_id",
	Malformed:            "malformed",
	UploadTruncated:      "broken_upload",
	AnswerTruncated:      "broken_answer",
	ClientStalled:        "client_stalled",

	ClientClosed:   "client_closed",
	IdleTimeout:    "idle_timeout",
	ReadTimeout:    "read_timeout",
	Draining:       "draining",
	CapacityNeeded: "room_needed",
	AfterAnswer:    "after_answer",
	ProcessEnd:     "process_end",
	ConnectionBad:  "connection_bad",

	FirstAttempt:    "first",
	RetryAttempt:    "retry",
	HedgedAttempt:   "hedge",
	HalfOpenAttempt: "trial",

	OK:             "ok",
	ServerError:    "server_error",
	ServerRejected: "server_rejected",
	TimedOut:       "timed_out",
	ConnectFailed:  "connect_failed",
	Reset:          "reset",
	Cancelled:      "cancelled",
	NotSent:        "not_sent",

	AgeLimit:          "age_limit",
	StaleConnection:   "stale_connection",
	SuspectConnection: "suspect_connection",
	CrossedClose:      "crossed_close",
	BrokenExchange:    "broken_exchange",
	EndpointRetired:   "server_retired",

	WatchFailed:  "failed",
	WatchSilent:  "silent",
	WatchMoved:   "moved",
	WatchStopped: "stopped",
}

// String returns the reason's name in the log and in the metrics.
func (r Reason) String() string { return reasonNames[r] }
