package invariant

import "time"

// Tolerances of Monitor.Sent.
const (
	// DrainGrace is the time after the agent was notified that an endpoint is draining or removed, during which an attempt on it may
	// still be written.
	DrainGrace = 250 * time.Millisecond
	// CancellationGrace is the time after a client has disconnected or was answered, during which an attempt may still be written.
	CancellationGrace = 100 * time.Millisecond
	// DeadlineSlack is the amount by which the timeout stated to an endpoint may exceed the time that the client has left.
	DeadlineSlack = 150 * time.Millisecond
)

// Send describes an attempt whose first byte is about to be written or was just written. Times are on the agent's clock.
type Send struct {
	Now                time.Duration
	WriteDeadline      time.Duration // when it is too late to write the first byte
	RequestFinished    bool          // the request was answered, or the client has disconnected
	FinishedAt         time.Duration // valid only if RequestFinished
	EndpointAcceptsNew bool          // the endpoint may receive new requests, and has not restarted since the attempt was bound to it
	RetiredAt          time.Duration // when the endpoint stopped accepting new requests; valid only if not EndpointAcceptsNew
}

// Check must be called immediately before the first byte is written.
//
// After the balancer has decided on an attempt, the attempt may wait a long time for a connection. In the meantime its client may
// disconnect, and the endpoint would execute a request that nobody waits for. Its endpoint may begin to drain, and would be stopped
// with work in progress, or restart, and be overloaded during slow start. Its deadline may pass. Only a check immediately before
// the write sees all of these.
func (s Send) Check() CheckResult {
	switch {
	case s.RequestFinished:
		return denied(SendAfterRequestFinished)
	case !s.EndpointAcceptsNew:
		return denied(SendToRetiredEndpoint)
	case s.Now >= s.WriteDeadline:
		return denied(SendAfterDeadline)
	}
	return allowed
}

// Sent checks an attempt again after it was written, and counts violations. The state may have changed between Check and the write,
// so a write within the grace period after the change is not a violation. Sent also compares the timeout stated to the endpoint with
// the time that the client had left: with a longer timeout, the endpoint would continue to work for a client that no longer waits.
func (m *Monitor) Sent(request string, after Send, statedTimeout, timeLeft time.Duration) {
	if late := after.Now - after.FinishedAt; after.RequestFinished && late > CancellationGrace {
		m.Violated(SendAfterRequestFinished, request, "written "+late.String()+" after the request had finished")
	}
	if late := after.Now - after.RetiredAt; !after.EndpointAcceptsNew && late > DrainGrace {
		m.Violated(SendToRetiredEndpoint, request, "written "+late.String()+" after the endpoint had stopped accepting new requests")
	}
	if excess := statedTimeout - timeLeft; excess > DeadlineSlack {
		m.Violated(DeadlineOverstated, request, "stated timeout "+statedTimeout.String()+", but the client had "+timeLeft.String()+" left")
	}
}
