package http

import (
	"log/slog"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/invariant"
	"ryeweir/internal/metrics"
	"ryeweir/internal/socket"
	"ryeweir/internal/wire"
)

// Config holds the settings and dependencies of a Server. All fields must be set, except where a comment says that nil or 0 is
// allowed.
type Config struct {
	Site    wire.Site
	Core    *core.Core
	Clock   core.Clock
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Events  *event.Recorder    // records the events of requests and client connections; may be nil
	Monitor *invariant.Monitor // counts invariant violations; may be nil

	BodyBudget     *bodybuffer.Budget // limits the memory for request bodies and long heads
	MaxConnections int                // limits the open client connections; see SetLimits
	MaxInFlight    int                // limits the requests in flight; more are shed at once
	UnsentBytes    int                // bounds what the kernel holds for each client, see socket.Listener; 0 for no bound
	AcceptWindow   time.Duration      // how long new connections are accepted after the termination signal
	DrainTimeout   time.Duration      // for requests in flight and streams after the termination signal; 0 selects the platform's limits
}

// DrainMargin is how long a drain may continue after the longest request deadline that it waits for.
const DrainMargin = 50 * time.Millisecond

// Timeouts of client connections.
const (
	headerTimeout = 2600 * time.Millisecond // to read the head of a request
	idleTimeout   = 2100 * time.Millisecond // between requests
)

// clientStallLimit ends answers to clients that do not read them.
//
// A client that reads slowly acknowledges in steps: its kernel reopens a closed window only when a sixteenth of the receive buffer is
// free. At 64 kB/s, the slowest rate of the platform's clients, Timeout covers the steps of a buffer of 7 MB.
var clientStallLimit = socket.StallLimit{Timeout: 7 * time.Second, MinRate: minDownloadRate}

// minDownloadRate is the rate, in bytes per second, below which an answer is cut off.
const minDownloadRate = 8 << 10

// Timing of a drain.
const (
	drainIdleTimeout   = time.Second            // of idle connections during a drain; their clients have other connections, or are going away
	drainSweepInterval = 250 * time.Millisecond // between two searches for idle connections during a drain
	drainPollInterval  = 5 * time.Millisecond   // between two checks whether the drain is complete
	// drainStreamTimeout is the time for answers that are being written when the time for requests is over. No sound answer needs it: the
	// platform decides when a process that still passes on answers is killed.
	drainStreamTimeout = httpmsg.MaxAnswerDuration
	maxCountedDeadline = 3 * time.Second // the longest request deadline that the platform's restart waits for
)

// Before the agent's own listener closes, a drain accepts the connections in the kernel's accept queue, which would be reset
// otherwise. Those of an inherited listener are left to the next process. These constants bound that step.
const (
	backlogQuietPeriod = 20 * time.Millisecond // no new connection for this long means that the queue is empty
	maxBacklogPeriods  = 10                    // number of such periods after which the listener closes in any case
)

// Limits on requests.
const (
	// settleLimit is how long a request waits for what its client has sent behind it to be read, so that a client that has left is noticed.
	settleLimit = 30 * time.Millisecond
	// minWatchInterval is the least time between two looks at the deadline of a long body: a client may state a timeout of microseconds.
	minWatchInterval  = 5 * time.Millisecond
	maxHeaderBytes    = 16 << 10
	maxRequestIDBytes = 128
	// deadlineMargin is how long before its client's deadline a call ends, so that the answer reaches the client in time.
	deadlineMargin = 20 * time.Millisecond
	// overLimitRetryAfter is the Retry-After of a request that is shed because too many are in flight.
	overLimitRetryAfter = time.Second
)
