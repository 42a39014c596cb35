package logic

import "time"

// Hedging sends a second attempt for a request whose response is late. It helps when a connection is broken
// without notice or an endpoint hangs: the first response may never come, and at the deadline it is too
// late to retry.

const (
	// hedgeDelayFactor times the baseline latency of the class is the age from which an attempt is hedged.
	hedgeDelayFactor = 2.5
	// maxHedgingUtilization is the utilization of the endpoints above which nothing is hedged.
	maxHedgingUtilization = 0.65
)

// hedgeLateRequests sends a hedged request for each late attempt, to an endpoint without an earlier attempt
// of the request, while at least half of the retry budget is left. It sends none while the endpoints are
// busy: all responses are late then, and more attempts would make them later.
func (b *Balancer) hedgeLateRequests() {
	if b.overload.level > 0 || b.overload.utilization > maxHedgingUtilization {
		return
	}
	for _, r := range b.lateRequests() {
		if !b.retryBudget.allowsHedge() {
			return
		}
		if e := b.selectEndpoint(r); e != nil && !r.attemptedAt(e) {
			b.retryBudget.spend()
			b.send(r, e, HedgedAttempt)
		}
	}
}

// lateRequests returns the requests with exactly one attempt in flight, if that attempt is late.
func (b *Balancer) lateRequests() (late []*request) {
	for _, e := range b.endpoints.listed {
		for _, a := range e.inFlight {
			if b.isLate(a) && a.request.inFlight == 1 {
				late = append(late, a.request)
			}
		}
	}
	return late
}

// isLate reports whether nothing has come of the response of an attempt for too long.
func (b *Balancer) isLate(a *attempt) bool {
	hedgeDelay := time.Duration(hedgeDelayFactor * b.baseline[a.request.Class])
	return a.fullySent() && b.now-max(a.responseDueFrom, a.lastArrivalAt) > hedgeDelay
}
