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
// # State and its owner
//
// Balancer holds one value of the type that belongs to each rule, and the state of a rule is inside its type:
//
//	endpointSet         the listed endpoints in this balancer's order, the subset and its capacity
//	discoveryPolling    failed polls of the endpoint list, and whether the next one is scheduled
//	rememberedEndpoints what is known of endpoints that are not listed
//	baselineLatency     the mean latency of each class
//	deadlineTimer       the deadlines of open requests, and the one timer for them
//	retryBudget         the retries that may be sent
//	healthCheckBudget   the health checks that may be sent
//	overloadEstimator   the overload signals and the shedding level
//	tenantQuotas        the latest requests of each tenant
//
// An endpoint holds what is known of it alone: endpointHealth is its state in outlier detection,
// capacityEstimate its capacity and how certain that is, checkSchedule when it may be checked. A request
// holds its attempts, and an attempt refers to its request and endpoint. Nothing is shared between
// Balancers.
//
// # Terms
//
//	horizon           the longest latency objective of the classes; the unit of the module's own times
//	tick              the periodic timer, ticksPerHorizon times in a horizon
//	baseline latency  the mean latency of the answers of a class
//	latency ratio     latency over the latency objective of the class
//	subset            the endpoints over which a balancer spreads its requests in a large fleet
//	warming           in slow start: started less than SlowStartWindow ago
//	ejected           avoided as an outlier while another endpoint may get the request
//	half-open         ejected, but one request tests whether it has recovered
//	hedged request    a second attempt while the first is in flight
//	shed              reject a request to reduce an overload
//	incarnation       one process of an endpoint, from its start to its end; StartedAt tells them apart
//
// # Times and units
//
// Times are time.Duration on the clock of the owner, those in Knowledge are ages. Start times of endpoints
// are on the same clock, so balancers and endpoints must agree on it to a small part of a latency
// objective. The module has no times of its own but multiples of the horizon and of TimerResolution. What
// fades loses weight with each tick, or with the age of a report, and a constant names the time to 1/e in
// horizons. Capacities are requests a second, or 1/s of latency where no endpoint reports its load; only
// their ratios matter. Utilization is a fraction of an endpoint's cores, 0 to 1. Priorities are weight over
// baseline latency; only their ratios matter.
package logic
