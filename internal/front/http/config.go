package http

import (
	"log/slog"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/internal/metrics"
	"ryeweir/internal/wire"
)

// Config is what a Server works with. All but Events and Monitor must be set.
type Config struct {
	Site    wire.Site
	Core    *core.Core
	Clock   core.Clock
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Events  *event.Recorder    // records what happens to requests and clients' connections; may be nil
	Monitor *invariant.Monitor // counts violated invariants; may be nil

	BodyBudget        *bodybuffer.Budget // for the bodies of requests
	MaxConnections    int                // from clients, open at a time
	SocketBufferBytes int                // of the kernel, each way and connection; 0 leaves its default
	AcceptWindow      time.Duration      // new connections are accepted for so long after the signal to terminate
	DrainTimeout      time.Duration      // for open requests and streams after that signal; 0 for the platform's limits
}

// MaxInFlightFraction is the fraction of clients' connections that may have a request in flight. On the others a request is
// shed at once.
const MaxInFlightFraction = 0.8

// DrainMargin is how long a drain may go on past the longest deadline that counts.
const DrainMargin = 50 * time.Millisecond

// Timeouts of clients' connections.
const (
	headerTimeout      = 2600 * time.Millisecond // to read the head of a request
	idleTimeout        = 2100 * time.Millisecond // of a connection without a request
	answerWriteTimeout = 2 * time.Second         // to write an answer without content
	clientStallTimeout = 5 * time.Second         // to write one piece of an answer's content
)

// Timing of a drain.
const (
	drainIdleTimeout   = time.Second            // of connections while the agent drains: their clients have others, or are leaving
	drainSweepInterval = 250 * time.Millisecond // between two looks for such connections
	drainPollInterval  = 5 * time.Millisecond   // between two looks whether the drain is complete
	maxCountedDeadline = 3 * time.Second        // the platform's restart waits for no longer deadline than this
)

// Bounds of accepting what waits in the kernel's queue before the listener closes.
const (
	backlogQuietPeriod = 20 * time.Millisecond // without a new connection: the queue is empty
	maxBacklogPeriods  = 10
)

// Bounds of requests.
const (
	maxHeaderBytes    = 16 << 10
	maxRequestIDBytes = 128
	// deadlineMargin is how long before its client's deadline a call ends, so that its answer arrives in time.
	deadlineMargin = 20 * time.Millisecond
	// overLimitRetryAfter is the Retry-After of a request that is shed as too many are in flight.
	overLimitRetryAfter = time.Second
)
