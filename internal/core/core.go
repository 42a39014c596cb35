// Package core is the loop that owns the decision module. Fronts hand it calls, it lets an upstream carry out the attempts
// that the module decides on, and each call gets one answer. It knows no protocol, does no I/O, and trusts neither side to
// keep to the rules: what they owe is watched at its border.
package core

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/event"
	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// Config is what a Core works with.
type Config struct {
	Balancer         *logic.Balancer
	Clock            Clock
	Upstream         Upstream
	UploadTimeout    time.Duration             // how long a Partial call may take to come in
	HealthChecker    HealthChecker             // nil where the module asks for no probes
	Subscribe        func()                    // asks for the list, where it must be asked for
	OnEndpointCounts func(listed, avoided int) // is told how many servers are listed, and how many of them are avoided
	Log              *slog.Logger
	// Budget, where there is one, is the agent's part of the fleet's budgets, beside a module that admits all: it may shed a
	// call before the module sees it, and withhold a retry or a probe that the module asks for, which the module then learns
	// of as not sent. Nil for none.
	Budget        *budget.Budget
	PriorityOrder *budget.PriorityOrder // by which it sheds; goes with Budget
	// Observe, where it is set, is told of each attempt on a server that ended and says something of it: when it was decided on,
	// and whether it went well. The loop calls it: it must not wait.
	OnAttemptOutcome func(server string, sent time.Duration, well bool)
	Events           *event.Recorder    // what happens to calls and attempts; nil for nobody
	Monitor          *invariant.Monitor // counts broken rules; nil for nobody
}

// HealthChecker asks a server's present life, as the upstream's Bind returned it, how it does. It returns within its own time-out, or
// when the context ends.
type HealthChecker interface {
	Check(ctx context.Context, server string, target any) logic.HealthChecked
}

// Core is the one goroutine that owns the module: events come in by a channel, and it carries out what the module decides.
// It waits for nothing but the next event or timer.
type Core struct {
	balancer *logic.Balancer
	clock    Clock
	upstream Upstream
	cfg      Config
	events   chan message
	done     chan struct{} // closed when the loop has ended
	ready    atomic.Bool   // there is a server to send to
	listed   chan struct{} // closed when there first is one
	faults   BoundaryViolations
	taken    atomic.Int64                 // calls
	budget   atomic.Pointer[budget.Stats] // of the budget, as the loop last looked
	waited   atomic.Int64                 // the least that a call waited for the loop since that was last asked for; nobody where none came
	known    int64                        // of them when what was learnt was last asked for

	first    sync.Once
	ctx      context.Context // of the attempts
	attempts sync.WaitGroup
	calls    map[string]*Call // open, or with attempts in flight
	timers   timers
	members  int
	given    []handed // answers that may not have been taken yet
}

const eventQueue = 1024

// New returns a Core that does nothing until it runs.
func New(cfg Config) *Core {
	if cfg.Subscribe == nil {
		cfg.Subscribe = func() {}
	}
	if cfg.OnEndpointCounts == nil {
		cfg.OnEndpointCounts = func(int, int) {}
	}
	c := &Core{balancer: cfg.Balancer, clock: cfg.Clock, upstream: cfg.Upstream, cfg: cfg, events: make(chan message, eventQueue),
		done: make(chan struct{}), listed: make(chan struct{}), calls: map[string]*Call{}}
	c.waited.Store(nobody)
	return c
}

// Submit hands over a call and returns where its one answer comes, unless Leave says that nobody waits for it or the core
// ends before: see Done. A call that was handed over before is counted and passed over.
func (c *Core) Submit(call *Call) <-chan Answer {
	if !call.submitted.CompareAndSwap(false, true) {
		c.faults.Resubmitted.Add(1)
		return nil
	}
	call.answer, call.gone = make(chan Answer, 1), make(chan struct{})
	if c.cfg.Budget != nil {
		call.submittedAt = c.clock.Now()
	}
	c.tell(arrived{call})
	return call.answer
}

// BodyReceived says when the last byte of a Partial call came.
func (c *Core) BodyReceived(call *Call, at time.Duration) { c.tell(received{call, at}) }

// Abandon says that nobody waits for the call's answer any more.
func (c *Core) Abandon(call *Call) { c.tell(left{call}) }

// UpdateEndpoints takes the list of servers or a change of it.
func (c *Core) UpdateEndpoints(l EndpointList) { c.tell(l) }

// DiscoveryUnavailable says that a subscription to the list ended or could not be had.
func (c *Core) DiscoveryUnavailable() { c.tell(unavailable{}) }

