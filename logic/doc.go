// Package logic makes the decisions of a client-side load balancer: which endpoint gets a request, when a
// request is retried or hedged, which endpoints are ejected, and which requests are rejected.
//
// # Events in, actions out
//
// A Balancer is a deterministic state machine. It does no I/O, does not read a clock and starts no
// goroutines. Its owner calls Handle with the current time and one Event, and executes the returned Actions
// in order. Equal settings, seeds and events give equal actions. A Balancer must not be used by more than
// one goroutine.
//
//	b, err := logic.New(settings, seed)
//	carryOut(b.Start(now))
//	for event := range events {
//		carryOut(b.Handle(now, event))
//	}
//
// The events are changes of the endpoint list, the arrival and the end of a client's request, the outcome
// of an attempt or of a health check, a peer's report, and a timer. The actions send an attempt, end a
// request (Reject, Fail), set a timer, start a health check, or subscribe to the endpoint list.
//
// # The life of a request
//
// A Request is admitted or rejected (admission.go). For an admitted request an endpoint is selected
// (selection.go) and a Send action is emitted. Every Send gets exactly one Outcome. After the result OK the
// request is complete; after any other result it is retried, or ends with Reject or Fail (retry.go). A
// request with a second attempt in flight (hedge.go) ends with the first OK. A request whose deadline
// passes ends at once (deadline.go). Each request gets exactly one final response, an OK, a Reject or a
// Fail, unless the client has disconnected.
//
// Reject guarantees that the client can safely try the request again. Fail guarantees nothing about whether
// the request took effect.
//
// # The rules and their files
//
//	balancer.go              Balancer, New, Start, Handle and the periodic tick
//	settings.go              the configuration
//	event.go, action.go      the input and the output of a Balancer
//	endpoint.go              the state of one endpoint
//	endpoints.go             applying the endpoint list, and polling it with backoff
//	selection.go             weighted power of d choices, Algorithm 1 of "Balls into non-uniform bins"
//	affinity.go              weighted rendezvous hashing by the request's key
//	subset.go                the endpoints over which this balancer spreads its requests
//	slowstart.go             the share of requests that a warming endpoint gets
//	capacity.go              the estimated capacity of an endpoint and its certainty
//	latency.go               the baseline latency of each class
//	attempt.go               the check that every send passes, and the end of a request
//	retry.go, hedge.go       retries, the retry budget, hedged requests
//	deadline.go              one timer for all deadlines
//	outlier.go, halfopen.go  ejection of an endpoint, and its readmission by a half-open request
//	healthcheck.go           which endpoint is checked, and the budget of health checks
//	gossip.go                ejection based on the reports of peers
//	overload.go              the overload signals and the shedding level
//	admission.go, quota.go   which requests are shed first, by priority and by tenant
//	knowledge.go             what is persisted for the next process
//
// # State and its owner
//
// Each rule has a type that holds all of the rule's state, and a Balancer holds one value of each type:
//
//	endpointSet         the listed endpoints in this balancer's order, the subset and its capacity
//	discoveryPolling    failed polls of the endpoint list, and whether the next poll is scheduled
//	rememberedEndpoints what was learned about endpoints that are not listed
//	baselineLatency     the mean latency of each class
//	deadlineTimer       the deadlines of open requests, and the one timer for them
//	retryBudget         the retries that may be sent
//	healthCheckBudget   the health checks that may be sent
//	overloadEstimator   the overload signals and the shedding level
//	tenantQuotas        the recent requests of each tenant
//
// An endpoint holds the state of that endpoint alone: endpointHealth is its state in outlier detection,
// capacityEstimate its capacity and the certainty of that estimate, checkSchedule whether a health check of
// it is in flight and the earliest time of the next one. A request holds its attempts, and an attempt refers
// to its request and its endpoint. Balancers share no state.
//
// # Terms
//
//	horizon           the longest latency objective of all classes; the package's unit of time
//	tick              the periodic timer, which fires ticksPerHorizon times in a horizon
//	baseline latency  the mean latency of the responses of a class
//	latency ratio     latency divided by the latency objective of the class
//	subset            the endpoints over which a balancer spreads its requests in a large fleet
//	warming           in slow start: started less than SlowStartWindow ago
//	ejected           avoided as an outlier while another endpoint may get the request
//	half-open         ejected, while one request tests whether the endpoint has recovered
//	hedged request    a second attempt while the first is in flight
//	shed              reject a request to reduce an overload
//	incarnation       one process of an endpoint, from its start to its end, identified by StartedAt
//
// # Times and units
//
// Times are time.Durations on the owner's clock; times in Knowledge are ages. Start times of endpoints are
// on the same clock, so the clocks of balancers and endpoints may differ by a small fraction of a latency
// objective at most. Time constants are multiples of the horizon or of TimerResolution. Only two groups are
// absolute: startTimeTolerance in knowledge.go, and the window, delay and drift of the load reports of
// health checks in capacity.go. Averages and counts decay exponentially, either by the tick or by the age of
// a report; a constant states the time in horizons in which they decay to 1/e.
//
// Capacities are in requests per second, or in 1/s of latency if no endpoint reports its load; only their
// ratios matter. Utilization is the fraction of an endpoint's CPU time that is in use, from 0 to 1. A
// priority is a weight divided by a baseline latency; only the ratios of priorities matter.
package logic
