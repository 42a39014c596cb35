package logic

import "time"

// LoadReport is the load that an endpoint reports about itself. A negative value means that the endpoint
// does not report this figure.
type LoadReport struct {
	Utilization float64 // fraction of the CPU time of its cores in use, 0 to 1
	RequestRate float64 // completed requests per second
}

// NoLoadReport is the LoadReport of a response that carried none.
var NoLoadReport = LoadReport{Utilization: -1, RequestRate: -1}

// Result is how an attempt or a health check ended.
type Result int

// The results.
const (
	OK            Result = iota // served successfully
	Failed                      // error response; may have been executed
	Rejected                    // rejected by the endpoint before execution
	TimedOut                    // no response within the time allowed; may have been executed
	ConnectFailed               // no connection was established in time; never executed
	Reset                       // the connection broke; may have been executed
	Cancelled                   // cancelled by the Balancer's owner; may have been executed
	NotSent                     // not sent, because it was too late or over a limit; never executed
)

// neverExecuted reports whether the result proves that the request had no effect.
func (r Result) neverExecuted() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is an input of a Balancer: one of the types below.
type Event interface{ event() }

type (
	// EndpointList is the endpoint list or a change of it. The Balancer does not modify the slice.
	EndpointList struct {
		Full      bool // a full snapshot, not only the changed entries
		Endpoints []Endpoint
	}
	// DiscoveryUnavailable reports that a poll of the endpoint list failed or that the subscription broke.
	DiscoveryUnavailable struct{}
	// Request is a client's request. It gets one final response: an attempt with the result OK, a Reject or
	// a Fail.
	Request struct {
		ID          string
		Class       int           // index in Settings.Classes
		Tenant      int           // index in Settings.TenantQuotas; a tenant outside it has no quota
		Key         string        // affinity key; may be empty
		Deadline    time.Duration // when the client stops waiting, on the same clock as the events
		BodyPending bool          // the body is being streamed to one endpoint; BodyReceived sets the deadline
	}
	// BodyReceived reports that the body of a BodyPending request has arrived and was forwarded to its
	// endpoint.
	BodyReceived struct {
		Request  string
		Deadline time.Duration // replaces the deadline of the Request
	}
	// Outcome is the end of one attempt. Every Send gets one. The first OK is the response to the client.
	Outcome struct {
		Request       string
		Attempt       int // numbered from 0 in the order of the sends
		Endpoint      string
		Result        Result
		Latency       time.Duration // from the send to the response
		Closed        bool          // the request no longer needs a final response
		NotReplayable bool          // the request can't be sent again, because its body is not buffered
		LoadReport    LoadReport
	}
	// ResponseUnderWay reports that part of the response of an attempt has arrived, and that its end has not. If
	// any part has arrived when the request's deadline passes or at Shutdown, it must be reported before that.
	ResponseUnderWay struct {
		Request string
		Attempt int // numbered from 0 in the order of the sends
		// ArrivedAt is when more last arrived of a response that can be forwarded before it is complete. 0 says
		// that nothing is known but that a response has begun.
		ArrivedAt time.Duration
	}
	// ResponseStarted reports that a streamed response has begun: no further attempt and no final response
	// may follow.
	ResponseStarted struct{ Request string }
	// ClientDisconnected reports that the client has disconnected: the request no longer needs a final
	// response.
	ClientDisconnected struct{ Request string }
	// Shutdown reports that the process is shutting down: open requests and requests that still arrive end
	// at once.
	Shutdown struct{}
	// HealthChecked is the result of a health check.
	HealthChecked struct {
		Endpoint   string
		Result     Result
		Latency    time.Duration
		LoadReport LoadReport
	}
	// PeerReport reports that other balancers observe that an endpoint fails, or no longer observe it. It
	// is repeated for as long as they do.
	PeerReport struct {
		Endpoint  string
		Unhealthy bool
	}
	// TimerFired reports that a timer set by SetTimer is due.
	TimerFired struct{ Token uint64 }
)

func (EndpointList) event()         {}
func (DiscoveryUnavailable) event() {}
func (Request) event()              {}
func (BodyReceived) event()         {}
func (Outcome) event()              {}
func (ResponseUnderWay) event()     {}
func (ResponseStarted) event()      {}
func (ClientDisconnected) event()   {}
func (Shutdown) event()             {}
func (HealthChecked) event()        {}
func (PeerReport) event()           {}
func (TimerFired) event()           {}