// Knowledge is what has been learnt so far; false when no call has come since it was last asked, or the core has ended. It is
// for one caller.
func (c *Core) Knowledge() (logic.Knowledge, bool) {
	if taken := c.taken.Load(); taken == c.known {
		return logic.Knowledge{}, false
	} else {
		c.known = taken
	}
	out := make(chan logic.Knowledge, 1)
	c.tell(asked{out})
	select {
	case k := <-out:
		return k, true
	case <-c.done:
		return logic.Knowledge{}, false
	}
}

// PeerReport says that other agents see a server fail, or no longer do.
func (c *Core) PeerReport(server string, suspect bool) {
	c.tell(hearsay{logic.PeerReport{Endpoint: server, Unhealthy: suspect}})
}

// SetSelfOverloaded says whether the agent itself has more to do than it can, at each look: the fleet's budget, where there is one, takes less
// while it has.
func (c *Core) SetSelfOverloaded(over bool) { c.tell(pressed{over}) }

// QueueDelay is the least that a call waited for the loop since this was last asked for; 0 where none came. The least, as a queue
// that stands makes each wait, but a stall (a process that was paused, a core that others held) only those that came in it.
func (c *Core) QueueDelay() time.Duration {
	if least := c.waited.Swap(nobody); least != nobody {
		return time.Duration(least)
	}
	return 0
}

// nobody stands for the wait of a while in which no call came.
const nobody = math.MaxInt64

// ExchangePeerState hands the parts of the fleet's level that peers told, of so many peers, to the budget, and returns this agent's; false without a budget, or when
// the core has ended.
func (c *Core) ExchangePeerState(parts []budget.PeerState, peers int) (budget.PeerState, bool) {
	if c.cfg.Budget == nil {
		return budget.PeerState{}, false
	}
	own := make(chan budget.PeerState, 1)
	c.tell(exchanged{parts, peers, own})
	select {
	case p := <-own:
		return p, true
	case <-c.done:
		return budget.PeerState{}, false
	}
}

// BudgetStats is what the fleet's budget had done when the loop last looked, about every watch period while calls are open.
func (c *Core) BudgetStats() budget.Stats {
	if f := c.budget.Load(); f != nil {
		return *f
	}
	return budget.Stats{AdmittedFraction: 1}
}

// Shutdown gives every open call its answer now, and those that come later at once: the process is about to end.
func (c *Core) Shutdown() { c.tell(finishing{}) }

// Done is closed when the core has ended: no call gets an answer any more.
func (c *Core) Done() <-chan struct{} { return c.done }

// EndpointsKnown is closed when there first is a server to send to.
func (c *Core) EndpointsKnown() <-chan struct{} { return c.listed }

// HasEndpoints reports whether a list of servers with one to send to has ever come.
func (c *Core) HasEndpoints() bool {
	select {
	case <-c.listed:
		return true
	default:
		return false
	}
}

// Ready reports whether there is a server to send to.
func (c *Core) Ready() bool { return c.ready.Load() }

