package core

import (
	"context"
	"sync/atomic"
	"time"

	"ryeweir/internal/invariant"
	"ryeweir/logic"
)

// Upstream speaks a protocol towards servers and carries out attempts.
type Upstream interface {
	// Update takes the list of servers or a change of it, and returns how many are listed and how many of them may get
	// something new. Nothing new goes to one that may not from the moment that it returns. It must not block.
	UpdateEndpoints(EndpointList) (listed, ready int)
	// Bind returns the present life of a server for an attempt on it, or nil. A server that starts anew or moves has another
	// life, which gets nothing that was meant for the one before. It must not block.
	Bind(server string) any
	// Try carries out the attempt: it reports one outcome by the time that a.Until states, and may go on to bring in a long
	// answer after that. What may have run is never said not to have. It never sends again by itself. When the context ends
	// it ends too.
	Execute(ctx context.Context, a *Attempt)
}

// Attempt is one Send of the module: a call on its way to one server.
type Attempt struct {
	Call          *Call
	Number        int // from 0
	Endpoint      string
	Target        any           // what Bind returned at the time of the Send
	SentAt        time.Duration // when the module decided on it
	WriteDeadline time.Duration // when it is too late to begin: at Until, or earlier for a keyed call sent before

	until   atomic.Int64
	written atomic.Int64
	told    atomic.Bool
	claim   atomic.Int32 // who decided whether it begins: see Begin
	core    *Core
	tell    func(Outcome) // of one outside a core
	next    *Attempt      // the one before it of the same call that is in flight
	overdue int           // looks of the core that found its outcome overdue
}

// Deadline is when the agent stops waiting, on the core's clock.
func (a *Attempt) Deadline() time.Duration { return time.Duration(a.until.Load()) }

// The states of an attempt's claim. It leaves the first once, for good.
const (
	waiting   int32 = iota
	begun           // its first byte may be written
	withdrawn       // its call was over before that: it never begins
)

// Begin claims the attempt just before its first byte is written; false says that its call is over, and that nothing of it must be
// written. Of a call that ends without an attempt that has begun, it is certain that none has run.
func (a *Attempt) Begin() bool { return a.claim.CompareAndSwap(waiting, begun) }

// RequestWritten says that a Partial call has gone on whole. Its time-out runs from then on.
func (a *Attempt) RequestWritten(now time.Duration) {
	a.written.Store(int64(now))
	a.until.Store(int64(now + a.Call.Timeout))
}

// AwaitingSince is since when the server may owe an answer: the Send, or the end of a Partial call's message.
func (a *Attempt) AwaitingSince() time.Duration {
	return max(a.SentAt, time.Duration(a.written.Load()))
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result        logic.Result
	LoadReport    logic.LoadReport // of the server's load; logic.NoReport without one
	Content       Content          // of an OK
	NotReplayable bool             // the call's message can't be sent again
}

// Report tells the outcome. Every attempt has exactly one: a further one is counted and dropped.
func (a *Attempt) Report(o Outcome) {
	if !a.told.CompareAndSwap(false, true) {
		if a.core != nil {
			a.core.faults.ReportedTwice.Add(1)
			a.core.cfg.Monitor.Violated(invariant.OutcomeReportedTwice, a.Call.ID, "attempt on "+a.Endpoint)
		}
		if o.Content != nil {
			o.Content.Discard()
		}
		return
	}
	if a.core == nil {
		a.tell(o)
		return
	}
	a.core.tell(ended{a, o})
}

// NewAttempt is an attempt outside a core, whose outcome goes to tell: for tests of upstreams and for tools.
func NewAttempt(call *Call, target any, until, writeBy time.Duration, tell func(Outcome)) *Attempt {
	a := &Attempt{Call: call, Target: target, WriteDeadline: writeBy, tell: tell}
	a.until.Store(int64(until))
	return a
}

// try lets the upstream carry out an attempt. One that ends without an outcome may have run.
func (c *Core) try(ctx context.Context, a *Attempt) {
	c.upstream.Execute(ctx, a)
	if a.told.CompareAndSwap(false, true) {
		c.faults.Unreported.Add(1)
		c.tell(ended{a, Outcome{Result: logic.Reset, LoadReport: logic.NoLoadReport}})
	}
}

// attempt is the next attempt of the call.
func (c *Call) attempt(act logic.Action, now, upload time.Duration) *Attempt {
	until := c.Deadline
	if until == 0 { // known when the message has come
		until = now + upload
	}
	if act.Delay > 0 {
		until = min(until, now+act.Delay)
	}
	a := &Attempt{Call: c, Number: c.sends, Endpoint: act.Endpoint, SentAt: now, WriteDeadline: until, next: c.flying}
	a.until.Store(int64(until))
	if first := c.mayHaveRun(); first > 0 && c.IdempotencyWindow > 0 { // the module decides by the time now, but a dial may take until after the window
		a.WriteDeadline = min(until, first+c.IdempotencyWindow)
	}
	c.flying = a
	c.sends++
	c.out++
	return a
}

// ended counts an attempt as over.
func (c *Call) ended(a *Attempt, result logic.Result) {
	for at := &c.flying; *at != nil; at = &(*at).next {
		if *at == a {
			*at = a.next
			break
		}
	}
	c.out--
	switch result {
	case logic.NotSent, logic.ConnectFailed, logic.Rejected:
	default:
		if c.ran == 0 || a.SentAt < c.ran {
			c.ran = a.SentAt
		}
	}
}

// withdraw lets no attempt begin any more.
func (c *Call) withdraw() {
	for a := c.flying; a != nil; a = a.next {
		a.claim.CompareAndSwap(waiting, withdrawn)
	}
}

// neverRan reports, of a call whose attempts were withdrawn, whether it is certain that none has run.
func (c *Call) neverRan() bool {
	for a := c.flying; a != nil; a = a.next {
		if a.claim.Load() == begun {
			return false
		}
	}
	return c.ran == 0
}

// mayHaveRun is when the first attempt was sent that may have run, or may yet; 0 without one.
func (c *Call) mayHaveRun() time.Duration {
	first := c.ran
	for a := c.flying; a != nil; a = a.next {
		if first == 0 || a.SentAt < first {
			first = a.SentAt
		}
	}
	return first
}
