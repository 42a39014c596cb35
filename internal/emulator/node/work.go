package node

import "time"

// Work is a request as it is offered to a node.
type Work struct {
	Ticket     uint64        // identifies the request; assigned by the caller of Offer and never reused
	Key        string        // routing key; may be empty
	Cost       time.Duration // on a core of speed 1
	Deadline   time.Duration // when the client stops waiting; 0 for never
	Unnotified bool          // the sender had not been notified of the node's start
}

// Verdict is what a node does with a request.
type Verdict int

// The verdicts.
const (
	Accepted   Verdict = iota // queued or executing; a Completion follows unless the request is cancelled
	Rejected                  // not executed: the node is full or draining, or the deadline has passed
	FailedFast                // answered with an error at once
	ConnReset                 // its connection is reset
	NoResponse                // never answered
)

// ResponseForm says whether a response is valid HTTP, and if not, in which way.
type ResponseForm int

// The forms of a response.
const (
	Intact    ResponseForm = iota
	Malformed              // cannot be parsed
	Oversized              // its Content-Length is far above what a response may have
)

// Completion is the end of an accepted request.
type Completion struct {
	Ticket   uint64
	At       time.Duration // when the response is sent; later than the end of the execution under the fault DelayedResponse
	OK       bool          // false for an error response
	Expired  bool          // not executed, because its deadline passed while it was queued
	Form     ResponseForm
	WorkDone time.Duration
}

// Figures count what a node has done.
type Figures struct {
	Offered, Rejected, Failed, Served, Expired, Cancelled int
	HealthChecks, Handshakes                              int

	Work         time.Duration // total work done
	Wasted       time.Duration // the part of Work spent on cancelled requests and on requests that failed
	Degradations int
	// SlowStartPeak is the peak load in slow start less the slack, as a fraction of the load that overloads the node. Only load
	// that came mostly (avoidableFraction) from agents notified of the node's start counts.
	SlowStartPeak float64
}

// Add returns the sum of the figures of two incarnations.
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
