package callers

import (
	"math/rand/v2"
	"time"

	"ryeweir/internal/emulator/referee"
)

// ClientProfile are how clients go about their tries.
type ClientProfile struct {
	Retries                int           // further tries by the client itself
	AttemptTimeoutFraction float64       // of the class's deadline after which a try is given up
	Backoff                time.Duration // before a further try
	RetryAfterFraction     float64       // share of clients that stay away for as long as a refusal says
	MaxRetryAfter          time.Duration // the longest come-back time that they heed
	ImpatientFraction      float64       // share of clients that leave a try early, at a time drawn evenly
}

// Call is a customer's request on its way through the tries of its client. It has no I/O and no clock: the runner tells
// it how a try ended, and it says what comes next.
type Call struct {
	PlannedRequest
	Class           Class
	profile         ClientProfile
	rng             *rand.Rand
	heedsRetryAfter bool
	Attempts        int
	result          referee.CallResult
}

// NewCall begins a journey.
func NewCall(p PlannedRequest, c Class, h ClientProfile) *Call {
	rng := rand.New(rand.NewPCG(p.Seed, 0x68616269))
	return &Call{PlannedRequest: p, Class: c, profile: h, rng: rng, heedsRetryAfter: rng.Float64() < h.RetryAfterFraction,
		result: referee.CallResult{At: p.At, Agent: p.Agent, Class: p.Class, Tenant: p.Tenant, PriorityWeight: p.PriorityWeight, LateWeight: c.LateWeight, LatencyObjective: c.LatencyObjective}}
}

// Attempt begins a try at a time and says how long the client waits for it, and when it leaves without a word (at the end of
// that, or earlier where it is impatient). 0 says that there is no time for another.
func (j *Call) Attempt(now time.Duration) (wait, leaves time.Duration) {
	left := j.At + j.Class.Deadline - now
	wait = min(left, time.Duration(j.profile.AttemptTimeoutFraction*float64(j.Class.Deadline)))
	if j.profile.Retries == 0 || j.profile.AttemptTimeoutFraction == 0 {
		wait = left
	}
	if wait <= 0 {
		return 0, 0
	}
	j.Attempts++
	leaves = wait
	if j.rng.Float64() < j.profile.ImpatientFraction {
		leaves = time.Duration(j.rng.Float64() * float64(wait))
	}
	return wait, leaves
}

// Ended takes the end of a try. It returns when the next one is to begin; over says that there is none.
func (j *Call) Ended(now time.Duration, end referee.Outcome, comeBack time.Duration) (next time.Duration, over bool) {
	j.result.Attempts = j.Attempts
	switch end {
	case referee.Served:
		j.result.Answered, j.result.Latency = true, now-j.At
		return 0, true
	case referee.Rejected, referee.NotSent:
	default: // it may have run: only what is safe is asked again
		if j.Class.NonIdempotent {
			return 0, true
		}
	}
	if j.Attempts > j.profile.Retries {
		return 0, true
	}
	wait := j.profile.Backoff
	if j.heedsRetryAfter && end == referee.Rejected {
		wait = max(wait, min(comeBack, j.profile.MaxRetryAfter))
	}
	next = now + wait
	return next, next >= j.At+j.Class.Deadline
}

// Result is what came of it.
func (j *Call) Result() referee.CallResult { return j.result }
