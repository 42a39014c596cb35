package core

import (
	"sync/atomic"
	"time"

	"ryeweir/internal/event"
)

// Call is what a client asks: what the decisions need, the message itself, and the place for its one answer. A front fills
// in the exported fields and hands it over with Submit; they are not changed after that.
type Call struct {
	ID                string
	Class, Tenant     int           // indices into the settings; a tenant below 0 is none
	Key               string        // what it is about; may be empty
	Timeout           time.Duration // how long the answer may take from the message's last byte on
	TimeoutSlack      time.Duration // the client waits for so much longer than Timeout
	LatencyObjective  time.Duration // an answer may take so long: until then no server is to blame that none has come
	Deadline          time.Duration // when that is over, on the core's clock; 0 of a Partial call until Received
	BodyPending       bool          // its message still comes in and can be read once
	NonIdempotent     bool          // a repeat of it does harm: what may be closing is not for it
	IdempotencyWindow time.Duration // of a keyed class: how long after the first attempt another may begin; else 0
	Message           any           // only the front and the upstream of its protocol look into it
	Release           func()        // is called once, when nothing holds the message any more; may be nil

	answer      chan Answer // holds one, so that the loop never waits for a client
	submitted   atomic.Bool
	submittedAt time.Duration // with a budget: when it was handed over
	over        atomic.Bool   // has its answer, or the client left; set by the loop only
	overSince   atomic.Int64  // when that was, on the core's clock
	gone        chan struct{} // closed with it

	// The loop's own:
	taken      time.Duration
	sends, out int           // attempts made and in flight
	flying     *Attempt      // the latest of those in flight; they are linked
	ran        time.Duration // when the first of those that have ended and may have run was sent; 0 without one
}

// Done is closed when nobody waits for the call's answer any more; nil of a call that was not handed over.
func (c *Call) Done() <-chan struct{} { return c.gone }

// ends says that nobody waits for the answer any more, and lets no attempt begin. It is called once.
func (c *Call) ends(now time.Duration) {
	c.withdraw()
	c.overSince.Store(int64(now))
	c.over.Store(true)
	close(c.gone)
}

// Finished reports whether nobody waits for the call's answer any more. It may be called by anybody.
func (c *Call) Finished() bool { return c.over.Load() }

// FinishedAt is when that began, on the core's clock. It may be called by anybody.
func (c *Call) FinishedAt() time.Duration { return time.Duration(c.overSince.Load()) }

func (c *Call) release() {
	if c.Release != nil {
		c.Release()
	}
}

// Verdict is what kind of answer a client gets.
type Verdict int

// The verdicts.
const (
	Served    Verdict = iota // with what a server made
	Rejected                 // trying again is harmless
	Failed                   // no promise about an effect
	Duplicate                // another call under its id is open
)

// Answer is the final answer to a client.
type Answer struct {
	Verdict    Verdict
	Reason     event.Reason  // why, for those who watch
	Content    Content       // of one that is served
	RetryAfter time.Duration // of one that is refused: when to come back; 0 where nothing is said of it
}

// Content is what a server made for a call, which may still be coming in. Only the front and the upstream of its protocol
// look into it.
type Content interface {
	// Drop gives it up, unless that was done. It may be called by anybody.
	Discard()
}

// drop gives up an answer that no client gets.
func (a Answer) drop() {
	if a.Content != nil {
		a.Content.Discard()
	}
}
