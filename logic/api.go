// Package logic holds the decisions of a client-side load balancer: which server gets a request, when an
// attempt is given up or repeated, and what is refused. Every client process has a Balancer of its own; they
// share nothing. A Balancer does no I/O and reads no clock: events go in with the time, actions come out.
package logic

import (
	"errors"
	"fmt"
	"time"
)

// Idempotency says what repeating a request of a class would do.
type Idempotency int

// The effects of a repeat.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // carries a key: repeats are dropped within a group, for a while
	NonIdempotent                        // must never run twice
)

// DedupScope names the servers that drop repeats of a keyed request among themselves.
type DedupScope int

// The groups of servers.
const (
	DedupFleet DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of request.
type Class struct {
	Name              string
	Idempotency       Idempotency
	DedupScope        DedupScope    // of a keyed class
	IdempotencyWindow time.Duration // of a keyed class: repeats are dropped so long after the first send
	LatencyObjective  time.Duration // an answer within this time earns the full worth
	Timeout           time.Duration // the client's patience over all its tries
	PriorityWeight    float64
}

// Settings are all that a Balancer is told at start. They do not change while it lives.
type Settings struct {
	Balancers                int           // how many balancers front the same servers
	BalancerIndex            int           // the number of this one among them, the same after a restart
	TimerResolution          time.Duration // the least time between two events; timers are that exact
	Classes                  []Class
	Zone                     int           // where this balancer runs
	CrossZoneCost            float64       // what an attempt in another zone costs, as a share of a request; 0 for nothing
	UseListedWeights         bool          // the list's weights say something of the servers' capacities
	SubscriptionRequired     bool          // the list of servers must be subscribed to
	MaxPollInterval          time.Duration // unsubscribed, the list must be asked for in this time; 0: no limit
	MaxPollRetryInterval     time.Duration // after a call in vain, the list must be asked for in this time; 0: no limit
	KeyAffinity              bool          // a server that met a request's key lately does less work for it
	MaxAttempts              int           // for one request
	HedgingAllowed           bool          // a request may have two attempts out at a time
	MaxRetryAfter            time.Duration // the longest come-back time that clients heed; 0 where they are given none
	SlowStartInitialFraction float64       // a server starts with this share of its capacity at least
	SlowStartWindow          time.Duration // and has all of it after this time at the latest
	TenantQuotas             []float64     // of the service, one for each tenant; may be empty
	OverQuotaWeight          float64       // what a request over its tenant's share is worth, as a part of its worth
	HealthChecksPerRequest   float64       // probes that may be sent, for each request; 0: none
	EndpointHealthCheckRate  float64       // that a server gets at most in a second from all balancers together
	ExternalAdmission        bool          // requests are shed before they come here, by Jam and what is turned away: none is refused for a jam
	SlowStartOverloadFactor  float64       // a cold server topples at this multiple of its capacity; 0 if not known
}

// check says in plain words what is wrong with the settings.
func (set *Settings) check() error {
	if len(set.Classes) == 0 {
		return errors.New("logic: settings name no class of requests")
	}
	for _, c := range set.Classes {
		if c.LatencyObjective <= 0 || c.Timeout <= 0 {
			return fmt.Errorf("logic: class %q needs an aim and a deadline above 0", c.Name)
		}
		if c.Idempotency == IdempotentWithKey && c.IdempotencyWindow <= 0 {
			return fmt.Errorf("logic: keyed class %q needs a window above 0", c.Name)
		}
	}
	for i, share := range set.TenantQuotas {
		if share <= 0 || share > 1 {
			return fmt.Errorf("logic: the share of tenant %d must be above 0 and at most 1", i)
		}
	}
	if set.OverQuotaWeight < 0 || set.OverQuotaWeight > 1 {
		return errors.New("logic: the worth over a share must be from 0 to 1")
	}
	if set.MaxPollInterval < 0 || set.MaxPollRetryInterval < 0 {
		return errors.New("logic: the times in which to ask for the list must not be below 0")
	}
	if set.Balancers < 1 {
		return errors.New("logic: settings count no balancer")
	}
	if set.MaxAttempts < 1 {
		return errors.New("logic: settings allow no attempt")
	}
	if set.SlowStartWindow > 0 && (set.SlowStartInitialFraction <= 0 || set.SlowStartInitialFraction > 1) {
		return errors.New("logic: the cold share must be above 0 and at most 1")
	}
	if set.SlowStartOverloadFactor < 0 {
		return errors.New("logic: the multiple that topples a cold server must not be below 0")
	}
	return nil
}

// EndpointState is what the list says of a server.
type EndpointState int

// The states of a server.
const (
	Ready    EndpointState = iota
	Draining               // finishes its work; gets nothing new
	Removed                // removed; in changes only
)

// Endpoint is an entry of the list.
type Endpoint struct {
	ID        string
	State     EndpointState
	Zone      int
	Cell      int           // a small set of servers that drop each other's repeats
	Weight    float64       // the list's figure for its size
	StartedAt time.Duration // its latest start, on the clock of the events; 0 for long ago
}

// LoadReport is what a server says of its own load. A negative figure is one that it does not state.
type LoadReport struct {
	Utilization float64 // share of its cores' time in use
	RequestRate float64 // requests done a second
}

// NoLoadReport is the Report of an answer that brought none.
var NoLoadReport = LoadReport{Utilization: -1, RequestRate: -1}

// Result is how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota // served
	Failed                      // an error came back; it may have run
	Rejected                    // turned away unseen; it never ran
	TimedOut                    // no answer in the time allowed; it may have run
	ConnectFailed               // no connection in time; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // withdrawn; it may have run
	NotSent                     // not sent at all: too late, or one attempt too many
)

