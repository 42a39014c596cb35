package node

import "time"

// Work is a request at a node.
type Work struct {
	Ticket     uint64 // the caller's own number for it, never used twice
	Key        string // routing key; may be empty
	Cost       time.Duration
	Deadline   time.Duration // when its client stops waiting; 0 for never
	Unnotified bool          // its sender had not been notified of the node's start
}

// Verdict is what a node does with a request.
type Verdict int

// The verdicts.
const (
	Accepted   Verdict = iota // it ends with a Completion
	Rejected                  // not executed: the node is full or draining, or the deadline has passed
	FailedFast                // an error at once
	ConnReset                 // its connection is reset
	NoResponse                // it is never answered
)

// ResponseForm is how a response goes out.
type ResponseForm int

// The forms of a response.
const (
	Intact    ResponseForm = iota
	Malformed              // not parseable
	Oversized              // its stated length is far above what any response may have
)

// Completion is the end of a request that was accepted.
type Completion struct {
	Ticket   uint64
	At       time.Duration // when the response goes out: in a fault later than the end of the work
	OK       bool          // false for an error
	Expired  bool          // its deadline passed while it was queued: not executed
	Form     ResponseForm
	WorkDone time.Duration
}

// Figures count what a node has done.
type Figures struct {
	Offered, Rejected, Failed, Served, Expired, Cancelled int
	HealthChecks, Handshakes                              int

	Work         time.Duration // done
	Wasted       time.Duration // part of Work whose result nobody got
	Degradations int
	// The largest load in slow start, as a share of what overloads the node, at times when it came from agents that had been
	// notified of the node's start; without the slack for chance.
	SlowStartPeak float64
}

// Add returns the figures of two incarnations together.
func (f Figures) Add(g Figures) Figures {
	f.Offered += g.Offered
	f.Rejected += g.Rejected
	f.Failed += g.Failed
	f.Served += g.Served
	f.Expired += g.Expired
	f.Cancelled += g.Cancelled
	f.HealthChecks += g.HealthChecks
	f.Handshakes += g.Handshakes
	f.Work += g.Work
	f.Wasted += g.Wasted
	f.Degradations += g.Degradations
	f.SlowStartPeak = max(f.SlowStartPeak, g.SlowStartPeak)
	return f
}
