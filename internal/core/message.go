package core

import (
	"time"

	"ryeweir/internal/budget"
	"ryeweir/logic"
)

// message is an input of the event loop: one of the types below.
type message interface{ message() }

type (
	// callSubmitted carries a new call.
	callSubmitted struct{ call *Call }

	// bodyReceived reports when the last byte of a call's message arrived.
	bodyReceived struct {
		call *Call
		at   time.Duration
	}

	// uploadExpired reports that the deadline of a call whose message is still arriving may have passed.
	uploadExpired struct{ call *Call }

	// callAbandoned reports that no client is waiting for the call's answer any more.
	callAbandoned struct{ call *Call }

	// attemptEnded carries the only outcome of an attempt.
	attemptEnded struct {
		attempt *Attempt
		outcome Outcome
	}

	// endpointsUpdated carries a full endpoint list or a change to it.
	endpointsUpdated struct{ list EndpointList }

	// discoveryUnavailable reports that a subscription to the endpoint list has ended or could not be established.
	discoveryUnavailable struct{}

	// healthChecked carries the result of a health check.
	healthChecked struct{ logic.HealthChecked }

	// peerReported carries what peers report of the health of an endpoint.
	peerReported struct{ logic.PeerReport }

	// selfOverloadChanged reports whether the agent itself is overloaded.
	selfOverloadChanged struct{ overloaded bool }

	// peerStatesExchanged carries the budget states of peers and requests the state of this agent.
	peerStatesExchanged struct {
		states []budget.PeerState
		peers  int
		reply  chan<- budget.PeerState // buffered, because the loop must not block on it
	}

	// knowledgeRequested requests what the balancer has learned.
	knowledgeRequested struct {
		reply chan<- logic.Knowledge // buffered, because the loop must not block on it
	}

	// shutdownRequested reports that the process is about to exit.
	shutdownRequested struct{}
)

func (callSubmitted) message()        {}
func (bodyReceived) message()         {}
func (uploadExpired) message()        {}
func (callAbandoned) message()        {}
func (attemptEnded) message()         {}
func (endpointsUpdated) message()     {}
func (discoveryUnavailable) message() {}
func (healthChecked) message()        {}
func (peerReported) message()         {}
func (selfOverloadChanged) message()  {}
func (peerStatesExchanged) message()  {}
func (knowledgeRequested) message()   {}
func (shutdownRequested) message()    {}
