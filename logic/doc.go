// Package logic decides for a client-side load balancer: which endpoint gets a request, when an attempt is
// retried or hedged, which endpoints are ejected, and which requests are rejected.
//
// # Events in, actions out
//
// A Balancer is a deterministic state machine. It does no I/O, reads no clock and starts no goroutine. Its
// owner calls Handle with the time and one Event, and carries out the returned Actions in order. Equal
// settings, seed and events give equal actions. Only one goroutine may use a Balancer.
//
//	b, err := logic.New(settings, seed)
//	carryOut(b.Start(now))
//	for event := range events {
//		carryOut(b.Handle(now, event))
//	}
//
// Events are the endpoint list, a client's request and its end, the outcome of an attempt or a health
// check, a peer's report and a timer. Actions send an attempt, answer the client (Reject, Fail), set a
// timer, start a health check or subscribe to the endpoint list.
//
// # The life of a request
//
// A Request is admitted or rejected (admission.go). For an admitted one an endpoint is selected
// (selection.go) and a Send follows. Every Send gets one Outcome. After an OK the request is complete;
// after any other result it is retried, or ends with Reject or Fail (retry.go). A request that has a second
// attempt in flight (hedge.go) ends with the first OK. When its deadline passes it ends at once
// (deadline.go). Each request gets exactly one final answer: an OK, a Reject or a Fail, unless the client
// has disconnected.
//
// Reject is a promise: trying again does no harm. Fail makes no promise about the effect of the request.
//
// # The rules and their files
//
//	balancer.go              the type, New, Start, Handle and the periodic tick
//	settings.go              what is configured
//	event.go, action.go      what comes in and what goes out
//	endpoint.go              the state of one endpoint
//	endpoints.go             how the endpoint list is applied, and polled with backoff
//	selection.go             weighted power of d choices, Algorithm 1 of "Balls into non-uniform bins"
//	affinity.go              weighted rendezvous hashing by the request's key
//	subset.go                the endpoints over which this balancer spreads its requests
//	slowstart.go             what a warming endpoint may get
//	capacity.go              the capacity of an endpoint, and how certain it is
//	latency.go               the baseline latency of each class
//	attempt.go               the guard that every send passes, and the end of a request
//	retry.go, hedge.go       what follows an outcome, the retry budget, hedged requests
//	deadline.go              one timer for all deadlines
//	outlier.go, halfopen.go  ejection of an endpoint, and its return by a half-open request
//	healthcheck.go           which endpoint is checked, and the budget
//	gossip.go                ejection on the reports of peers
//	overload.go              the overload signals and the shedding level
//	admission.go, quota.go   which requests are shed first, by priority and by tenant
//	knowledge.go             what is persisted for the next process
//
// Balancer holds one value of the type that belongs to each rule; the state of a rule is inside its type. An
// endpoint holds what is known of it alone.
//
// # Times and units
//
// All times are time.Duration on the clock of the owner. Start times of endpoints come by the same clock,
// so balancers and endpoints must agree on it to a small part of a latency objective. The module's own
// times are multiples of the horizon, which is the longest latency objective of the classes. A tick comes
// ticksPerHorizon times in a horizon; fading averages lose weight at each tick. Capacities are requests a
// second, or relative where only latencies are known. Utilization is a fraction of an endpoint's cores, 0
// to 1. Latency ratios are latency over the latency objective of the class.
package logic
