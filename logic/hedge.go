package logic

import "time"

// Hedging: a second attempt for a request whose answer is late. It guards against a connection that has
// gone silent and an endpoint that hangs: the first answer may never come, and at the deadline it is too
// late to retry.

const (
	// hedgeDelayFactor times the baseline latency of the class is the age from which an attempt is hedged.
	hedgeDelayFactor = 2.5
	// maxHedgingUtilization is the utilization of the endpoints above which nothing is hedged.
	maxHedgingUtilization = 0.65
)

// hedgeLateRequests sends a hedged request for each late attempt, while half of the retry budget is left, to
// an endpoint that the request was not sent to. None is sent where endpoints are busy: all answers are late
// there, and more attempts make it worse.
func (b *Balancer) hedgeLateRequests() {
	if b.overload.level > 0 || b.overload.utilization > maxHedgingUtilization {
		return
	}
	for _, r := range b.lateRequests() {
		if !b.retries.allowsHedge() {
			return
		}
		if e := b.selectEndpoint(r); e != nil && !r.attemptedAt(e) {
			b.retries.spend()
			b.send(r, e, HedgedAttempt)
		}
	}
}

// lateRequests returns the requests with one attempt in flight that is late.
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

func (b *Balancer) isLate(a *attempt) bool {
	hedgeDelay := time.Duration(hedgeDelayFactor * b.baseline[a.request.Class])
	return a.awaitsAnswer() && b.now-a.answerDueFrom > hedgeDelay
}