// tell hands an event to the loop, unless it has ended.
func (c *Core) tell(ev message) {
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// Run handles events until the context ends, and returns when all attempts have.
func (c *Core) Run(ctx context.Context) {
	defer c.attempts.Wait()
	defer close(c.done)
	c.ctx = ctx
	c.do(c.balancer.Start(c.clock.Now()))
	heap.Push(&c.timers, timer{due: c.clock.Now() + watchEvery, own: true})
	wake := time.NewTimer(0)
	defer wake.Stop()
	set := time.Duration(0) // what wake is set for
	for {
		if next := c.next(); next != set {
			set = next
			wake.Reset(next - c.clock.Now())
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			c.fire()
			c.handle(ev)
		case <-wake.C:
			set = 0
			c.fire()
		}
	}
}

// next is when the loop must wake without an event. While nothing is under way no timer of the module matters: what is due
// then is done with the next event, and the processor sleeps.
func (c *Core) next() time.Duration {
	if !c.idle() {
		return c.timers[0].due
	}
	for len(c.given) > 0 && len(c.given[0].answer) == 0 {
		c.given = c.given[1:]
	}
	if len(c.given) > 0 {
		return max(c.given[0].at+takenIn, c.clock.Now()) + watchEvery
	}
	return forever
}

// forever is far beyond the life of a process.
const forever = time.Duration(math.MaxInt64 / 2)

func (c *Core) idle() bool { return len(c.calls) == 0 && c.balancer.Idle() }

func (c *Core) handle(ev message) {
	switch e := ev.(type) {
	case arrived:
		c.arrive(e.call)
	case ended:
		c.end(e.attempt, e.outcome)
	case received:
		if c.calls[e.call.ID] != e.call {
			return // it is over, and its id may be another's
		}
		e.call.Deadline = e.at + e.call.Timeout
		c.decide(logic.BodyReceived{Request: e.call.ID, Deadline: e.call.Deadline})
	case left:
		c.leave(e.call)
	case EndpointList:
		c.list(e)
	case probed:
		c.decide(e.HealthChecked)
	case hearsay:
		c.decide(e.PeerReport)
	case pressed:
		if b := c.cfg.Budget; b != nil {
			b.SetSelfOverloaded(c.clock.Now(), e.over)
			c.show()
		}
	case exchanged:
		c.cfg.Budget.UpdatePeers(c.clock.Now(), e.parts, e.peers)
		e.own <- c.cfg.Budget.PeerState(c.clock.Now())
		c.show()
	case asked:
		e.knowledge <- c.balancer.Knowledge(c.clock.Now())
	case finishing:
		c.decide(logic.Shutdown{})
	case unavailable:
		c.decide(logic.DiscoveryUnavailable{})
	}
}

// decide asks the module and carries out what it says.
func (c *Core) decide(ev logic.Event) { c.do(c.balancer.Handle(c.clock.Now(), ev)) }

// arrive takes a new call. A second one under the id of one that is not over could not be told from it.
func (c *Core) arrive(call *Call) {
	if c.calls[call.ID] != nil {
		call.ends(c.clock.Now())
		call.release()
		c.give(call, Answer{Verdict: Duplicate, Reason: event.DuplicateID})
		return
	}
	call.taken = c.clock.Now()
	c.taken.Add(1)
	if b := c.cfg.Budget; b != nil {
		if waited := int64(call.taken - call.submittedAt); waited < c.waited.Load() {
			c.waited.Store(waited) // one look may be lost to Waited, which asks again soon
		}
		b.SetLatencyOverload(call.taken, c.balancer.OverloadLevel())
		worth := c.cfg.PriorityOrder.Priority(call.taken, call.Class, call.Tenant)
		if v := b.Admit(call.taken, worth); !v.Admit { // refused now, as all that is given up
			call.ends(c.clock.Now())
			call.release()
			c.give(call, Answer{Verdict: Rejected, Reason: event.BudgetShed, RetryAfter: v.RetryAfter})
			return
		}
	}
	c.calls[call.ID] = call
	c.decide(logic.Request{ID: call.ID, Class: call.Class, Tenant: call.Tenant, Key: call.Key, Deadline: call.Deadline,
		BodyPending: call.BodyPending})
}

// leave ends a call that nobody waits for. An answer that came before that was noticed is given up.
func (c *Core) leave(call *Call) {
	if !call.over.Load() {
		call.ends(c.clock.Now())
		c.decide(logic.ClientDisconnected{Request: call.ID})
		c.forget(call)
		return
	}
	select {
	case unread := <-call.answer:
		unread.drop()
	default:
	}
}

func (c *Core) end(a *Attempt, o Outcome) {
	call := a.Call
	call.ended(a, o.Result)
	c.cfg.Events.Record(event.Event{Kind: event.AttemptEnded, Reason: resultReasons[o.Result], Request: call.ID, Attempt: a.Number, Endpoint: a.Endpoint})
	if o.Result == logic.OK {
		c.finish(call, Answer{Verdict: Served, Reason: event.Served, Content: o.Content})
	}
	if b := c.cfg.Budget; b != nil && o.Result != logic.NotSent {
		b.AttemptEnded(c.clock.Now(), budget.Outcome{Overloaded: o.Result == logic.Rejected || o.Result == logic.TimedOut, SentAt: a.AwaitingSince()})
	}
	c.observe(a, o)
	c.decide(logic.Outcome{Request: call.ID, Attempt: a.Number, Endpoint: a.Endpoint, Result: o.Result,
		Latency: c.clock.Now() - a.AwaitingSince(), Closed: call.over.Load(), NotReplayable: o.NotReplayable, LoadReport: o.LoadReport})
	c.forget(call)
}

// observe tells of an attempt that says something of its server: not of one that was turned away, which is the budget's, nor of
// one that its client left no time for.
func (c *Core) observe(a *Attempt, o Outcome) {
	if c.cfg.OnAttemptOutcome == nil {
		return
	}
	switch o.Result {
	case logic.OK:
		c.cfg.OnAttemptOutcome(a.Endpoint, a.SentAt, true)
	case logic.TimedOut:
		if c.clock.Now()-a.AwaitingSince() >= a.Call.LatencyObjective {
			c.cfg.OnAttemptOutcome(a.Endpoint, a.SentAt, false)
		}
	case logic.Failed, logic.ConnectFailed, logic.Reset:
		c.cfg.OnAttemptOutcome(a.Endpoint, a.SentAt, false)
	}
}

func (c *Core) list(l EndpointList) {
	listed, ready := c.upstream.UpdateEndpoints(l)
	servers := make([]logic.Endpoint, len(l.Endpoints))
	for i, m := range l.Endpoints {
		servers[i] = m.Endpoint
	}
	c.decide(logic.EndpointList{Full: l.Full, Endpoints: servers})
	c.members = listed
	c.cfg.OnEndpointCounts(listed, c.balancer.Unavailable())
	if is := ready > 0; c.ready.Swap(is) != is {
		c.cfg.Log.Info("backends to send to", "any", is, "ready", ready)
		if is {
			c.first.Do(func() { close(c.listed) })
		}
	}
}

// do carries out the module's actions.
func (c *Core) do(actions []logic.Action) {
	for _, a := range actions {
		switch a.Kind {
		case logic.Send:
			c.send(a)
		case logic.Reject:
			c.finish(c.calls[a.Request], Answer{Verdict: Rejected, Reason: causeReasons[a.Reason], RetryAfter: a.Delay})
		case logic.Fail:
			c.finish(c.calls[a.Request], Answer{Verdict: Failed, Reason: causeReasons[a.Reason], RetryAfter: a.Delay})
		case logic.SetTimer:
			heap.Push(&c.timers, timer{due: c.clock.Now() + a.Delay, token: a.Token})
		case logic.Subscribe:
			c.cfg.Subscribe()
		case logic.HealthCheck:
			c.probe(a.Endpoint)
		}
	}
}

// send starts an attempt in a goroutine of its own, so that a dead dial holds up nothing else.
func (c *Core) send(act logic.Action) {
	call := c.calls[act.Request]
	allowed := c.mayRepeat(call)
	a := call.attempt(act, c.clock.Now(), c.cfg.UploadTimeout)
	a.core = c
	c.cfg.Events.Record(event.Event{Kind: event.AttemptDecided, Reason: causeReasons[act.Reason], Request: call.ID, Attempt: a.Number, Endpoint: a.Endpoint})
	a.Target = c.upstream.Bind(act.Endpoint)
	if b := c.cfg.Budget; !allowed || b != nil && a.Number > 0 && !b.AllowRetry(c.clock.Now()) {
		// Told by a goroutine, as the loop must not wait on its own queue.
		c.attempts.Go(func() { a.Report(Outcome{Result: logic.NotSent, LoadReport: logic.NoLoadReport}) })
		return
	}
	c.attempts.Go(func() { c.try(c.ctx, a) })
}

// mayRepeat asks the repeat guard for an attempt that the module has decided on: a second look at its decision, from what the
// core itself has seen of the call.
func (c *Core) mayRepeat(call *Call) bool {
	first := call.mayHaveRun()
	verdict := invariant.Repeat{Now: c.clock.Now(), MayHaveRun: first > 0, FirstSentAt: first, Idempotent: !call.NonIdempotent, IdempotencyWindow: call.IdempotencyWindow}.Check()
	if verdict.Denied {
		c.cfg.Monitor.Violated(verdict.Rule, call.ID, "the module decided on a further attempt")
	}
	return !verdict.Denied
}

// probe starts a probe in a goroutine of its own.
func (c *Core) probe(server string) {
	target := c.upstream.Bind(server)
	withheld := c.cfg.Budget != nil && !c.cfg.Budget.AllowHealthCheck()
	c.attempts.Go(func() {
		if c.cfg.HealthChecker == nil || withheld {
			c.tell(probed{logic.HealthChecked{Endpoint: server, Result: logic.NotSent, LoadReport: logic.NoLoadReport}})
			return
		}
		c.tell(probed{c.cfg.HealthChecker.Check(c.ctx, server, target)})
	})
}

// finish gives a call its answer, unless it has one.
func (c *Core) finish(call *Call, a Answer) {
	if call == nil || call.over.Load() {
		a.drop() // two attempts may be served, of which one is passed on; and the client may have left
		return
	}
	call.ends(c.clock.Now())
	if a.Verdict == Failed && call.neverRan() { // the module counts an attempt as out that waits for a connection
		a.Verdict = Rejected
	}
	c.give(call, a)
	c.forget(call)
}

// forget drops a call that is over. While attempts are in flight it is kept: their outcomes still teach.
func (c *Core) forget(call *Call) {
	if call.over.Load() && call.out == 0 && c.calls[call.ID] == call {
		delete(c.calls, call.ID)
		call.release()
	}
}

// fire tells the module of the timers that are due.
func (c *Core) fire() {
	for len(c.timers) > 0 && c.timers[0].due <= c.clock.Now() {
		if t := heap.Pop(&c.timers).(timer); !t.own {
			c.decide(logic.TimerFired{Token: t.token})
			continue
		}
		c.watch()
		heap.Push(&c.timers, timer{due: c.clock.Now() + watchEvery, own: true})
	}
}
