package logic

// Half-open: after the ejection time one request tests the endpoint. Its outcome readmits the endpoint or
// ejects it again (updateHealth in outlier.go).

// halfOpenCandidate returns an ejected endpoint that the request should test, or nil. Only first attempts
// of requests with the safest idempotency of all classes are used, because the test may fail. Endpoints
// with a health check in flight are skipped, because the check is about to show whether a test is worthwhile:
// if it gets no response, it extends the ejection. Warming endpoints are skipped, because the test would
// exceed their share of the requests.
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
