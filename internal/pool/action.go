package pool

import "time"

// ActionKind is what an Action asks for.
type ActionKind int

// The kinds of actions, with the fields of Action that each uses.
const (
	Open                  ActionKind = iota // begin a handshake with Slot.Endpoint
	Close                                   // close Slot, for CloseReason
	Grant                                   // give Slot to Waiter
	Reject                                  // tell Waiter that it gets no connection, for RejectReason
	ScheduleQuarantineEnd                   // call QuarantineEnded with Slot after Delay
)

// Action is one step that the table's owner carries out. None of them blocks.
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

// The reasons of a close.
const (
	CloseIdle      CloseReason = iota // idle for as long as the endpoint's idle limit allows
	CloseAge                          // reached its age or its number of requests, or the endpoint asked for the close
	CloseStale                        // found closed, or with unexpected bytes to read, before it was used
	CloseSuspected                    // not proven since a burst of failures
	CloseCrossed                      // closed by the endpoint while a request was on its way
	CloseBroken                       // its exchange failed or left it out of step
	CloseRetired                      // its endpoint drains, was removed or has restarted
	CloseCapacity                     // another endpoint needed the place, or the limits were lowered
	CloseShutdown                     // the pool is closing
	closeReasons   int         = iota
)

// closeReasonKeys are the keys of the reasons in the metrics.
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

// The reasons of a rejection.
const (
	RejectCapacity      RejectReason = iota // no place became free in time, too many wait, or the agent lacks a resource
	RejectNotReady                          // the endpoint takes no new requests
	RejectConnectFailed                     // the endpoint's handshake failed, or takes too long
)

// ReleaseOutcome says how an exchange left its connection.
type ReleaseOutcome int

// The outcomes of a release.
const (
	Reusable       ReleaseOutcome = iota // the exchange is complete, and the connection can carry another
	Unused                               // nothing was written
	MustClose                            // the exchange is complete, and the connection can't carry another
	ClosedByServer                       // the endpoint closed it before any part of an answer
	Abandoned                            // the agent stopped waiting before an answer could be expected: no evidence against the endpoint
	Broken                               // anything else
)
