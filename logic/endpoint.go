package logic

import "time"

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Ready    EndpointState = iota
	Draining               // completes the requests in flight, accepts no new ones
	Removed                // no longer listed; occurs only in a change of the list
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        string
	State     EndpointState
	Zone      int
	Cell      int           // small group of endpoints that share deduplication
	Weight    float64       // relative capacity; taken as 1 if it is not above 0 or without UseListedWeights
	StartedAt time.Duration // latest start, on the same clock as the events; 0: long ago
}

// endpoint is the state that the Balancer keeps of one endpoint.
type endpoint struct {
	Endpoint
	rank                   uint64        // position in this balancer's order of the endpoints; see subset.go
	restartedAt            time.Duration // when the list reported its latest restart; 0: never
	lastSeen               time.Duration // latest response or, if later, the first send that waits for one
	inFlight               []*attempt    // oldest first
	health                 endpointHealth
	estimate               capacityEstimate
	healthCheckUtilization healthCheckUtilization
	check                  checkSchedule

	// Set by updateWeights for the current event.
	capacity float64 // estimated requests per second once slow start has ended
	weight   float64 // capacity lowered by slow start and failures, raised in the balancer's own zone
	inSubset bool    // whether the endpoint is in this balancer's subset
}

// loadAfterRequest is the load as the paper of selection.go defines it, with the current request added:
// attempts in flight divided by weight.
func (e *endpoint) loadAfterRequest() float64 { return float64(len(e.inFlight)+1) / e.weight }

// restart discards what was learned about earlier incarnations: a restarted process is healthy and in slow
// start. Attempts in flight and the schedule of health checks are kept.
func (e *endpoint) restart(now time.Duration) {
	*e = endpoint{rank: e.rank, restartedAt: now, lastSeen: now, inFlight: e.inFlight, check: e.check}
}
