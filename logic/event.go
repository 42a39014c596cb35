package logic

import "time"

// LoadReport is what an endpoint reports of its own load. A negative figure is one that it does not report.
type LoadReport struct {
	Utilization float64 // fraction of its cores' time in use, 0 to 1
	RequestRate float64 // requests completed a second
}

// NoLoadReport is the LoadReport of an answer that carried none.
var NoLoadReport = LoadReport{Utilization: -1, RequestRate: -1}

// Result is how an attempt or a health check ended.
type Result int

// The results.
const (
	OK            Result = iota // served
	Failed                      // answered with an error; it may have been executed
	Rejected                    // rejected by the endpoint before execution
	TimedOut                    // no answer in the time allowed; it may have been executed
	ConnectFailed               // no connection in time; never executed
	Reset                       // the connection broke; it may have been executed
	Cancelled                   // cancelled by this side; it may have been executed
	NotSent                     // not sent at all, as it was too late or over a limit; never executed
)

// neverExecuted reports whether the result proves that the request had no effect.
func (r Result) neverExecuted() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is an input of a Balancer: one of the types below.
type Event interface{ event() }

type (
	// EndpointList brings the endpoint list or a change of it. The slice is only read.
	EndpointList struct {
		Full      bool // a full snapshot, not only the entries that changed
		Endpoints []Endpoint
	}
	// DiscoveryUnavailable says that a poll of the endpoint list failed or the subscription broke.
	DiscoveryUnavailable struct{}
	// Request is a client's request. It gets one final answer: an attempt with result OK, a Reject or a Fail.
	Request struct {
		ID          string
		Class       int           // index in Settings.Classes
		Tenant      int           // index in Settings.TenantQuotas; one outside it has no quota
		Key         string        // affinity key; may be empty
		Deadline    time.Duration // when the client stops waiting, on the clock of the events
		BodyPending bool          // the body streams to one endpoint; BodyReceived will bring the deadline
	}
	// BodyReceived says that the body of a BodyPending request has arrived and gone on to its endpoint.
	BodyReceived struct {
		Request  string
		Deadline time.Duration // replaces that of the Request
	}
	// Outcome ends one attempt. Every Send gets one. The first OK is the answer to the client.
	Outcome struct {
		Request       string
		Attempt       int // numbered from 0 in the order of the sends
		Endpoint      string
		Result        Result
		Latency       time.Duration // from the send to the answer
		Closed        bool          // the request needs no final answer any more
		NotReplayable bool          // the request can't be sent again, as its body is not buffered
		LoadReport    LoadReport
	}
	// ResponseStarted says that a streamed answer has begun: no other attempt and no final answer may follow.
	ResponseStarted struct{ Request string }
	// ClientDisconnected says that the client has left: no final answer is owed any more.
	ClientDisconnected struct{ Request string }
	// Shutdown says that the process ends: open requests, and those that still arrive, end at once.
	Shutdown struct{}
	// HealthChecked is the result of a health check.
	HealthChecked struct {
		Endpoint   string
		Result     Result
		Latency    time.Duration
		LoadReport LoadReport
	}
	// PeerReport says that other balancers see an endpoint fail, or no longer do. It is repeated while they do.
	PeerReport struct {
		Endpoint  string
		Unhealthy bool
	}
	// TimerFired says that a timer set by SetTimer is due.
	TimerFired struct{ Token uint64 }
)

func (EndpointList) event()         {}
func (DiscoveryUnavailable) event() {}
func (Request) event()              {}
func (BodyReceived) event()         {}
func (Outcome) event()              {}
func (ResponseStarted) event()      {}
func (ClientDisconnected) event()   {}
func (Shutdown) event()             {}
func (HealthChecked) event()        {}
func (PeerReport) event()           {}
func (TimerFired) event()           {}
