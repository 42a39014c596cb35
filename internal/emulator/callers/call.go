package callers

import (
	"math/rand/v2"
	"time"

	"ryeweir/internal/emulator/referee"
)

// ClientProfile is how clients make attempts.
type ClientProfile struct {
	Retries                int           // by the client itself
	AttemptTimeoutFraction float64       // of the class's deadline, after which an attempt is given up
	Backoff                time.Duration // before a retry
	RetryAfterFraction     float64       // share of clients that wait for as long as Retry-After says
	MaxRetryAfter          time.Duration // the longest that they wait so
	ImpatientFraction      float64       // share of attempts that the client abandons early, at a time drawn evenly
}

// Call is a customer's request through the attempts of its client. It has no I/O and no clock: its owner says how an attempt
// ended, and the call says when the next begins. It is not safe for concurrent use.
type Call struct {
	PlannedRequest
	Class    Class
	Attempts int // so far

	profile            ClientProfile
	rng                *rand.Rand
	respectsRetryAfter bool
	result             referee.CallResult
}

// callStream keeps the random numbers of a call apart from those that other parts take from the same seed.
const callStream = 0x68616269

// NewCall begins a call.
func NewCall(request PlannedRequest, class Class, profile ClientProfile) *Call {
	rng := rand.New(rand.NewPCG(request.Seed, callStream))
	return &Call{
		PlannedRequest:     request,
		Class:              class,
		profile:            profile,
		rng:                rng,
		respectsRetryAfter: rng.Float64() < profile.RetryAfterFraction,
		result: referee.CallResult{
			At:               request.At,
			Agent:            request.Agent,
			Class:            request.Class,
			Tenant:           request.Tenant,
			PriorityWeight:   request.PriorityWeight,
			LateWeight:       class.LateWeight,
			LatencyObjective: class.LatencyObjective,
		},
	}
}

// Attempt begins an attempt. timeout is how long the client says that it waits, abandon how long it does: less where it is
// impatient. Both are 0 when the call's deadline has passed.
func (c *Call) Attempt(now time.Duration) (timeout, abandon time.Duration) {
	remaining := c.At + c.Class.Deadline - now
	timeout = min(remaining, time.Duration(c.profile.AttemptTimeoutFraction*float64(c.Class.Deadline)))
	if c.profile.Retries == 0 || c.profile.AttemptTimeoutFraction == 0 {
		timeout = remaining
	}
	if timeout <= 0 {
		return 0, 0
	}
	c.Attempts++
	abandon = timeout
	if c.rng.Float64() < c.profile.ImpatientFraction {
		abandon = time.Duration(c.rng.Float64() * float64(timeout))
	}
	return timeout, abandon
}

// Ended takes the end of an attempt. It returns when the next one is to begin; over says that there is none.
func (c *Call) Ended(now time.Duration, outcome referee.Outcome, retryAfter time.Duration) (next time.Duration, over bool) {
	c.result.Attempts = c.Attempts
	switch outcome {
	case referee.Served:
		c.result.Answered, c.result.Latency = true, now-c.At
		return 0, true
	case referee.Rejected, referee.NotSent:
	default: // it may have been executed
		if c.Class.NonIdempotent {
			return 0, true
		}
	}
	if c.Attempts > c.profile.Retries {
		return 0, true
	}
	wait := c.profile.Backoff
	if c.respectsRetryAfter && outcome == referee.Rejected {
		wait = max(wait, min(retryAfter, c.profile.MaxRetryAfter))
	}
	next = now + wait
	return next, next >= c.At+c.Class.Deadline
}

// Result returns what has become of the call so far.
func (c *Call) Result() referee.CallResult { return c.result }
