package logic

// Half-open: after the ejection time one request tests the endpoint. Its outcome readmits the endpoint or
// ejects it again (updateHealth in outlier.go).

// halfOpenCandidate returns an ejected endpoint that the request should test, or nil. Only a first attempt
// is risked, and only of the class with the least harmful idempotency. An endpoint that a health check is
// about to judge is left to it, and one in slow start is not tested: the test would come on top of its
// part.
func (b *Balancer) halfOpenCandidate(r *request) *endpoint {
	if len(r.attempts) > 0 || r.class.Idempotency != b.halfOpenIdempotency {
		return nil
	}
	for _, e := range b.endpoints.listed {
		due := e.health.awaitsTest() && b.now >= e.health.ejectedUntil
		if due && !e.check.inFlight && b.slowStartFraction(e) == 1 && b.maySend(r, e) {
			return e
		}
	}
	return nil
}
