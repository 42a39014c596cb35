package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/logic"
)

// messageQueueSize is the capacity of the loop's message queue. Senders block while it is full.
const messageQueueSize = 1024

// Core owns the balancer and the calls in progress. Unless stated otherwise, its methods may be called from any goroutine.
// Methods that submit or change calls and endpoints may also be called before Run, which handles their messages once it starts.
type Core struct {
	config   Config
	balancer *logic.Balancer
	clock    Clock
	upstream Upstream

	messages       chan message
	done           chan struct{} // closed when the loop has ended
	endpointsKnown chan struct{} // closed when the first endpoint can receive requests
	violations     ContractViolations

	// Written by the loop, read from any goroutine.
	ready         atomic.Bool  // at least one endpoint can receive requests
	callsAccepted atomic.Int64 // since the process started
	budgetStats   atomic.Pointer[budget.Stats]
	minQueueDelay atomic.Int64 // nanoseconds, since the last call of QueueDelay; noQueueDelay if no call was accepted

	callsAtLastKnowledge int64 // callsAccepted at the last call of Knowledge; used only by the goroutine that calls it

	// Owned by the loop.
	ctx            context.Context // for attempts and health checks; set by Run
	attempts       sync.WaitGroup  // goroutines that the loop started
	calls          map[string]*Call
	timers         timers
	endpointsOnce  sync.Once // closes endpointsKnown
	endpointCount  int       // listed endpoints
	pendingAnswers []pendingAnswer
}

// New returns a Core that handles no messages until Run is called.
func New(cfg Config) *Core {
	c := &Core{
		config:         cfg.withDefaults(),
		balancer:       cfg.Balancer,
		clock:          cfg.Clock,
		upstream:       cfg.Upstream,
		messages:       make(chan message, messageQueueSize),
		done:           make(chan struct{}),
		endpointsKnown: make(chan struct{}),
		calls:          map[string]*Call{},
	}
	c.minQueueDelay.Store(noQueueDelay)
	return c
}

// Submit starts a call and returns the channel that receives its one answer. The channel receives none if the call is abandoned
// before its answer is ready, or if the core stops first (see Done). Submitting the same call twice is counted as a violation and
// returns a nil channel.
func (c *Core) Submit(call *Call) <-chan Answer {
	if !call.submitted.CompareAndSwap(false, true) {
		c.violations.Resubmitted.Add(1)
		return nil
	}
	call.answer = make(chan Answer, 1)
	call.done = make(chan struct{})
	if c.config.Budget != nil {
		call.submittedAt = c.clock.Now()
	}
	c.send(callSubmitted{call})
	return call.answer
}

// BodyReceived reports when the last byte of a call with BodyPending arrived. The call's timeout starts at that time.
func (c *Core) BodyReceived(call *Call, at time.Duration) { c.send(bodyReceived{call, at}) }

// UploadExpired reports that the client's deadline of a call with BodyPending may have passed, although its last byte has not been read. The call
// ends now, unless BodyReceived came before.
func (c *Core) UploadExpired(call *Call) { c.send(uploadExpired{call}) }

// Abandon reports that no client is waiting for the call's answer any more. It may be called at any time after Submit.
func (c *Core) Abandon(call *Call) { c.send(callAbandoned{call}) }

// UpdateEndpoints applies a full endpoint list or a change to it. The caller must not modify the list afterwards.
func (c *Core) UpdateEndpoints(list EndpointList) { c.send(endpointsUpdated{list}) }

// DiscoveryUnavailable reports that a subscription to the endpoint list ended or could not be established.
func (c *Core) DiscoveryUnavailable() { c.send(discoveryUnavailable{}) }

// PeerReport reports whether peers consider an endpoint unhealthy.
func (c *Core) PeerReport(endpoint string, unhealthy bool) {
	c.send(peerReported{logic.PeerReport{Endpoint: endpoint, Unhealthy: unhealthy}})
}

// Shutdown is called when the process is about to exit: every pending call is answered now, and every later one on submission.
func (c *Core) Shutdown() { c.send(shutdownRequested{}) }

// Knowledge returns what the balancer has learned, to be persisted for the next process. It returns false if no call was accepted
// since the previous call of Knowledge, or if the core has stopped. Only one goroutine may call it.
func (c *Core) Knowledge() (logic.Knowledge, bool) {
	accepted := c.callsAccepted.Load()
	if accepted == c.callsAtLastKnowledge {
		return logic.Knowledge{}, false
	}
	c.callsAtLastKnowledge = accepted
	reply := make(chan logic.Knowledge, 1)
	c.send(knowledgeRequested{reply})
	select {
	case knowledge := <-reply:
		return knowledge, true
	case <-c.done:
		return logic.Knowledge{}, false
	}
}

// Done returns a channel that is closed when the core has stopped. No call receives an answer after that.
func (c *Core) Done() <-chan struct{} { return c.done }

// EndpointsKnown returns a channel that is closed when the first endpoint can receive requests.
func (c *Core) EndpointsKnown() <-chan struct{} { return c.endpointsKnown }

// HasEndpoints reports whether any endpoint has been able to receive requests since the process started.
func (c *Core) HasEndpoints() bool {
	select {
	case <-c.endpointsKnown:
		return true
	default:
		return false
	}
}

// Ready reports whether at least one endpoint can receive requests now.
func (c *Core) Ready() bool { return c.ready.Load() }

// send queues a message for the loop. It blocks while the queue is full, and drops the message if the loop has ended. The loop
// must not call it, as it would deadlock on a full queue.
func (c *Core) send(m message) {
	select {
	case c.messages <- m:
	case <-c.done:
	}
}
