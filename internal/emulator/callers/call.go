package callers

import (
	"math/rand/v2"
	"time"

	"ryeweir/internal/emulator/referee"
)

// ClientProfile describes how clients retry and wait.
type ClientProfile struct {
	Retries                int           // maximum number of retries by the client
	AttemptTimeoutFraction float64       // timeout of an attempt as a fraction of the class's deadline; 0 for what is left of the deadline
	Backoff                time.Duration // pause before a retry
	RetryAfterFraction     float64       // fraction of the calls that respect Retry-After
	MaxRetryAfter          time.Duration // maximum wait because of Retry-After
	ImpatientFraction      float64       // fraction of the attempts abandoned before their timeout, at a uniformly distributed time
}

// Call is a customer's request with all attempts of its client. It does no I/O and reads no clock: its owner reports how an attempt
// ended, and the call returns when the next one begins. It is not safe for concurrent use.
type Call struct {
	PlannedRequest
	Class    Class
	Attempts int // number of attempts so far

	profile            ClientProfile
	rng                *rand.Rand
	respectsRetryAfter bool
	result             referee.CallResult
}

// callStream selects a PCG stream of its own for a call, independent of other generators with the same seed.
const callStream = 0x68616269

// NewCall returns a call without attempts.
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

// Attempt begins an attempt. timeout is the timeout that the client states in the request: what is left of the deadline if it does
// not retry, otherwise at most AttemptTimeoutFraction of the deadline. abandon is the time after which it abandons the attempt, which
// is shorter if it is impatient. Both are 0 if the call's deadline has passed; then there is no attempt.
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

// Ended reports the end of an attempt. It returns when the next one begins, or true for over if there is none.
func (c *Call) Ended(now time.Duration, outcome referee.Outcome, retryAfter time.Duration) (next time.Duration, over bool) {
	c.result.Attempts = c.Attempts
	switch outcome {
	case referee.Served:
		c.result.Answered, c.result.Latency = true, now-c.At
		return 0, true
	case referee.Rejected, referee.NotSent:
	default: // the request may have been executed
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

// Result returns the result of the call so far.
func (c *Call) Result() referee.CallResult { return c.result }
