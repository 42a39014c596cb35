package core

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"ryeweir/logic"
)

// BoundaryViolations counts where a front or an upstream did not keep to what it owes the core. Each should stay 0. The account holds
// all the same: every attempt has one outcome, every call one answer.
type BoundaryViolations struct {
	ReportedTwice atomic.Int64 // attempts whose outcome was reported again, or after it was overdue
	Unreported    atomic.Int64 // attempts that ended without an outcome
	Overdue       atomic.Int64 // attempts whose outcome did not come in time
	Unread        atomic.Int64 // answers that no front took
	Resubmitted   atomic.Int64 // calls that were handed over twice
	Unfinished    atomic.Int64 // partial calls of which nothing more was heard
}

// MarshalJSON gives the counts in the operators' form.
func (f *BoundaryViolations) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]int64{"reported_twice": f.ReportedTwice.Load(), "unreported": f.Unreported.Load(), "overdue": f.Overdue.Load(),
		"unread": f.Unread.Load(), "resubmitted": f.Resubmitted.Load(), "unfinished": f.Unfinished.Load()})
}

// BoundaryViolations are the counts so far.
func (c *Core) BoundaryViolations() *BoundaryViolations { return &c.faults }

const (
	watchEvery = 500 * time.Millisecond
	overdueBy  = time.Second     // past the end of its time an attempt's outcome is taken to be unknown
	takenIn    = 2 * time.Second // a front takes an answer as soon as it is there

	// overdueLooks is how many looks in a row must find something overdue. The first look after a pause of the process finds
	// everything so: until the next one, whoever was about to run has run.
	overdueLooks = 3
)

// handed is an answer that may not have been taken yet.
type handed struct {
	answer  chan Answer
	at      time.Duration
	overdue int // looks in a row that found it so
}

func (c *Core) give(call *Call, a Answer) {
	call.answer <- a
	c.given = append(c.given, handed{answer: call.answer, at: c.clock.Now()})
}

// show lets the budget's figures be read.
func (c *Core) show() {
	if c.cfg.Budget != nil {
		f := c.cfg.Budget.Stats()
		c.budget.Store(&f)
	}
}

// watch looks for what fronts and upstreams owe.
func (c *Core) watch() {
	now := c.clock.Now()
	c.cfg.OnEndpointCounts(c.members, c.balancer.Unavailable())
	c.show()
	kept := c.given[:0]
	for _, h := range c.given {
		switch {
		case len(h.answer) == 0:
		case now-h.at < takenIn:
			kept = append(kept, h)
		case h.overdue+1 < overdueLooks:
			h.overdue++
			kept = append(kept, h)
		default:
			select {
			case unread := <-h.answer:
				unread.drop()
				c.faults.Unread.Add(1)
			default:
			}
		}
	}
	clear(c.given[len(kept):])
	c.given = kept
	for _, call := range c.calls {
		if call.BodyPending && call.Deadline == 0 && !call.over.Load() && now-call.taken > c.cfg.UploadTimeout+overdueBy {
			c.faults.Unfinished.Add(1)
			c.leave(call)
		}
		for a := call.flying; a != nil; {
			next := a.next
			if now > a.Deadline()+overdueBy {
				a.overdue++
			}
			if a.overdue >= overdueLooks && a.told.CompareAndSwap(false, true) {
				c.faults.Overdue.Add(1)
				c.end(a, Outcome{Result: logic.TimedOut, LoadReport: logic.NoLoadReport})
			}
			a = next
		}
	}
}