// neverRan reports whether the result proves that the request had no effect.
func (r Result) neverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is something that a Balancer is told: one of the types below.
type Event interface{ event() }

type (
	// EndpointList brings the list of servers or a change of it. The slice is only read.
	EndpointList struct {
		Full      bool // the whole list, not only the entries that changed
		Endpoints []Endpoint
	}
	// DiscoveryUnavailable says that a call to the list failed or the subscription broke.
	DiscoveryUnavailable struct{}
	// Request is a client's request. It is owed one final answer: a served attempt, a Refuse or a Fail.
	Request struct {
		ID            string
		Class, Tenant int
		Key           string        // what it is about; may be empty
		Deadline      time.Duration // when the client gives this try up, on the clock of the events
		BodyPending   bool          // it still comes in, and can go to one server only; its Deadline comes with Received
	}
	// BodyReceived says that all of a Partial request has come and has gone on to its server.
	BodyReceived struct {
		Request  string
		Deadline time.Duration
	}
	// Outcome ends one attempt. Every Send gets one. The first OK answers the client by itself.
	Outcome struct {
		Request       string
		Attempt       int // numbered from 0 in the order of the sends
		Endpoint      string
		Result        Result
		Latency       time.Duration
		Closed        bool // the request needs no final answer any more
		NotReplayable bool // the request can't be sent again, as it is not held
		LoadReport    LoadReport
	}
	// ResponseStarted says that a streamed answer has begun: the attempt belongs to the client now.
	ResponseStarted struct{ Request string }
	// ClientDisconnected says that the client left; nothing more is owed.
	ClientDisconnected struct{ Request string }
	// Shutdown says that the balancer is about to end: what is open, and what comes, gets its final answer at once.
	Shutdown struct{}
	// HealthChecked is the result of a probe.
	HealthChecked struct {
		Endpoint   string
		Result     Result
		Latency    time.Duration
		LoadReport LoadReport
	}
	// PeerReport says that other balancers see a server fail, or no longer do. It is repeated while they do.
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

// ActionKind names what an Action does and which of its fields count.
type ActionKind int

// The kinds of actions.
const (
	Send        ActionKind = iota // Request to Server, given up after After (0: when the client does)
	Reject                        // Request: trying again does no harm; the client stays away for After
	Fail                          // Request: no promise about its effect
	SetTimer                      // TimerFired with Token comes after After
	HealthCheck                   // Server
	Subscribe                     // to the list of servers
)

// Reason is why the Balancer decided on a Send, a Refuse or a Fail.
type Reason int

// The causes.
const (
	NoReason             Reason = iota // of other actions
	FirstAttempt                       // Send: the request's first
	RetryAttempt                       // Send: the attempt before it ended in vain
	HedgedAttempt                      // Send: the attempt before it is late
	HalfOpenAttempt                    // Send: to find out how an ejected server does
	Overloaded                         // the servers are overloaded
	NoEndpointLeft                     // no server may get it, or another attempt
	RetryBudgetExhausted               // further attempts are over the retry budget
	NotRetryable                       // an attempt may have run, and must not run twice
	DeadlineExceeded                   // the client's time is over
	ShuttingDown                       // the process ends
)

// Action is something that the Balancer wants done. Actions take effect in order.
type Action struct {
	Kind     ActionKind
	Reason   Reason
	Request  string
	Endpoint string
	Delay    time.Duration
	Token    uint64
}

// Handle takes one event and returns what is to be done, in order. The actions hold until the next call. What
// concerns a request, attempt or server that is not known is passed over. The time is that of a clock which
// all balancers and servers have, to a small part of an aim; a rule is never broken by one that is off.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	switch e := ev.(type) {
	case EndpointList:
		b.list(e)
	case DiscoveryUnavailable:
		b.resubscribe()
	case Request:
		b.request(e)
	case BodyReceived:
		b.received(e)
	case Outcome:
		b.outcome(e)
	case ResponseStarted:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case ClientDisconnected:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case Shutdown:
		b.end()
	case HealthChecked:
		b.probed(e)
	case PeerReport:
		b.hearsay(e)
	case TimerFired:
		b.fired(e.Token)
	}
	return b.actions
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) timer(token uint64, after time.Duration) {
	b.act(Action{Kind: SetTimer, Token: token, Delay: after})
}
