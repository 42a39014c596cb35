package invariant

import "time"

// Limits of Monitor.Sent.
const (
	// DrainGrace is how long after the agent was notified that an endpoint is draining or removed it may still receive something new.
	DrainGrace = 250 * time.Millisecond
	// CancellationGrace is how long after its client left or was answered an attempt may still begin.
	CancellationGrace = 100 * time.Millisecond
	// DeadlineSlack is by how much the time that an endpoint is given may exceed what the client has left.
	DeadlineSlack = 150 * time.Millisecond
)

// Send describes an attempt whose first byte is about to be written, or has been. Times are those of the agent's clock.
type Send struct {
	Now                time.Duration
	WriteDeadline      time.Duration // when it is too late to begin
	RequestFinished    bool          // its request was answered, or its client left
	FinishedAt         time.Duration // only with RequestFinished
	EndpointAcceptsNew bool          // its endpoint may receive new requests and has not restarted since the attempt was bound to it
	RetiredAt          time.Duration // when the endpoint ceased to; only without EndpointAcceptsNew
}

// Check is called immediately before the first byte is written.
//
// An attempt may wait for a connection for long after it was decided on. Meanwhile its client may leave (a late write would run a
// request that nobody waits for), its endpoint may begin to drain or restart (the endpoint would be stopped with work on it, or
// overloaded in slow start), and its deadline may pass. A check at the write sees the state that counts.
func (s Send) Check() Verdict {
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

// Sent checks an attempt once more after it was written, against the state at that time. The state may have changed between
// Check and the write; what began within the grace period is not a violation. The time stated to the endpoint is compared
// with what the client had left: an endpoint that is given more works on for a client that has gone.
func (m *Monitor) Sent(request string, after Send, statedTimeout, timeLeft time.Duration) {
	if late := after.Now - after.FinishedAt; after.RequestFinished && late > CancellationGrace {
		m.Violated(SendAfterRequestFinished, request, "written "+late.String()+" after its request had finished")
	}
	if late := after.Now - after.RetiredAt; !after.EndpointAcceptsNew && late > DrainGrace {
		m.Violated(SendToRetiredEndpoint, request, "written "+late.String()+" after its endpoint ceased to accept new requests")
	}
	if excess := statedTimeout - timeLeft; excess > DeadlineSlack {
		m.Violated(DeadlineOverstated, request, "stated "+statedTimeout.String()+" with "+timeLeft.String()+" left")
	}
}
