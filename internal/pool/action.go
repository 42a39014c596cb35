package pool

import "time"

// ActionKind identifies what an Action requests.
type ActionKind int

// The kinds of actions, with the fields of Action that each one uses.
const (
	Open                  ActionKind = iota // start a handshake with Slot.Endpoint
	Close                                   // close Slot, because of CloseReason
	Grant                                   // give Slot to Waiter
	Reject                                  // tell Waiter that it gets no connection, because of RejectReason
	ScheduleQuarantineEnd                   // call QuarantineEnded with Slot after Delay
)

// Action is one step that the owner of the table executes. No action blocks.
type Action struct {
	Kind         ActionKind
	Slot         *Slot
	Waiter       *Waiter
	CloseReason  CloseReason
	RejectReason RejectReason
	Delay        time.Duration
}

// CloseReason says why the table closed a connection.
type CloseReason int

// The close reasons.
const (
	CloseIdle      CloseReason = iota // idle for as long as the endpoint's idle limit allows
	CloseAge                          // reached its age limit or request limit, or the endpoint asked for the close
	CloseStale                        // found closed, or with unexpected bytes to read, before it was used
	CloseSuspected                    // suspect: no exchange or handshake has completed on it since others with the endpoint failed
	CloseCrossed                      // closed by the endpoint while a request was in transit
	CloseBroken                       // its exchange failed, or left it in an unknown state
	CloseRetired                      // its endpoint is draining, was removed or has restarted
	CloseCapacity                     // another endpoint needed the capacity, or the limits were lowered
	CloseShutdown                     // the pool is being closed
	closeReasons   int         = iota
)

// closeReasonKeys maps the close reasons to their keys in the metrics.
var closeReasonKeys = [closeReasons]string{
	CloseIdle:      "idle",
	CloseAge:       "age",
	CloseStale:     "stale",
	CloseSuspected: "suspect",
	CloseCrossed:   "crossed",
	CloseBroken:    "broken",
	CloseRetired:   "retired",
	CloseCapacity:  "room",
	CloseShutdown:  "end",
}

// String returns the key of the reason in the metrics.
func (r CloseReason) String() string { return closeReasonKeys[r] }

// RejectReason says why a waiter gets no connection.
type RejectReason int

// The reject reasons.
const (
	RejectCapacity      RejectReason = iota // no connection in time, too many requests wait, or the agent lacks a resource or permission
	RejectNotReady                          // the endpoint is not listed or not ready, or its incarnation has ended, or the pool is closed
	RejectConnectFailed                     // the handshake with the endpoint failed or takes too long
)

// ReleaseOutcome says in which state an exchange left its connection.
type ReleaseOutcome int

// The release outcomes.
const (
	Reusable       ReleaseOutcome = iota // the exchange is complete, and the connection can carry another one
	Unused                               // nothing was written
	MustClose                            // the exchange is complete, and the connection cannot carry another one
	ClosedByServer                       // the endpoint closed it before it sent any part of an answer
	Abandoned                            // the agent stopped waiting before an answer could be expected; this is no evidence against the endpoint
	Broken                               // anything else: the exchange failed, or left the connection in an unknown state
)
