package core

import (
	"time"

	"ryeweir/internal/budget"
	"ryeweir/logic"
)

// message is something that the loop is told: one of the types below.
type message interface{}

type (
	// arrived brings a new call.
	arrived struct{ call *Call }
	// received says that all of a Partial call has come.
	received struct {
		call *Call
		at   time.Duration
	}
	// left says that nobody waits for the answer any more.
	left struct{ call *Call }
	// ended is the outcome of an attempt.
	ended struct {
		attempt *Attempt
		outcome Outcome
	}
	// probed is the result of a probe.
	probed struct{ logic.HealthChecked }
	// pressed says whether the agent itself has more to do than it can.
	pressed struct{ over bool }
	// exchanged brings what peers tell of the fleet's level, and wants this agent's part of it.
	exchanged struct {
		parts []budget.PeerState
		peers int
		own   chan<- budget.PeerState
	}
	// hearsay brings what other agents see of a server.
	hearsay struct{ logic.PeerReport }
	// asked wants to know what has been learnt.
	asked struct{ knowledge chan<- logic.Knowledge }
	// finishing says that the process is about to end.
	finishing struct{}
	// unavailable says that a subscription to the list ended or could not be had.
	unavailable struct{}
)
