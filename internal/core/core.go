package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/logic"
)

// messageQueueSize is how many messages may wait for the loop before their senders block.
const messageQueueSize = 1024

// Core owns the decision module and the calls in progress. Its methods may be called by any goroutine, those of calls and
// endpoints also before Run; messages wait until Run handles them.
type Core struct {
	config   Config
	balancer *logic.Balancer
	clock    Clock
	upstream Upstream

	messages       chan message
	done           chan struct{} // closed when the loop has ended
	endpointsKnown chan struct{} // closed when there first is an endpoint to send to
	violations     ContractViolations

	// Written by the loop, read by anyone.
	ready           atomic.Bool  // there is an endpoint to send to
	callsAccepted   atomic.Int64 // since the start
	budgetStats     atomic.Pointer[budget.Stats]
	leastQueueDelay atomic.Int64 // nanoseconds, since QueueDelay was last called; noQueueDelay if no call was accepted

	callsAtLastKnowledge int64 // callsAccepted when Knowledge was last called; of its one caller

	// Owned by the loop.
	ctx            context.Context // of attempts and health checks; set by Run
	attempts       sync.WaitGroup  // goroutines that the loop started
	calls          map[string]*Call
	timers         timers
	endpointsOnce  sync.Once // closes endpointsKnown
	endpointCount  int       // endpoints listed
	pendingAnswers []pendingAnswer
}

// New returns a Core that handles nothing until Run.
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
	c.leastQueueDelay.Store(noQueueDelay)
	return c
}

// Submit hands over a call and returns the channel that receives its one answer. No answer comes if Abandon was called before
// it was ready, or if the core ends first (see Done). A call that was submitted before is counted as a violation and yields a
// nil channel.
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

// BodyReceived reports when the last byte of a call with BodyPending arrived. Its timeout runs from then on.
func (c *Core) BodyReceived(call *Call, at time.Duration) { c.send(bodyReceived{call, at}) }

// Abandon reports that no client waits for the call's answer any more. It may be called at any time after Submit.
func (c *Core) Abandon(call *Call) { c.send(callAbandoned{call}) }

// UpdateEndpoints applies a full endpoint list or a change of it. The list must not be modified afterwards.
func (c *Core) UpdateEndpoints(list EndpointList) { c.send(endpointsUpdated{list}) }

// DiscoveryUnavailable reports that a subscription to the endpoint list ended or could not be established.
func (c *Core) DiscoveryUnavailable() { c.send(discoveryUnavailable{}) }

// PeerReport reports that peers see an endpoint as unhealthy, or no longer do.
func (c *Core) PeerReport(endpoint string, unhealthy bool) {
	c.send(peerReported{logic.PeerReport{Endpoint: endpoint, Unhealthy: unhealthy}})
}

// Shutdown ends the process's work: every pending call is answered now, and every later one as it is submitted.
func (c *Core) Shutdown() { c.send(shutdownRequested{}) }

// Knowledge returns what the module has learned, for the process that follows this one. It returns false if no call was
// accepted since it last returned true, or if the core has ended. It must be called by one goroutine only.
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

// Done is closed when the core has ended: no call receives an answer any more.
func (c *Core) Done() <-chan struct{} { return c.done }

// EndpointsKnown is closed when there first is an endpoint to send to.
func (c *Core) EndpointsKnown() <-chan struct{} { return c.endpointsKnown }

// HasEndpoints reports whether there has ever been an endpoint to send to.
func (c *Core) HasEndpoints() bool {
	select {
	case <-c.endpointsKnown:
		return true
	default:
		return false
	}
}

// Ready reports whether there is an endpoint to send to now.
func (c *Core) Ready() bool { return c.ready.Load() }

// send queues a message for the loop. It blocks while the queue is full, and drops the message if the loop has ended. It must
// not be called by the loop.
func (c *Core) send(m message) {
	select {
	case c.messages <- m:
	case <-c.done:
	}
}
