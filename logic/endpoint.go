package logic

import "time"

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states.
const (
	Ready    EndpointState = iota
	Draining               // completes what is in flight; gets nothing new
	Removed                // not listed any more; only in a change of the list
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        string
	State     EndpointState
	Zone      int
	Cell      int           // a small group of endpoints that drop each other's repeats
	Weight    float64       // its size, relative to the others
	StartedAt time.Duration // its latest start, on the clock of the events; 0: long ago
}

// endpoint is all that is known of one endpoint.
type endpoint struct {
	Endpoint
	rank        uint64        // position in this balancer's order of the endpoints: see subset.go
	restartedAt time.Duration // when the list brought its latest restart; 0 without one
	lastSeen    time.Duration // latest answer or, if later, the first send that waits for one
	inFlight    []*attempt    // oldest first
	health      endpointHealth
	estimate    capacityEstimate
	utilization checkedUtilization
	check       checkSchedule

	// Set by updateWeights for the event at hand.
	capacity float64 // requests a second when warm, as far as it is known
	weight   float64 // capacity at present: less while it warms up or fails, more in the own zone
	inSubset bool    // this balancer spreads its requests over it
}

// loadAfterRequest is the load in the sense of the paper, with the request at hand: attempts in flight over
// weight.
func (e *endpoint) loadAfterRequest() float64 { return float64(len(e.inFlight)+1) / e.weight }

// restart drops what earlier incarnations have shown: a restarted process is healthy and warms up. Attempts
// in flight and the schedule of health checks remain.
func (e *endpoint) restart(now time.Duration) {
	*e = endpoint{rank: e.rank, restartedAt: now, lastSeen: now, inFlight: e.inFlight, check: e.check}
}
